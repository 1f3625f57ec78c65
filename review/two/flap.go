package main

import "time"

func init() { cases["flap"] = flap }

// flap: twelve minions, one of them of a kind of its own, which a job requires. That minion goes
// down and up by turns for some seconds. Nothing ends failed, so that the job may not be shown as
// failed.
func flap(c *caseRun) {
	const (
		period = 1400 * time.Millisecond
		length = 6500 * time.Millisecond
		work   = 12 * time.Second
	)
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(12)
	rare := c.w.minions[11]
	c.w.locked(func() { rare.kind = "b" })
	time.Sleep(3500 * time.Millisecond)
	j := newJob("/lohu930/", "work", step{Count: 1, CPU: 13000, MemMB: 68000, GPUs: 4, EstimatedMs: work.Milliseconds(), Requirement: "b", work: work})
	if s.submit(j)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	time.Sleep(2 * time.Second)
	if c.trouble {
		for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(period) {
			rare.crash()
			time.Sleep(period)
			rare.start()
		}
	}
	c.watchFailed(s, []*job{j}, 30*time.Second)
}

// watchFailed asks for the states of jobs until all are completed or the time is over. A job
// that is shown as failed although fewer than maxAttempts runs have ended failed breaks the rule.
func (c *caseRun) watchFailed(s *system, jobs []*job, length time.Duration) {
	last := map[string]string{}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(500 * time.Millisecond) {
		completed := 0
		for n, j := range jobs {
			state := s.state(j, n)
			if state == "completed" {
				completed++
			}
			if state == last[j.id] {
				continue
			}
			last[j.id] = state
			c.w.locked(func() {
				c.w.note("GET %s: %s", j.id, state)
				task := j.id + ".0.0.0"
				if state == "failed" && c.w.failed[task] < 3 {
					c.w.breach("LOST: job %s is shown as failed; of its %d runs %d have ended failed, maxAttempts is 3", j.id, len(c.w.startsOf(task)), c.w.failed[task])
				}
			})
		}
		if completed == len(jobs) {
			return
		}
	}
}
