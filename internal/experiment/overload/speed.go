package overload

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// minObservedRunTime is the age from which the progress of a gang shows the speeds of its
	// members.
	minObservedRunTime = 1200 * time.Millisecond
	// speedFitInterval is the least time between two estimates of speeds that change.
	speedFitInterval = 250 * time.Millisecond
)

// workOn returns the work that a worker does between two times.
func (d *Day) workOn(worker string, from, to time.Duration) time.Duration {
	speed := d.speeds[worker]
	work := speed * float64(to-from)
	if slow, ok := d.slow[worker]; ok {
		overlap := max(min(slow.to, to)-max(slow.from, from), 0)
		work -= speed * float64(overlap) * (1 - 1/d.SlowFactor)
	}
	return time.Duration(work)
}

// timeFor returns how long a worker takes for an amount of work that it begins at from.
func (d *Day) timeFor(worker string, from, work time.Duration) time.Duration {
	speed, left := d.speeds[worker], float64(work)
	normal := func(work float64) time.Duration { return time.Duration(work / speed) }
	slow, ok := d.slow[worker]
	before := speed * float64(max(slow.from-from, 0))
	if !ok || from >= slow.to || left <= before {
		return normal(left)
	}
	at := max(from, slow.from)
	during := speed / d.SlowFactor * float64(slow.to-at)
	if left -= before; left <= during {
		return at - from + normal(left*d.SlowFactor)
	}
	return slow.to - from + normal(left-during)
}

// runTime is how long a gang takes for an amount of work: as long as its slowest member.
func (d *Day) runTime(placements []*controlpb.Placement, from, work time.Duration) time.Duration {
	var longest time.Duration
	for _, placement := range placements {
		longest = max(longest, d.timeFor(placement.Worker, from, work))
	}
	return longest
}

// worked is the work that a unit has done since the start of its run.
func (d *Day) worked(u *unit, now time.Duration) time.Duration {
	if u.slowdown == 0 || now <= u.began {
		return 0
	}
	least := time.Duration(1<<63 - 1)
	for _, placement := range u.job.Placements {
		least = min(least, d.workOn(placement.Worker, u.began, now))
	}
	return time.Duration(float64(least) / u.slowdown)
}

// slowdown is RemoteFactor when the unit runs away from its data or a tightly coupled gang
// spans racks, otherwise 1.
func (d *Day) slowdown(u *unit, placements []*controlpb.Placement) float64 {
	racks := map[string]bool{}
	for _, placement := range placements {
		racks[d.rackOf[placement.Worker]] = true
	}
	away := u.job.DataRack != "" && (len(racks) > 1 || !racks[u.job.DataRack])
	if away || (u.job.TightlyCoupled && len(racks) > 1) {
		return d.RemoteFactor
	}
	return 1
}

// observe updates the estimated worker speeds from gangs that have run for long enough. A
// member's rate is the mean since the start of its run; on a day whose speeds change, it is
// observed again at each pass.
func (e *engine) observe() {
	for _, u := range e.active {
		if (e.day.slow == nil && u.observed == u.job.Epoch) || u.job.Tasks < 2 || u.job.StartedMs == 0 || e.now-u.began < minObservedRunTime || len(u.job.Placements) == 0 {
			continue
		}
		u.observed, e.observed = u.job.Epoch, true
		run := workerspeed.Run{Job: u.job.Id, Epoch: u.job.Epoch}
		for _, placement := range u.job.Placements {
			rate := float64(e.day.workOn(placement.Worker, u.began, e.now)) / float64(e.now-u.began)
			e.speedEstimator.Observe(run, placement.Worker, rate)
		}
	}
	if e.observed && (e.day.slow == nil || e.now-e.fittedAt >= speedFitInterval) {
		e.speeds, e.fittedAt, e.observed = e.speedEstimator.Speeds(), e.now, false
	}
}

// learn observes the run time of a unit that has ended, as dispatch does: the time that
// the run took, with the speed of its workers removed if ends are estimated.
func (e *engine) learn(u *unit, took time.Duration) {
	factor := 1.0
	if e.variant.On.ExpectedEnd {
		factor = scheduling.RunFactor(u.job, e.workerOf)
	}
	ran := time.Duration(float64(took)*factor) + u.done
	e.learned.Observe(u.job.WorkClass, time.Duration(u.job.RunTimeMs)*time.Millisecond, ran)
}

// workerOf returns what scheduling.RunFactor needs of a worker; the racks of a day have
// different names.
func (e *engine) workerOf(id string) *scheduling.Worker {
	return &scheduling.Worker{ID: id, Rack: e.day.rackOf[id], Speed: e.speeds[id]}
}
