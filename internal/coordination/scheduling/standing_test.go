package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const maxStand = 6 * time.Second

// Guards against work that waits for the end of a quarantine beside idle workers, and against attempts
// that are spent at a worker which still fails: when quarantined workers may be tried, and with what.
func TestWorkThatOnlyQuarantinedWorkersCanTake(t *testing.T) {
	labelled := func(j *controlpb.Job) { j.Requirement, j.Idempotent = "rare", true }
	attempts := func(most, failed uint32) jobOption {
		return func(j *controlpb.Job) {
			j.MaxAttempts, j.OwnFailures = most, failed
			for range failed {
				j.Failures = append(j.Failures, &controlpb.TaskFailure{Worker: "d0-r0-w0", Code: "task_failed", TimeMs: start.UnixMilli()})
			}
		}
	}
	// Three workers, of which the first has the label and is unavailable.
	quarantined := func(failedFor time.Duration) []Worker {
		workers := testWorkers(1, 1, 3, 8)
		workers[0].Labels, workers[0].Unavailable, workers[0].FailedAt = []string{"rare"}, true, start.Add(-failedFor)
		return workers
	}
	full := func(id, worker string) *controlpb.Job {
		return waitingJob(id, "a", 1, 8, cores(32), running(time.Minute, 0, worker))
	}
	submitted := func(ago time.Duration) jobOption {
		return func(j *controlpb.Job) { j.SubmittedMs = start.Add(-ago).UnixMilli() }
	}
	drained := quarantined(maxStand)
	drained[0].FailedAt = time.Time{}
	for name, test := range map[string]struct {
		workers []Worker
		jobs    []*controlpb.Job
		started int
		reason  ReasonCode
	}{
		"just failed":                    {quarantined(time.Second), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled)}, 0, ReasonQuarantined},
		"one job probes":                 {quarantined(maxStand / 2), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled), waitingJob("k", "a", 1, 1, labelled)}, 1, ReasonQuarantined},
		"no second probe beside the one": {quarantined(maxStand / 2), []*controlpb.Job{waitingJob("r", "a", 1, 1, labelled, running(0, 0, "d0-r0-w0")), waitingJob("j", "a", 1, 1, labelled)}, 0, ReasonQuarantined},
		"no last attempt as a probe":     {quarantined(maxStand / 2), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled, attempts(3, 2))}, 0, ReasonQuarantined},
		"all follow":                     {quarantined(maxStand), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled), waitingJob("k", "a", 1, 1, labelled)}, 2, ""},
		"it failed there itself":         {quarantined(maxStand), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled, attempts(3, 1))}, 1, ""},
		"a last attempt in the end":      {quarantined(maxStand), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled, attempts(3, 2))}, 1, ""},
		"others go on failing there":     {quarantined(time.Second), []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled, submitted(maxStand))}, 1, ""},
		"unavailable for another reason": {drained, []*controlpb.Job{waitingJob("j", "a", 1, 1, labelled, submitted(time.Hour))}, 0, ReasonNoCapacity},
		"the others are busy":            {quarantined(maxStand), []*controlpb.Job{full("f", "d0-r0-w1"), full("g", "d0-r0-w2"), waitingJob("j", "a", 1, 1)}, 0, ReasonQuarantined},
		"the others have room":           {quarantined(maxStand), []*controlpb.Job{waitingJob("j", "a", 1, 1)}, 1, ""},
		"a gang needs it besides":        {quarantined(maxStand), []*controlpb.Job{waitingJob("j", "a", 3, 8)}, 1, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			snapshot := snapshotOf(test.workers, nil, test.jobs...)
			snapshot.MaxStand = maxStand
			plan := Pass(snapshot)
			is.Equal(plan.Breach, nil)
			is.Equal(len(plan.Assignments), test.started)
			if test.reason != "" {
				is.True(len(plan.Waiting) > 0)
				is.Equal(plan.Waiting[0].Code, test.reason)
			}
		})
	}
}
