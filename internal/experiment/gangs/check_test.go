package gangs

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

var epochStart = time.UnixMilli(1_000_000)

func at(s float64) time.Time { return epochStart.Add(time.Duration(s * float64(time.Second))) }

func run(task uint32, epoch uint64, worker string, from, to float64, ending tasks.Ending) tasks.Run {
	return tasks.Run{
		TaskRef: api.TaskRef{Job: "j", Task: task, Epoch: epoch}, Worker: worker, Accelerators: []uint32{0},
		Reserved: at(from), Began: at(from + 0.1), Ended: at(to), Ending: ending,
	}
}

// validEvidence is that of a gang of two tasks that was stopped once and then completed.
func validEvidence() *Evidence {
	return &Evidence{
		Bounds:  Bounds{Alone: time.Second, TakeBack: 5 * time.Second},
		Classes: map[string]Class{"pair": {Name: "pair", Tasks: 2}},
		Submitted: []Submitted{
			{ID: "j", Class: "pair", SubmittedAt: at(0), Guaranteed: true},
		},
		Jobs: []api.Job{{ID: "j", WorkClass: "pair", State: api.JobCompleted, EndedMs: at(6).UnixMilli()}},
		Runs: []tasks.Run{
			run(0, 1, "a", 1, 2, tasks.Stopped), run(1, 1, "b", 1, 2.5, tasks.LeaseEnded),
			run(0, 2, "a", 3, 5, tasks.Completed), run(1, 2, "b", 3, 5, tasks.Completed),
		},
	}
}

// Each case corrupts valid evidence in one way that would harm a caller, and expects the
// check to report that kind of violation and, for valid evidence, none.
func TestCheck(t *testing.T) {
	cases := map[string]struct {
		corrupt func(e *Evidence)
		want    Kind
	}{
		"sound":                       {corrupt: func(*Evidence) {}},
		"accelerator shared by runs":  {func(e *Evidence) { e.Runs[0].Ended = at(3.2) }, AcceleratorShared},
		"a worker refused":            {func(e *Evidence) { e.Runs = append(e.Runs, run(0, 9, "a", 4, 4, tasks.Refused)) }, AcceleratorShared},
		"partial run after a stop":    {func(e *Evidence) { e.Runs[0].Ended, e.Runs[1].Ended = at(1.5), at(2.8) }, PartialRun},
		"partial run from the start":  {func(e *Evidence) { e.Runs[0].Began, e.Runs[1].Ended = time.Time{}, at(2.9) }, PartialRun},
		"started far apart":           {func(e *Evidence) { e.Runs[3].Began = at(4.5) }, PartialRun},
		"two epochs at once":          {func(e *Evidence) { e.Runs[1].Ended = at(3.5) }, EpochsOverlap},
		"started before all reserved": {func(e *Evidence) { e.Runs[3].Reserved = at(3.2) }, StartedBeforeReserved},
		"started without a member":    {func(e *Evidence) { e.Runs = e.Runs[1:] }, StartedBeforeReserved},
		"forgotten":                   {func(e *Evidence) { e.Jobs = nil }, JobLost},
		"without an end":              {func(e *Evidence) { e.Jobs[0].State = api.JobWaiting }, JobLost},
		"parked without evidence":     {func(e *Evidence) { e.Jobs[0].State = api.JobParked }, ParkedWithoutFailure},
		"completed across two epochs": {func(e *Evidence) { e.Runs[0].Ending, e.Runs[2].Ending = tasks.Completed, tasks.Stopped }, CompletedWithoutFullRun},
		"run after its end":           {func(e *Evidence) { e.Runs = append(e.Runs, run(0, 3, "a", 5, 6, tasks.Stopped)) }, RanAfterCompletion},
		"idempotent run after its end": {func(e *Evidence) {
			e.Classes = map[string]Class{"pair": {Name: "pair", Tasks: 2, Idempotent: true}}
			e.Runs = append(e.Runs, run(0, 3, "a", 5, 6, tasks.Stopped))
		}, RanAfterCompletion},
		"done twice":                          {func(e *Evidence) { e.Runs[0].Ending = tasks.Completed }, TaskCompletedTwice},
		"unknown checkpoint":                  {func(e *Evidence) { e.Runs[2].From = 700 }, UnknownCheckpoint},
		"preempted too late":                  {func(e *Evidence) { e.Submitted[0].SubmittedAt = at(-4) }, PreemptionLate},
		"preempted too late without failures": {func(e *Evidence) { e.Bounds.Quiet, e.Bounds.QuietWindow = time.Second, time.Second }, PreemptionLate},
		"never preempted":                     {func(e *Evidence) { e.Runs = nil }, PreemptionLate},
		"cancellation without effect":         {func(e *Evidence) { e.Submitted[0].Cancelled, e.Jobs[0].State = true, api.JobWaiting }, CancelIgnored},
		"entry without its job":               {func(e *Evidence) { e.Occurrences = []string{"mill@c1"} }, OccurrenceMismatch},
		"entry never due":                     {func(e *Evidence) { e.Jobs[0].Entry = "mill" }, OccurrenceMismatch},
		"still running after its end":         {func(e *Evidence) { e.Jobs[0].EndedMs = at(4).UnixMilli() }, RunningAfterEnd},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			evidence := validEvidence()
			c.corrupt(evidence)
			found := map[Kind]bool{}
			for _, violation := range Check(evidence).Violations {
				found[violation.Kind] = true
			}
			is.Equal(found[c.want], c.want != "")
			is.True(c.want != "" || len(found) == 0)
		})
	}
}

