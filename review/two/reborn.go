package main

import (
	"os"
	"time"
)

func init() { cases["reborn"] = reborn }

// reborn: twelve minions that start again under their ids, two of them of a kind of their own. One
// of the two is full for a few seconds; the other one crashes under a job, starts again, is given
// the job again, and is lost for good 2 s after its start. ONCE=1 leaves the restart out.
func reborn(c *caseRun) {
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(12)
	other, lost := c.w.minions[10], c.w.minions[11]
	for _, m := range c.w.minions {
		m.crash()
		c.w.locked(func() {
			m.keepsID = true
			if m == other || m == lost {
				m.kind = "b"
			}
		})
		m.start()
	}
	time.Sleep(8 * time.Second)
	submit := func(gpus int, work time.Duration) *job {
		j := newJob("/lohu930/", "work", step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: gpus, EstimatedMs: work.Milliseconds(), Requirement: "b", work: work})
		if s.submit(j)/100 != 2 {
			cannotRun("a job is not accepted")
		}
		time.Sleep(500 * time.Millisecond)
		return j
	}
	on := func(j *job) (m *minion) {
		c.w.locked(func() { m = c.w.activeOn(j.id + ".0.0.0") })
		return m
	}
	filler := submit(8, 9*time.Second)
	if on(filler) == lost {
		lost = other
	}
	j := submit(1, 8*time.Second)
	if on(j) != lost {
		cannotRun("the job does not run where it should")
	}
	if c.trouble && os.Getenv("ONCE") == "" {
		lost.crash()
		time.Sleep(time.Second)
		lost.start()
	}
	time.Sleep(2 * time.Second)
	c.w.locked(func() { c.w.note("the traffic ends") })
	end := time.Now()
	if c.trouble {
		if on(j) != lost {
			cannotRun("the job does not run where it should, once more")
		}
		lost.goDark()
	}
	c.watchStanding(s, []*job{j}, end, 16*time.Second)
}
