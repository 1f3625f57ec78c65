package keepwarm

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func TestWorkersThatUrgentWorkLeftAreWarmForAWhile(t *testing.T) {
	is := is.New(t)
	on := func(urgent bool, workers ...string) []*controlpb.Job {
		job := &controlpb.Job{Workflow: "w", Urgent: urgent}
		for _, worker := range workers {
			job.Placements = append(job.Placements, &controlpb.Placement{Worker: worker})
		}
		return []*controlpb.Job{job}
	}
	now := time.Unix(1_000_000, 0)
	tracker := &Tracker{}
	is.Equal(len(tracker.Update(on(true, "a", "b"), now)), 0)
	is.Equal(tracker.Update(on(true, "b"), now), map[string]bool{"a": true})
	is.Equal(tracker.Update(on(false, "b"), now.Add(keepWarm/2)), map[string]bool{"a": true, "b": true})
	is.Equal(tracker.Update(nil, now.Add(keepWarm)), map[string]bool{"b": true})
	is.Equal(len(tracker.Update(nil, now.Add(2*keepWarm))), 0)
}
