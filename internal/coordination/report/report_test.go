package report

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

type state struct {
	items []*controlpb.Item
	jobs  []*controlpb.Job
}

func (s state) Items() []*controlpb.Item { return s.items }
func (s state) Jobs() []*controlpb.Job   { return s.jobs }

func TestOf(t *testing.T) {
	is := is.New(t)
	crews := &controlpb.Customer{Name: "crews", Guarantee: []*controlpb.Shape{{Sets: 1, Accelerators: 8}}}
	completed := func(took, deadline int64) *controlpb.Job {
		return &controlpb.Job{
			Customer: "crews", State: controlpb.JobState_JOB_STATE_COMPLETED, Tasks: 2, Accelerators: 4,
			SubmittedMs: 1000, EndedMs: 1000 + took, DeadlineMs: deadline, RanMs: took, LostMs: 500, LostPreemptedMs: 125,
		}
	}
	running := &controlpb.Job{
		Customer: "planners", State: controlpb.JobState_JOB_STATE_RUNNING, Tasks: 1, Accelerators: 2,
		Placements: []*controlpb.Placement{{Worker: "w1", Accelerators: []uint32{0, 1}}},
	}
	status := Summarize(state{
		items: []*controlpb.Item{{Body: &controlpb.Item_Customer{Customer: crews}}},
		jobs:  []*controlpb.Job{completed(1000, 3000), completed(3000, 3000), completed(2000, 0), running},
	}, []*peerpb.Upstream{{Id: "w1", Accelerators: 8}})

	done := api.Completion{Jobs: 3, MeanSeconds: 2, MedianSeconds: 2, P99Seconds: 3, DeadlinesMet: 1, DeadlinesMissed: 1}
	is.Equal(status.Jobs, map[string]int{"completed": 3, "running": 1})
	is.Equal(status.Completion, done)
	is.Equal([]int{status.Accelerators, status.Used, status.Idle}, []int{8, 2, 6})
	is.Equal(status.Waste, api.Waste{Run: 48, Preempted: 3, Retried: 9, IdleInGuarantee: 6})
	is.Equal(len(status.Customers), 2)
	is.Equal(status.Customers[0].Waste.IdleInGuarantee, 8)
	is.Equal(status.Customers[1].Used, 2)
}
