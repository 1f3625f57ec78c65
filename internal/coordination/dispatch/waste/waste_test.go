package waste_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/waste"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

func TestWasteIsCountedByItsCause(t *testing.T) {
	is := is.New(t)
	held := func(n uint32) []*controlpb.Placement {
		return []*controlpb.Placement{{Accelerators: make([]uint32, n)}}
	}
	got := waste.Of([]*controlpb.Job{
		{Customer: "crews", Tasks: 2, Accelerators: 1, State: controlpb.JobState_JOB_STATE_RUNNING, Placements: held(1), DoneTasks: []uint32{0}},
		{Customer: "planners", Tasks: 1, Accelerators: 3, State: controlpb.JobState_JOB_STATE_STARTING, Placements: held(3)},
		{Customer: "planners", Tasks: 2, Accelerators: 2, State: controlpb.JobState_JOB_STATE_COMPLETED, LostMs: 5000, LostPreemptedMs: 2000, ReservedMs: 1000},
	}, []*peerpb.Upstream{{Accelerators: 8}, {Accelerators: 8}}, []*controlpb.Customer{
		{Name: "crews", Guarantee: []*controlpb.Shape{{Sets: 1, Accelerators: 8}}},
		{Name: "planners", Guarantee: []*controlpb.Shape{{Sets: 1, Accelerators: 2}}},
	})
	is.Equal(got, waste.Waste{
		Total: 16, Idle: 12, ReservedUnused: 3, IdleInGuarantee: 7,
		ReservedSeconds: 4, LostToPreemptionSeconds: 8, LostToRetriesSeconds: 12,
	})
}
