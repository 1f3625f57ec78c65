package scheduling

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// starvationLimit is how long work may have nothing running beside ample free capacity,
// plus a step of the short replay.
const starvationLimit = 1500*time.Millisecond + replayStep

// unitsNearData returns units of separate workflows, each with its data in the rack.
func unitsNearData(rack string, ids ...string) []arrival {
	var arrivals []arrival
	for i, id := range ids {
		at := time.Duration(i+1) * replayStep
		unit := unitJob(id, "b", 2, 8, dataIn(rack))
		unit.SubmittedMs = start.Add(at).UnixMilli()
		arrivals = append(arrivals, arrival{at, unit})
	}
	return arrivals
}

// busyRack returns three racks of four workers, and a job that occupies all workers of
// the first.
func busyRack(busy time.Duration) ([]Worker, []arrival) {
	workers := testWorkers(1, 3, 4, 8)
	job := unitJob("busy", "b", 4, 8, running(0, 0, "d0-r0-w0", "d0-r0-w1", "d0-r0-w2", "d0-r0-w3"))
	job.RunTimeMs = busy.Milliseconds()
	return workers, []arrival{{0, job}}
}

// Guards against starvation by locality: accepted work of several workflows has nothing
// running as long as the rack of its data, or every rack, is partly busy, while most
// of the workers are idle.
func TestRestrictedWorkStartsWhileCapacityIsFree(t *testing.T) {
	for _, c := range []struct {
		name   string
		busy   func(time.Duration) ([]Worker, []arrival)
		coming []arrival
	}{
		{"one unit near its data", busyRack, unitsNearData("r0", "u0")},
		{"two units of two workflows near their data", busyRack, unitsNearData("r0", "u0", "u1")},
		{"a gang for a whole rack", busyRacks, gangArrivals("g0")},
		{"gangs for whole racks, one after the other", busyRacks, gangArrivals("g0", "g1", "g2")},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			workers, busy := c.busy(40 * time.Second)
			longest := longestStarvation(workers, append(busy, c.coming...), time.Minute)
			t.Log("longest starvation", longest)
			is.True(longest <= starvationLimit) // nothing is starved for longer
		})
	}
}

// longestStarvation replays arrivals and returns the longest time for which a job was
// starved: it waits, and twice its tasks fit, while over half of the accelerators are
// free or arrivals have stopped (the cores are free all the time).
func longestStarvation(workers []Worker, arrivals []arrival, length time.Duration) time.Duration {
	r := newShortReplay(workers, arrivals)
	since := map[string]time.Duration{}
	var longest, last time.Duration
	for _, a := range arrivals {
		last = max(last, a.at)
	}
	for now := time.Duration(0); now <= length; now += replayStep {
		r.pass(now)
		for _, job := range r.active(now) {
			if job.State != controlpb.JobState_JOB_STATE_WAITING || !r.starvedNow(job, now, now-last > MaxStarvation) {
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

// starvedNow counts the running work independently of the pass.
func (r *shortReplay) starvedNow(job *controlpb.Job, now time.Duration, quiet bool) bool {
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
	return (quiet || 2*left > all) && fit >= 2*job.Tasks
}

// Guards against starvation ruling out preemption: guaranteed or urgent work that has
// been starved, but can't start on any worker, still has to preempt.
func TestStarvedWorkMayPreempt(t *testing.T) {
	one := func() []Worker { return testWorkers(1, 1, 1, 8) }
	starved := func(snapshot *Snapshot, job string) *Snapshot {
		snapshot.Starved = []StarvedJob{{Job: job, Since: start.Add(-time.Minute)}}
		return snapshot
	}
	lent := func() *controlpb.Job { return unitJob("loan", "b", 1, 8, running(time.Second, 0, "d0-r0-w0")) }
	own := waitingJob("j", "a", 1, 8, urgent)
	runCases(t, []passCase{
		{name: "a job of no workflow", snapshot: starved(unitsSnapshot(one(), own, lent()), "j"), want: map[string]string{"j": "taking_back", "loan": "stop"}},
		{name: "a unit whose free capacity is gone", snapshot: starved(unitsSnapshot(one(), unitJob("j", "a", 1, 8, topPriority, dueIn(4*time.Second)), lent()), "j"),
			want: map[string]string{"j": "taking_back", "loan": "stop"}},
	})
}

// drawBusyCluster draws a cluster of few or many racks, with long-running work on it.
func drawBusyCluster(t *rapid.T) ([]Worker, []arrival) {
	racks, perRack := rapid.IntRange(1, 5).Draw(t, "racks"), rapid.IntRange(1, 6).Draw(t, "workers a rack")
	workers := testWorkers(1, racks, perRack, 8)
	var arrivals []arrival
	for i := range workers {
		held := rapid.SampledFrom([]uint32{0, 0, 0, 1, 4, 8}).Draw(t, "held")
		if held == 0 {
			continue
		}
		job := unitJob("on-"+workers[i].ID, "b", 1, held, running(0, 0, workers[i].ID))
		job.RunTimeMs = int64(rapid.SampledFrom([]int{5, 20, 60}).Draw(t, "busy for")) * 1000
		arrivals = append(arrivals, arrival{0, job})
	}
	return workers, arrivals
}

// drawUnits draws units that arrive within some seconds, many of them with data in a
// rack or in gangs for whole racks, some of them urgent.
func drawUnits(t *rapid.T, racks int) []arrival {
	var arrivals []arrival
	for i := range rapid.IntRange(1, 12).Draw(t, "units") {
		at := time.Duration(rapid.IntRange(0, 50).Draw(t, "at")) * replayStep
		unit := unitJob(fmt.Sprint("u", i), rapid.SampledFrom([]string{"a", "b"}).Draw(t, "customer"),
			uint32(rapid.IntRange(1, 8).Draw(t, "tasks")), uint32(rapid.IntRange(1, 8).Draw(t, "each")))
		unit.RunTimeMs = int64(rapid.SampledFrom([]int{1, 5, 11}).Draw(t, "run")) * 1000
		unit.SubmittedMs = start.Add(at).UnixMilli()
		unit.DeadlineMs = start.Add(at + 3*time.Duration(unit.RunTimeMs)*time.Millisecond).UnixMilli()
		switch rapid.IntRange(0, 3).Draw(t, "kind") {
		case 0:
			unit.DataRack = fmt.Sprint("r", rapid.IntRange(0, racks-1).Draw(t, "data"))
		case 1:
			unit.TightlyCoupled = true
		case 2:
			unit.Urgent, unit.Priority, unit.TightlyCoupled = true, 0, true
		}
		arrivals = append(arrivals, arrival{at, unit})
	}
	return arrivals
}

// Work of any shape is never starved for long while there is ample free capacity,
// whatever runs and arrives at the same time.
func TestNoWorkIsStarvedBesideFreeCapacity(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers, busy := drawBusyCluster(t)
		racks := map[string]bool{}
		for _, worker := range workers {
			racks[worker.Rack] = true
		}
		arrivals := append(busy, drawUnits(t, len(racks))...)
		if longest := longestStarvation(workers, arrivals, 70*time.Second); longest > starvationLimit {
			t.Fatalf("a job was starved for %v", longest)
		}
	})
}
