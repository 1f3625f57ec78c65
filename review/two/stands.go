package main

import (
	"fmt"
	"time"
)

func init() { cases["stands"] = stands }

const (
	// finish is finish_s, standing the span for which accepted work may have nothing running.
	finish   = 14 * time.Second
	standing = 3 * time.Second
)

// activeOn returns the minion that runs a task, or nil. The caller holds the mutex.
func (w *world) activeOn(task string) *minion {
	if runs := w.active[task]; len(runs) > 0 {
		return runs[0].m
	}
	return nil
}

// roomFor returns how many tasks of a step the free room of a service's minions holds, and whether
// under half of the service's capacity is in use. The caller holds the mutex.
func (w *world) roomFor(service string, s step) (tasks int, underHalf bool) {
	var cpu, gpus, usedCPU, usedGPUs int
	for _, m := range w.minions {
		if m.service != service {
			continue
		}
		cpu, gpus = cpu+m.cpu, gpus+m.gpus
		freeCPU, freeMem, freeGPUs := m.cpu, m.mem, m.gpus
		for _, r := range m.running {
			freeCPU, freeMem, freeGPUs = freeCPU-r.s.CPU, freeMem-r.s.MemMB, freeGPUs-r.s.GPUs
		}
		usedCPU, usedGPUs = usedCPU+m.cpu-freeCPU, usedGPUs+m.gpus-freeGPUs
		if !m.up || m.state != "ready" || time.Since(m.began) < time.Second || s.Requirement != "" && s.Requirement != m.kind && s.Requirement != m.rack {
			continue
		}
		fit := 1 << 20
		if s.CPU > 0 {
			fit = min(fit, freeCPU/s.CPU)
		}
		if s.MemMB > 0 {
			fit = min(fit, freeMem/s.MemMB)
		}
		if s.GPUs > 0 {
			fit = min(fit, freeGPUs/s.GPUs)
		}
		tasks += max(fit, 0)
	}
	return tasks, 2*usedCPU < cpu && 2*usedGPUs < gpus
}

// watchStanding watches jobs of one task from finish_s after the end of the traffic on, for a
// time: one that has not ended and for 3 s has nothing running, beside room for it twice over with
// under half of the capacity in use, breaks the rule.
func (c *caseRun) watchStanding(s *system, jobs []*job, trafficEnd time.Time, length time.Duration) {
	time.Sleep(time.Until(trafficEnd.Add(finish)))
	since, reported, over := map[string]time.Time{}, map[string]bool{}, map[string]bool{}
	asked := time.Time{}
	for until := time.Now().Add(length); time.Now().Before(until); time.Sleep(20 * time.Millisecond) {
		if time.Since(asked) > 500*time.Millisecond {
			asked = time.Now()
			for n, j := range jobs {
				if !over[j.id] {
					state := s.state(j, n)
					over[j.id] = state == "completed" || state == "failed"
				}
			}
		}
		c.w.locked(func() {
			for _, j := range jobs {
				tasks, underHalf := c.w.roomFor(j.service, j.steps[0])
				if over[j.id] || c.w.activeOn(j.id+".0.0.0") != nil || c.w.done[j.id+".0.0.0"] || tasks < 2 || !underHalf {
					delete(since, j.id)
					continue
				}
				if since[j.id].IsZero() {
					since[j.id] = time.Now()
				}
				if time.Since(since[j.id]) >= standing && !reported[j.id] {
					reported[j.id] = true
					c.w.breach("LOST: accepted job %s has had nothing running for %v, %.1f s after the end of the traffic, beside room for %d such tasks",
						j.id, standing, time.Since(trafficEnd).Seconds(), tasks)
				}
			}
		})
	}
}

// stands: eight minions, one of them of a kind of its own, which two jobs require. That minion
// crashes and boots again, twice. It has room for both jobs four times over.
func stands(c *caseRun) {
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(8)
	rare := c.w.minions[7]
	c.w.locked(func() { rare.kind = "b" })
	time.Sleep(3500 * time.Millisecond)
	var jobs []*job
	for n := range 2 {
		j := newJob("/lohu930/", fmt.Sprintf("work %d", n), step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 50000, Requirement: "b", work: 50 * time.Second})
		if s.submit(j)/100 != 2 {
			cannotRun("a job is not accepted")
		}
		jobs = append(jobs, j)
	}
	for range 2 {
		time.Sleep(16 * time.Second)
		if c.trouble {
			rare.crash()
			time.AfterFunc(1500*time.Millisecond, rare.start)
		}
	}
	end := time.Now()
	c.w.locked(func() { c.w.note("the traffic ends") })
	c.watchStanding(s, jobs, end, 12*time.Second)
}
