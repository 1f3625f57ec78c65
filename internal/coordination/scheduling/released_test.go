package scheduling

import (
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// stoppingFor makes a running gang one that is being stopped; the log records the end of the
// given members, whose accelerators are free.
func stoppingFor(ended ...uint32) jobOption {
	return func(j *controlpb.Job) {
		j.State, j.NextState = controlpb.JobState_JOB_STATE_STOPPING, controlpb.JobState_JOB_STATE_WAITING
		for _, task := range ended {
			j.StoppedTasks = append(j.StoppedTasks, &controlpb.StoppedTask{Task: task})
			j.Placements[task].Accelerators = nil
		}
	}
}

// Guards against idle workers: a gang that waits for the lease of one lost member kept the
// cores and memory of all its other members for seconds.
func TestEndedMembersHoldNoCores(t *testing.T) {
	gang := func(options ...jobOption) *controlpb.Job {
		options = append([]jobOption{cores(30), running(time.Second, 0, "d0-r0-w0", "d0-r0-w1")}, options...)
		return unitJob("k", "b", 2, 8, options...)
	}
	waiting := func(option ...jobOption) *controlpb.Job {
		return unitJob("j", "a", 1, 8, append([]jobOption{cores(30), topPriority}, option...)...)
	}
	lostOne := func(w []Worker) []Worker { w[1].Unavailable = true; return w }
	runCases(t, []passCase{
		{name: "free while the other member is lost", snapshot: unitsSnapshot(lostOne(testWorkers(1, 1, 2, 8)), gang(stoppingFor(0)), waiting()),
			want: map[string]string{"j": "d0-r0-w0"}},
		{name: "held before the end is recorded", snapshot: unitsSnapshot(lostOne(testWorkers(1, 1, 2, 8)), gang(stoppingFor()), waiting()),
			want: map[string]string{"j": "taking_back"}},
		{name: "the lost member's worker stays held", snapshot: unitsSnapshot(testWorkers(1, 1, 2, 8), gang(stoppingFor(0)), waiting(cores(30)), unitJob("l", "a", 1, 8, cores(30))),
			want: map[string]string{"j": "d0-r0-w0", "l": "no_free_capacity"}},
	})
}

// Guards against a backlog behind a data centre that is cut off: of 40 gangs with one member
// there, 40 workers elsewhere stood idle until the leases of the lost members were over.
func TestGangsWithLostMembersLeaveRoomForTheBacklog(t *testing.T) {
	const gangs = 40
	workers := testWorkers(2, 1, gangs, 8)
	var jobs []*controlpb.Job
	for i := range gangs {
		workers[gangs+i].Unavailable = true
		lost := unitJob("lost-"+workers[i].ID, "b", 2, 8, cores(30), topPriority, running(time.Second, 0, workers[i].ID, workers[gangs+i].ID), stoppingFor(0))
		jobs = append(jobs, lost, unitJob("waiting-"+workers[i].ID, "a", 1, 8, cores(30), topPriority))
	}
	if plan := Pass(unitsSnapshot(workers, jobs...)); len(plan.Assignments) != gangs {
		t.Errorf("%d of %d jobs start; breach %v", len(plan.Assignments), gangs, plan.Breach)
	}
}
