package starvation_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/starvation"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	waiting  = controlpb.JobState_JOB_STATE_WAITING
	stopping = controlpb.JobState_JOB_STATE_STOPPING
)

var start = time.UnixMilli(1_000_000)

func newJob(id, workflow string, state controlpb.JobState) *controlpb.Job {
	return &controlpb.Job{Id: id, Workflow: workflow, State: state, NextState: waiting}
}

// starvedPlan returns a plan in which the jobs wait although capacity is free.
func starvedPlan(jobs ...string) *scheduling.Plan {
	plan := &scheduling.Plan{}
	for _, job := range jobs {
		plan.Waiting = append(plan.Waiting, scheduling.Reason{Job: job, Code: scheduling.ReasonNoCapacity})
		plan.Starved = append(plan.Starved, scheduling.StarvedJob{Job: job, Since: start})
	}
	return plan
}

// Starved jobs are logged and toWarn of once each, neither never nor repeatedly.
func TestStarvedJobsAreReported(t *testing.T) {
	is := is.New(t)
	jobs := []*controlpb.Job{newJob("a", "a", waiting), newJob("b", "b", stopping)}
	tracker := &starvation.Tracker{}
	plan := starvedPlan("a")
	plan.Starved = append(plan.Starved, scheduling.StarvedJob{Job: "b", Since: start})
	toLog, toWarn, summary := tracker.Observe(start, jobs, plan)
	is.Equal(len(toLog)+len(toWarn), 0)
	is.Equal(summary.Longest, time.Duration(0))

	toLog, toWarn, summary = tracker.Observe(start.Add(time.Second), jobs, plan)
	is.Equal(len(toLog), 2)
	is.Equal(len(toWarn), 0)
	is.Equal(summary, starvation.Summary{Jobs: 2, Longest: time.Second, Total: 2 * time.Second})

	toLog, toWarn, summary = tracker.Observe(start.Add(2*time.Second), jobs, plan)
	is.Equal(len(toLog), 0)
	is.Equal(len(toWarn), 2)
	is.Equal(toWarn[1].Cause.Code, "stopping")
	is.Equal(summary.Total, 2*time.Second)

	toLog, toWarn, _ = tracker.Observe(start.Add(3*time.Second), jobs, plan)
	is.Equal(len(toLog)+len(toWarn), 0)
}

// A job whose cause changes is logged again, or the log would show an outdated cause.
func TestNewCauseIsReported(t *testing.T) {
	is := is.New(t)
	jobs := []*controlpb.Job{newJob("a", "a", waiting)}
	tracker := &starvation.Tracker{}
	tracker.Observe(start, jobs, starvedPlan("a"))
	tracker.Observe(start.Add(time.Second), jobs, starvedPlan("a"))
	plan := starvedPlan("a")
	plan.Starved, plan.LocalityWaits = nil, []scheduling.LocalityWait{{Job: "a", Locality: "r1"}}
	toLog, _, summary := tracker.Observe(start.Add(1500*time.Millisecond), jobs, plan)
	is.Equal(len(toLog), 1)
	is.Equal(toLog[0].Cause, starvation.Cause{Code: "no_free_capacity", Locality: "r1"})
	is.Equal(toLog[0].Waited, 1500*time.Millisecond)
	is.Equal(summary.Jobs, 0)
}

// The backoff after a failure must not count as time in which the job could have run.
func TestBackoffIsNotCountedAsWaiting(t *testing.T) {
	is := is.New(t)
	inBackoff := newJob("a", "a", waiting)
	inBackoff.NotBeforeMs = start.Add(time.Second).UnixMilli()
	tracker := &starvation.Tracker{}
	tracker.Observe(start, []*controlpb.Job{inBackoff}, starvedPlan("a"))
	tracker.Observe(start.Add(time.Second), []*controlpb.Job{inBackoff}, starvedPlan("a"))
	tracker.Observe(start.Add(1500*time.Millisecond), []*controlpb.Job{inBackoff}, &scheduling.Plan{})
	is.Equal(tracker.Waited("a", start.Add(1500*time.Millisecond)), 500*time.Millisecond)
}
