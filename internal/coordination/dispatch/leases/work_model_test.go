package leases_test

import (
	"maps"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
)

// advance processes the workers' events up to now in order of time.
func (sim *simulation) advance(now time.Time) {
	for {
		at, act := sim.nextEvent()
		if act == nil || at.After(now) {
			return
		}
		act()
	}
}

// nextEvent returns the earliest lease expiry, stop, or natural end of a run.
func (sim *simulation) nextEvent() (first time.Time, act func()) {
	consider := func(at time.Time, do func()) {
		if act == nil || at.Before(first) {
			first, act = at, do
		}
	}
	for _, b := range sim.workers {
		if b.crashed || len(b.running) == 0 {
			continue
		}
		end := b.leaseEnd()
		consider(end, func() { sim.expireLease(b, end) })
		for _, task := range b.tasks() {
			active := b.running[task]
			if !active.stopsAt.IsZero() {
				consider(active.stopsAt, func() { sim.endRun(b, task, leases.Stopped, active.stopsAt) })
			}
			if at, outcome := sim.naturalEnd(task, active); outcome != 0 {
				consider(at, func() { sim.endWork(b, task, outcome, at) })
			}
		}
	}
	return first, act
}

// naturalEnd returns when and how a run ends by itself. A gang works from the start of
// its last member.
func (sim *simulation) naturalEnd(task string, active *activeRun) (time.Time, leases.Outcome) {
	if active.detached {
		return time.Time{}, 0
	}
	size, job := sim.gangOf(task)
	if size == 0 {
		return active.began.Add(sim.taskDuration[workflowOf(task)]), leases.Done
	}
	members, last := 0, time.Time{}
	for _, b := range sim.workers {
		for name, other := range b.running {
			if _, of := sim.gangOf(name); !b.crashed && of == job && other.run == active.run {
				members++
				if other.began.After(last) {
					last = other.began
				}
			}
		}
	}
	if members == size {
		return last.Add(sim.taskDuration[workflowOf(task)]), leases.Done
	}
	return active.began.Add(gangStartTimeout), leases.GangTimedOut
}

func (sim *simulation) gangOf(task string) (size int, job string) {
	job = task[:strings.LastIndexByte(task, '.')]
	return sim.gangSizes[job], job
}

func workflowOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (sim *simulation) expireLease(b *workerProcess, now time.Time) {
	tasks, expired := b.tasks(), maps.Clone(b.running)
	b.expireLease(now)
	for _, task := range tasks {
		sim.breakGang(task, expired[task].run, now)
	}
}

// endRun ends one run, and with it the gang to which it belongs.
func (sim *simulation) endRun(b *workerProcess, task string, outcome leases.Outcome, now time.Time) {
	run := b.running[task].run
	b.end(task, outcome, now)
	sim.breakGang(task, run, now)
}

func (sim *simulation) breakGang(task string, run uint64, now time.Time) {
	if size, job := sim.gangOf(task); size > 0 {
		sim.endGang(job, run, leases.GangBroken, now)
	}
}

func (sim *simulation) endGang(job string, run uint64, outcome leases.Outcome, now time.Time) {
	for _, b := range sim.workers {
		for _, name := range b.tasks() {
			if _, of := sim.gangOf(name); of != job || b.running[name].run != run {
				continue
			}
			if sim.gangsBreakUnevenly && outcome == leases.GangBroken && sim.leader.unreachable[b.id] {
				b.running[name].detached = true
				continue
			}
			b.end(name, outcome, now)
		}
	}
}

func (sim *simulation) endWork(b *workerProcess, task string, outcome leases.Outcome, now time.Time) {
	if size, job := sim.gangOf(task); size > 0 && outcome == leases.Done {
		sim.endGang(job, b.running[task].run, leases.Done, now)
		return
	}
	b.end(task, outcome, now)
}
