package leases_test

import (
	"maps"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
)

// advance lets the workers' time pass up to now, event by event.
func (w *world) advance(now time.Time) {
	for {
		at, act := w.nextEvent()
		if act == nil || at.After(now) {
			return
		}
		act()
	}
}

// nextEvent is the earliest end of a lease, a stop or a task's work.
func (w *world) nextEvent() (first time.Time, act func()) {
	consider := func(at time.Time, do func()) {
		if act == nil || at.Before(first) {
			first, act = at, do
		}
	}
	for _, b := range w.boots {
		if b.down || len(b.running) == 0 {
			continue
		}
		end := b.leaseEnd()
		consider(end, func() { w.lapse(b, end) })
		for task, alive := range b.running {
			if !alive.stopsAt.IsZero() {
				consider(alive.stopsAt, func() { w.endMember(b, task, leases.Stopped, alive.stopsAt) })
			}
			if at, how := w.worksUntil(task, alive); how != 0 {
				consider(at, func() { w.endWork(b, task, how, at) })
			}
		}
	}
	return first, act
}

// worksUntil is when a run ends by itself; a gang works from its last member's start.
func (w *world) worksUntil(task string, alive *modelRun) (time.Time, leases.How) {
	size, job := w.gangOf(task)
	if size == 0 {
		return alive.began.Add(w.work[workflowOf(task)]), leases.Done
	}
	members, last := 0, time.Time{}
	for _, b := range w.boots {
		for name, other := range b.running {
			if _, of := w.gangOf(name); !b.down && of == job && other.run == alive.run {
				members++
				if other.began.After(last) {
					last = other.began
				}
			}
		}
	}
	if members == size {
		return last.Add(w.work[workflowOf(task)]), leases.Done
	}
	return alive.began.Add(gangPatience), leases.Alone
}

func (w *world) gangOf(task string) (size int, job string) {
	job = task[:strings.LastIndexByte(task, '.')]
	return w.gangs[job], job
}

func workflowOf(task string) string { return task[:strings.IndexByte(task, '.')] }

func (w *world) lapse(b *boot, now time.Time) {
	lapsed := maps.Clone(b.running)
	b.lapse(now)
	for task, alive := range lapsed {
		w.breakGang(task, alive.run, now)
	}
}

// endMember ends one run, and with it the gang that it belongs to.
func (w *world) endMember(b *boot, task string, how leases.How, now time.Time) {
	run := b.running[task].run
	b.end(task, how, now)
	w.breakGang(task, run, now)
}

func (w *world) breakGang(task string, run uint64, now time.Time) {
	if size, job := w.gangOf(task); size > 0 {
		w.endGang(job, run, leases.Broken, now)
	}
}

func (w *world) endGang(job string, run uint64, how leases.How, now time.Time) {
	for _, b := range w.boots {
		for name, alive := range b.running {
			if _, of := w.gangOf(name); of == job && alive.run == run {
				b.end(name, how, now)
			}
		}
	}
}

func (w *world) endWork(b *boot, task string, how leases.How, now time.Time) {
	if size, job := w.gangOf(task); size > 0 && how == leases.Done {
		w.endGang(job, b.running[task].run, leases.Done, now)
		return
	}
	b.end(task, how, now)
}