// Urgent work starts without any failure by preempting a gang that is cancelled much later,
// when the load is over. If the gang counted as cancelled, its preemption would be missed
// and a valid run would appear to have none. A gang that was stopped for its own
// cancellation, because a member's lease expired, or that is the urgent work itself, was not
// preempted for it.
func TestStopsOfATakeBack(t *testing.T) {
	cases := map[string]struct {
		change func(e *Evidence)
		want   int
	}{
		"preempted by urgent work":      {func(*Evidence) {}, 2},
		"preempted and cancelled later": {func(e *Evidence) { e.Submitted[1].Cancelled, e.Submitted[1].CancelRequestedAt = true, at(9) }, 2},
		"cancelled before":              {func(e *Evidence) { e.Submitted[1].CancelRequestedAt = at(0.5) }, 0},
		"lease of a member expired":     {func(e *Evidence) { e.Runs[3].Ending = tasks.LeaseEnded }, 0},
		"stopped before the submission": {func(e *Evidence) { e.Runs[2].Ended, e.Runs[3].Ended = at(-1), at(-1) }, 0},
		"itself":                        {func(e *Evidence) { e.Runs[2].Job, e.Runs[3].Job = "j", "j" }, 0},
	}
	// A gang is also stopped when a worker does not answer for a moment; that is a failure.
	t.Run("with a failure", func(t *testing.T) {
		is := is.New(t)
		evidence := preemptionEvidence()
		is.Equal(Check(evidence).SurelyTakenBack, 2)
		evidence.Jobs[1].Failures = []string{"c: worker_vanished"}
		is.Equal(Check(evidence).SurelyTakenBack, 0)
		evidence.Submitted[1].CancelRequestedAt = at(1.8)
		evidence.Runs = append(evidence.Runs, run(0, 2, "c", 1.7, 9, tasks.Stopped), run(1, 2, "d", 1.7, 9, tasks.Stopped))
		evidence.Runs[4].Job, evidence.Runs[5].Job = "long", "long"
		is.Equal(Check(evidence).SurelyTakenBack, 0) // the second stop was its cancellation
	})
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			evidence := preemptionEvidence()
			c.change(evidence)
			is.Equal(Check(evidence).QuietStops, c.want)
		})
	}
}

// preemptionEvidence is that of urgent work that starts by preempting a long gang while
// nothing fails.
func preemptionEvidence() *Evidence {
	evidence := validEvidence()
	evidence.Bounds.Quiet, evidence.Bounds.QuietWindow = 5*time.Second, time.Second
	evidence.Classes["long"] = Class{Name: "long", Tasks: 2, Idempotent: true}
	evidence.Submitted = append(evidence.Submitted, Submitted{ID: "long", Class: "long", SubmittedAt: at(-3)})
	evidence.Jobs = append(evidence.Jobs, api.Job{ID: "long", WorkClass: "long", State: api.JobCancelled, EndedMs: at(9).UnixMilli()})
	evidence.Runs = append(evidence.Runs[2:], run(0, 1, "c", -2, 1.5, tasks.Stopped), run(1, 1, "d", -2, 1.6, tasks.Stopped))
	evidence.Runs[2].Job, evidence.Runs[3].Job = "long", "long"
	return evidence
}

// A failure extends the limit for the start of guaranteed work only while it lasts, and
// overlapping failures do not count twice.
func TestOverlappingFailuresCountOnce(t *testing.T) {
	is := is.New(t)
	c := &check{Evidence: &Evidence{Failures: []Span{{at(9), at(20)}, {at(2), at(4)}, {at(1), at(3)}}}}
	is.Equal(c.faultTime(at(0), at(10)), 4*time.Second)
	is.Equal(c.faultTime(at(5), at(8)), time.Duration(0))
}
