package main

import (
	"os"
	"time"
)

func init() { cases["learned"] = learned }

// prepare starts a system with an acknowledged desired state and an accepted job that has completed.
// It returns the job and the newest version.
func (c *caseRun) prepare(fronts int) (s *system, j *job, newest int) {
	s = newSystem(c.w, fronts)
	s.startAll(desired(1, true))
	s.addMinions(4)
	time.Sleep(5 * time.Second)
	j = newJob("/lohu930/", "work", step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 1000, work: time.Second})
	if s.submit(j)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	newest = 2
	if !s.replace(desired(newest, true)) {
		cannotRun("the desired state is not confirmed")
	}
	time.Sleep(2 * time.Second)
	return s, j, newest
}

// loseDisks takes the disks of two machines at the same time. They are back after a second.
func (s *system) loseDisks(a, b *machine) {
	done := make(chan struct{})
	go func() {
		s.wipe(a)
		close(done)
	}()
	s.wipe(b)
	<-done
	time.Sleep(time.Second)
	s.launch(a)
	s.launch(b)
}

// learned: core machines are down for some seconds now and then, never more than two at a time.
// Then one is gone for good, and an empty one comes at another address. When that one has been
// there for longer than catchUpS, two others lose their disks at the same time.
func learned(c *caseRun) {
	const (
		catchUp  = 4 * time.Second
		short    = time.Second
		long     = 4200 * time.Millisecond
		next     = time.Second / 2
		recovery = 12 * time.Second
	)
	s, j, newest := c.prepare(2)
	if c.trouble {
		leader := s.leader()
		var others []*machine
		for _, m := range s.cores {
			if m != leader {
				others = append(others, m)
			}
		}
		down := func(length time.Duration, machines ...*machine) {
			for _, m := range machines {
				m.kill()
				c.w.locked(func() { c.w.note("%s is down for %v", m.name, length) })
			}
			time.Sleep(length)
			for _, m := range machines {
				s.launch(m)
			}
			time.Sleep(catchUp + 300*time.Millisecond)
		}
		// For comparison, ONCE=1 leaves these out.
		if os.Getenv("ONCE") == "" {
			for range 3 {
				down(short, others[0], others[1])
			}
			down(long, others[0], others[1])
			down(long, others[2])
		}
		gone := others[0]
		gone.kill()
		c.w.locked(func() { c.w.note("%s is gone for good", gone.name) })
		time.Sleep(next)
		s.addCore(gone.zone)
		time.Sleep(catchUp + 200*time.Millisecond)
		s.loseDisks(others[1], others[2])
	}
	c.readBack(s, j, newest, recovery)
}
