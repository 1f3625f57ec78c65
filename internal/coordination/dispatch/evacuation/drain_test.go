package evacuation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

var ordered = time.UnixMilli(1_800_000_000_000)

// Guards against stops that discard work without need: of work that cannot resume, that ends
// in time, that runs elsewhere, or that would only wait.
func TestOnlyLongResumableWorkIsStopped(t *testing.T) {
	is := is.New(t)
	runs := func(id, worker string, checkpointable bool) *controlpb.Job {
		return &controlpb.Job{
			Id: id, Epoch: 3, State: controlpb.JobState_JOB_STATE_RUNNING, Checkpointable: checkpointable,
			Placements: []*controlpb.Placement{{Task: 0, Worker: "w0"}, {Task: 1, Worker: worker}},
		}
	}
	stopping := runs("stopping", "e", true)
	stopping.State = controlpb.JobState_JOB_STATE_STOPPING
	remaining := map[string]time.Duration{"short": 4 * time.Second}
	in := &Running{
		Now:         ordered.Add(5 * time.Second),
		Jobs:        []*controlpb.Job{runs("long", "e", true), runs("short", "e", true), runs("fixed", "e", false), runs("west", "w1", true), runs("wide", "e", true), stopping},
		DataCentres: map[string]string{"w0": "west", "w1": "west", "e": "east"},
		Records:     []*controlpb.Evacuation{{DataCentre: "east", Active: true, StartedMs: ordered.UnixMilli()}, {DataCentre: "west"}},
		Remaining: func(job *controlpb.Job) time.Duration {
			if d, ok := remaining[job.Id]; ok {
				return d
			}
			return time.Minute
		},
		FitsElsewhere: func(job *controlpb.Job) bool { return job.Id != "wide" },
	}
	is.Equal(Config{}.Stops(in), nil)
	stops := Config{Drain: 10 * time.Second}.Stops(in)
	is.Equal(len(stops), 1)
	is.Equal(stops[0].Job, "long")
	is.Equal(stops[0].Epoch, uint64(3))
	is.Equal(stops[0].Allowed, 5*time.Second)
	in.Records[0].Active = false
	is.Equal(Config{Drain: 10 * time.Second}.Stops(in), nil)
}

// A whole data centre of cold workers must not take work at once, warm ones must not be held
// back, and no worker is held back for good.
func TestReadmissionGrowsInSteps(t *testing.T) {
	is := is.New(t)
	var live []*peerpb.Upstream
	for i := range 10 {
		live = append(live, &peerpb.Upstream{Id: fmt.Sprint("e", i), DataCentre: "east"}, &peerpb.Upstream{Id: fmt.Sprint("w", i), DataCentre: "west"})
	}
	records := []*controlpb.Evacuation{{DataCentre: "east", FinishedMs: ordered.UnixMilli()}, {DataCentre: "west", Active: true, FinishedMs: 1}}
	jobs := []*controlpb.Job{{Id: "j", Placements: []*controlpb.Placement{{Worker: "e9"}}}}
	config := Config{ColdStart: 5 * time.Second, ColdPerSecond: 2}
	for after, want := range map[time.Duration]int{-time.Second: 8, 0: 8, time.Second: 6, 2 * time.Second: 4, 5 * time.Second: 0, time.Hour: 0} {
		held := config.Held(ordered.Add(after), records, live, jobs)
		is.Equal(len(held), want)
		is.True(!held["e0"])
		is.True(!held["e9"])
	}
	is.Equal(len(Config{}.Held(ordered, records, live, jobs)), 0)
}
