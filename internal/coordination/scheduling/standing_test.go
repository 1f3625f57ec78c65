package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// standingBound is how long work may have nothing running beside much free room, and a
// step of the short replay.
const standingBound = 1500*time.Millisecond + replayEvery

// nearData are units of workflows of their own, each with its data in the rack.
func nearData(rack string, ids ...string) []arrival {
	var arrivals []arrival
	for i, id := range ids {
		at := time.Duration(i+1) * replayEvery
		unit := unitJob(id, "b", 2, 8, dataIn(rack))
		unit.SubmittedMs = start.Add(at).UnixMilli()
		arrivals = append(arrivals, arrival{at, unit})
	}
	return arrivals
}

// busyRack is the first of three racks with all its workers busy.
func busyRack(busy time.Duration) ([]Worker, []arrival) {
	workers := testWorkers(1, 3, 4, 8)
	job := unitJob("busy", "b", 4, 8, running(0, 0, "d0-r0-w0", "d0-r0-w1", "d0-r0-w2", "d0-r0-w3"))
	job.RunTimeMs = busy.Milliseconds()
	return workers, []arrival{{0, job}}
}

// Accepted work of several workflows has nothing running for as long as the rack of its
// data, or every rack, is busy in part, while most of the workers idle.
func TestWorkBeginsBesideFreeRoom(t *testing.T) {
	for _, c := range []struct {
		name   string
		busy   func(time.Duration) ([]Worker, []arrival)
		coming []arrival
	}{
		{"one unit near its data", busyRack, nearData("r0", "u0")},
		{"two units of two workflows near their data", busyRack, nearData("r0", "u0", "u1")},
		{"a gang for a whole rack", busyRacks, gangArrivals("g0")},
		{"gangs for whole racks, one after the other", busyRacks, gangArrivals("g0", "g1", "g2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			workers, busy := c.busy(40 * time.Second)
			longest := longestStand(workers, append(busy, c.coming...), time.Minute)
			t.Log("longest stand", longest)
			is.True(longest <= standingBound) // nothing stands for longer
		})
	}
}

// longestStand replays arrivals and gives for how long a job stood at the most: it waits,
// over half of the accelerators are free, and it fits twice over.
func longestStand(workers []Worker, arrivals []arrival, length time.Duration) time.Duration {
	r := newShortReplay(workers, arrivals)
	since := map[string]time.Duration{}
	var longest time.Duration
	for now := time.Duration(0); now <= length; now += replayEvery {
		r.pass(now)
		for _, job := range r.active(now) {
			if job.State != controlpb.JobState_JOB_STATE_WAITING || !r.standsNow(job, now) {
				delete(since, job.Id)
				continue
			}
			if _, known := since[job.Id]; !known {
				since[job.Id] = now
			}
			longest = max(longest, now-since[job.Id])
		}
	}
	return longest
}

// standsNow counts by itself what runs: over half of the accelerators are free, and there
// is room for the job's tasks twice over.
func (r *shortReplay) standsNow(job *controlpb.Job, now time.Duration) bool {
	free := map[string]uint32{}
	var all, left, fit uint32
	for _, worker := range r.workers {
		free[worker.ID] = worker.Accelerators
		all += worker.Accelerators
	}
	for _, other := range r.active(now) {
		for _, placement := range other.Placements {
			free[placement.Worker] -= other.Accelerators
		}
	}
	for _, accelerators := range free {
		left += accelerators
		fit += accelerators / job.Accelerators
	}
	return 2*left > all && fit >= 2*job.Tasks
}
