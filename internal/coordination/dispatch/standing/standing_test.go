package standing_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/standing"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	waiting  = controlpb.JobState_JOB_STATE_WAITING
	stopping = controlpb.JobState_JOB_STATE_STOPPING
)

var begin = time.UnixMilli(1_000_000)

func unit(id, workflow string, state controlpb.JobState) *controlpb.Job {
	return &controlpb.Job{Id: id, Workflow: workflow, State: state, NextState: waiting}
}

// besidePlan has the jobs wait with room beside them.
func besidePlan(jobs ...string) *scheduling.Plan {
	plan := &scheduling.Plan{}
	for _, job := range jobs {
		plan.Waiting = append(plan.Waiting, scheduling.Reason{Job: job, Code: scheduling.ReasonNoCapacity})
		plan.Standing = append(plan.Standing, scheduling.Standing{Job: job, Since: begin})
	}
	return plan
}

// Work stands and nobody is told, or somebody is told again and again.
func TestWorkThatStandsIsTold(t *testing.T) {
	is := is.New(t)
	jobs := []*controlpb.Job{unit("a", "a", waiting), unit("b", "b", stopping)}
	watch := &standing.Watch{}
	plan := besidePlan("a")
	plan.Standing = append(plan.Standing, scheduling.Standing{Job: "b", Since: begin})
	told, warned, summary := watch.Look(begin, jobs, plan)
	is.Equal(len(told)+len(warned), 0)
	is.Equal(summary.Longest, time.Duration(0))

	told, warned, summary = watch.Look(begin.Add(time.Second), jobs, plan)
	is.Equal(len(told), 2)
	is.Equal(len(warned), 0)
	is.Equal(summary, standing.Summary{Jobs: 2, Longest: time.Second, Total: 2 * time.Second})

	told, warned, summary = watch.Look(begin.Add(2*time.Second), jobs, plan)
	is.Equal(len(told), 0)
	is.Equal(len(warned), 2)
	is.Equal(warned[1].Cause.Code, "stopping")
	is.Equal(summary.Total, 2*time.Second)

	told, warned, _ = watch.Look(begin.Add(3*time.Second), jobs, plan)
	is.Equal(len(told)+len(warned), 0)
}

// A line for what keeps a job back says what kept it back a minute ago.
func TestNewCauseIsTold(t *testing.T) {
	is := is.New(t)
	jobs := []*controlpb.Job{unit("a", "a", waiting)}
	watch := &standing.Watch{}
	watch.Look(begin, jobs, besidePlan("a"))
	watch.Look(begin.Add(time.Second), jobs, besidePlan("a"))
	plan := besidePlan("a")
	plan.Standing, plan.Kept = nil, []scheduling.Kept{{Job: "a", Near: "r1"}}
	told, _, summary := watch.Look(begin.Add(1500*time.Millisecond), jobs, plan)
	is.Equal(len(told), 1)
	is.Equal(told[0].Cause, standing.Cause{Code: "no_free_capacity", Near: "r1"})
	is.Equal(told[0].Waited, 1500*time.Millisecond)
	is.Equal(summary.Jobs, 0)
}

// A job that waits out the pause of a failure counts as one that could run.
func TestPauseIsNoWait(t *testing.T) {
	is := is.New(t)
	paused := unit("a", "a", waiting)
	paused.NotBeforeMs = begin.Add(time.Second).UnixMilli()
	watch := &standing.Watch{}
	watch.Look(begin, []*controlpb.Job{paused}, besidePlan("a"))
	watch.Look(begin.Add(time.Second), []*controlpb.Job{paused}, besidePlan("a"))
	watch.Look(begin.Add(1500*time.Millisecond), []*controlpb.Job{paused}, &scheduling.Plan{})
	is.Equal(watch.Waited("a", begin.Add(1500*time.Millisecond)), 500*time.Millisecond)
}
