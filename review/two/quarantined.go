package main

import (
	"fmt"
	"time"
)

func init() { cases["quarantined"] = quarantined }

// quarantined: twelve minions, one of them of a kind of its own, which six jobs require. For 6.5 s
// that minion fails all that it starts; then it is sound again and idle.
func quarantined(c *caseRun) {
	const grey = 6500 * time.Millisecond
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(12)
	rare := c.w.minions[11]
	c.w.locked(func() { rare.kind = "b" })
	time.Sleep(3500 * time.Millisecond)
	if c.trouble {
		c.w.locked(func() {
			rare.failing = true
			c.w.note("minion %s fails all that it starts", rare.name)
		})
	}
	began := time.Now()
	var jobs []*job
	for n := range 6 {
		j := newJob("/lohu930/", fmt.Sprintf("work %d", n), step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 6000, Requirement: "b", work: 6 * time.Second})
		if s.submit(j)/100 != 2 {
			cannotRun("a job is not accepted")
		}
		jobs = append(jobs, j)
	}
	time.Sleep(time.Until(began.Add(grey)))
	end := time.Now()
	c.w.locked(func() {
		rare.failing = false
		c.w.note("minion %s is sound again; the traffic ends", rare.name)
	})
	c.watchStanding(s, jobs, end, 20*time.Second)
}
