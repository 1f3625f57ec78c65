package gang_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// takenOver is a new leader's machine with running jobs of one task each, on workers that
// reset its connections at first.
type takenOver struct {
	machine *gang.Machine
	now     time.Time
	jobs    []*controlpb.Job
	version uint64
}

func takeOver(jobs int) *takenOver {
	t := &takenOver{machine: gang.New(config), now: time.Unix(1000, 0)}
	for i := range jobs {
		t.jobs = append(t.jobs, &controlpb.Job{
			Id: fmt.Sprint("j", i), Epoch: 1, Tasks: 1, StartedMs: 1, State: controlpb.JobState_JOB_STATE_RUNNING,
			Placements: []*controlpb.Placement{{Worker: fmt.Sprint("w", i)}},
		})
	}
	return t
}

// run takes a step every 100 ms, with an announcement of each worker, and returns the codes
// of the failures for which jobs are stopped. reported is whether the workers have answered
// a poll; their reports list no run.
func (t *takenOver) run(d time.Duration, reported bool) (stopped []string) {
	for end := t.now.Add(d); t.now.Before(end); {
		t.now, t.version = t.now.Add(100*time.Millisecond), t.version+1
		in := &gang.Input{Now: t.now, Jobs: t.jobs, LeaseExpired: leaseNotExpired, Reported: func(string) bool { return reported }}
		for _, job := range t.jobs {
			in.Workers = append(in.Workers, &peerpb.Upstream{Id: job.Placements[0].Worker, Version: t.version})
		}
		for _, move := range t.machine.Step(in).Batch.GetMoves() {
			stopped = append(stopped, move.Failure.GetCode())
		}
	}
	return stopped
}

// Guards against a new leader that stops running work: it took all runs for lost on workers
// that had not answered its first polls.
func TestRunsOfWorkersWithoutReportAreNotLost(t *testing.T) {
	is := is.New(t)
	leader := takeOver(54)
	is.Equal(len(leader.run(10*time.Second, false)), 0)
}

// A run that is missing from reports is lost, and soon.
func TestRunsMissingFromReportsAreLost(t *testing.T) {
	is := is.New(t)
	leader := takeOver(1)
	is.Equal(len(leader.run(5*time.Second, false)), 0)
	is.Equal(leader.run(5*time.Second, true)[0], string(failure.WorkerVanished))
}
