package scheduling

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// evacuate marks the workers of the data centres as evacuated.
func evacuate(workers []Worker, dataCentres ...string) []Worker {
	for i := range workers {
		for _, name := range dataCentres {
			if workers[i].DataCentre == name {
				workers[i].Unavailable, workers[i].Evacuated = true, true
			}
		}
	}
	return workers
}

// An operator asks why a job waits. The evacuation is the reason only where the job would not
// wait without it.
func TestReasonOfAnEvacuation(t *testing.T) {
	filled := waitingJob("filled", "a", 4, 8, running(0, 0, "d1-r0-w0", "d1-r0-w1", "d1-r1-w0", "d1-r1-w1"))
	for name, test := range map[string]struct {
		workers []Worker
		jobs    []*controlpb.Job
		want    ReasonCode
	}{
		"free capacity in the evacuated data centre": {evacuate(testWorkers(2, 2, 2, 8), "d0"), []*controlpb.Job{filled}, ReasonEvacuated},
		"all are evacuated":                          {evacuate(testWorkers(2, 2, 2, 8), "d0", "d1"), nil, ReasonEvacuated},
		"all are evacuated and full":                 {evacuate(testWorkers(1, 1, 1, 8), "d0"), []*controlpb.Job{waitingJob("r", "a", 1, 8, running(0, 0, "d0-r0-w0"))}, ReasonEvacuated},
		"no free capacity anywhere": {
			evacuate(testWorkers(2, 1, 1, 8), "d0"),
			[]*controlpb.Job{waitingJob("r0", "a", 1, 8, running(0, 0, "d0-r0-w0")), waitingJob("r1", "a", 1, 8, running(0, 0, "d1-r0-w0"))},
			ReasonNoCapacity,
		},
		"no worker is large enough": {evacuate(testWorkers(1, 1, 1, 4), "d0"), nil, ReasonNeverFits},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			plan := Pass(snapshotOf(test.workers, nil, append(test.jobs, waitingJob("j", "a", 1, 8))...))
			is.Equal(len(plan.Assignments), 0)
			is.Equal(len(plan.Waiting), 1)
			is.Equal(plan.Waiting[0].Code, test.want)
		})
	}
}

// Cells, reservations and capacity that is kept warm must not hold work on evacuated workers,
// and a guarantee that only they could hold is reported.
func TestEvacuatedWorkersHoldNothingBack(t *testing.T) {
	is := is.New(t)
	owner := guarantee("a", 2, 8, inRack)
	workers := testWorkers(2, 1, 1, 8)
	before := Pass(snapshotOf(workers, []*controlpb.Customer{owner}))
	is.Equal(len(before.Unmet), 0)
	snapshot := snapshotOf(evacuate(workers, "d0"), []*controlpb.Customer{owner}, waitingJob("j", "a", 1, 8))
	snapshot.CarryOver(before)
	snapshot.Reservations = []Reservation{{Job: "j", Places: []ReservedPlace{{Worker: "d0-r0-w0", Tasks: 1}}}}
	snapshot.Warm = map[string]bool{"d0-r0-w0": true}
	plan := Pass(snapshot)
	is.Equal(plan.Breach, nil)
	is.Equal(len(plan.Unmet), 1)
	is.Equal(plan.Assignments[0].Placements[0].Worker, "d1-r0-w0")
	is.Equal(len(plan.Reservations), 0)
}
