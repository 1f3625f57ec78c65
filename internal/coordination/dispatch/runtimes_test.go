package dispatch

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A class that happens to run on slow workers must not look longer than it is.
func TestRunTimesLeaveOutTheSpeedOfTheWorkers(t *testing.T) {
	is := is.New(t)
	r := newRunTimes()
	job := &controlpb.Job{State: controlpb.JobState_JOB_STATE_COMPLETED, WorkClass: "c", RunTimeMs: 10_000, StartedMs: 1_000, EndedMs: 21_000}
	r.observe(job, 0.5)
	is.Equal(r.estimates.Estimate("c", 10*time.Second), 10.0)
	workers := []scheduling.Worker{{ID: "w", Rack: "r", Speed: 0.5}}
	job.Placements = []*controlpb.Placement{{Worker: "w"}}
	on := &Controller{dispatcher: &Dispatcher{config: Config{Features: scheduling.Features{ExpectedEnd: true}}}}
	is.Equal(on.runFactors(on.dispatcher.config.Features, workers)(job), 0.5)
	off := &Controller{dispatcher: &Dispatcher{}}
	is.True(off.runFactors(off.dispatcher.config.Features, workers) == nil)
}
