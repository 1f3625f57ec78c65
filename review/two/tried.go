package main

import (
	"time"
)

func init() { cases["tried"] = tried }

// tried: eight minions, two of them of a kind of their own. One of the two is full of work that
// lasts. The other fails what it starts for a time, and then is sound and idle.
func tried(c *caseRun) {
	const grey = 6500 * time.Millisecond
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(12)
	a, b := c.w.minions[10], c.w.minions[11]
	c.w.locked(func() { a.kind, b.kind = "b", "b" })
	time.Sleep(3500 * time.Millisecond)
	lasting := newJob("/lohu930/", "lasting work", step{Count: 1, CPU: 13000, MemMB: 68000, GPUs: 8, EstimatedMs: 60000, Requirement: "b", work: 60 * time.Second})
	if s.submit(lasting)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	time.Sleep(time.Second)
	var idle *minion
	c.w.locked(func() {
		idle = a
		if len(a.running) > 0 {
			idle = b
		}
		if c.trouble {
			idle.failing = true
			c.w.note("minion %s fails all that it starts", idle.name)
		}
	})
	began := time.Now()
	j := newJob("/lohu930/", "work", step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 6000, Requirement: "b", work: 6 * time.Second})
	if s.submit(j)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	time.Sleep(time.Until(began.Add(grey)))
	end := time.Now()
	c.w.locked(func() {
		idle.failing = false
		c.w.note("minion %s is sound; the traffic ends", idle.name)
	})
	c.watchStanding(s, []*job{j}, end, 10*time.Second)
}
