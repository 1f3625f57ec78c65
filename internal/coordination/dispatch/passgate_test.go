package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A single job must not wait up to a second beyond the end of its backoff because nothing
// else changes the input of a pass.
func TestPassIsDueWhenBackoffEnds(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	inBackoff := &controlpb.Job{State: controlpb.JobState_JOB_STATE_WAITING, NotBeforeMs: now.Add(100 * time.Millisecond).UnixMilli()}
	starting := &controlpb.Job{State: controlpb.JobState_JOB_STATE_STARTING, NotBeforeMs: now.Add(50 * time.Millisecond).UnixMilli()}
	gate := &passGate{}
	is.True(gate.admit(1, nil, now))
	gate.expectBackoffEnds([]*controlpb.Job{inBackoff, starting})
	is.True(!gate.admit(1, nil, now.Add(99*time.Millisecond)))
	is.True(gate.admit(1, nil, now.Add(100*time.Millisecond)))
	gate.expectBackoffEnds([]*controlpb.Job{inBackoff})
	is.True(!gate.admit(1, nil, now.Add(1099*time.Millisecond)))
	is.True(gate.admit(1, nil, now.Add(1100*time.Millisecond)))
	is.True(gate.admit(2, nil, now.Add(1101*time.Millisecond)))
}

// A job that has been starved for the longest permitted time must not wait up to a second
// more because nothing changes the input of a pass.
func TestPassIsDueAtStarvationLimit(t *testing.T) {
	is := is.New(t)
	now := time.UnixMilli(1_000_000)
	gate := &passGate{}
	is.True(gate.admit(1, nil, now))
	starved := func(since time.Duration) scheduling.StarvedJob { return scheduling.StarvedJob{Since: now.Add(since)} }
	gate.expectStarvation(&scheduling.Plan{Starved: []scheduling.StarvedJob{starved(100*time.Millisecond - scheduling.MaxStarvation), starved(-time.Minute)}})
	is.True(!gate.admit(1, nil, now.Add(99*time.Millisecond)))
	is.True(gate.admit(1, nil, now.Add(100*time.Millisecond)))
	gate.expectStarvation(&scheduling.Plan{Waiting: make([]scheduling.Reason, 1), QuietSince: now.Add(149 * time.Millisecond)})
	is.True(!gate.admit(1, nil, now.Add(149*time.Millisecond)))
	is.True(gate.admit(1, nil, now.Add(150*time.Millisecond)))
}

// Guards against guaranteed work that may pass isolation, and stop any work, only up to a second after it has waited
// for scheduling.UnlimitedLossAfter, because nothing else calls for a pass.
func TestPassIsDueWhenGuaranteedWorkHasWaited(t *testing.T) {
	is := is.New(t)
	var g passGate
	submitted := time.UnixMilli(1_800_000_000_000)
	waits := []*controlpb.Job{{Id: "j", Urgent: true, Workflow: "w", State: controlpb.JobState_JOB_STATE_WAITING, SubmittedMs: submitted.UnixMilli()}}
	plan := &scheduling.Plan{Waiting: []scheduling.Reason{{Job: "j"}}, QuietSince: submitted.Add(time.Minute)}
	for _, after := range []time.Duration{0, 950 * time.Millisecond} { // the log changes at both times
		is.True(g.admit(uint64(after)+1, nil, submitted.Add(after)))
		g.expectBackoffEnds(waits)
		g.expectStarvation(plan)
	}
	is.True(g.admit(uint64(950*time.Millisecond)+1, nil, submitted.Add(scheduling.UnlimitedLossAfter+50*time.Millisecond)))
}
