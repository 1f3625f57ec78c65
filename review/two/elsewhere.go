package main

import "time"

func init() { cases["elsewhere"] = elsewhere }

// elsewhere: a zone with one core machine and one entry machine goes down for good. An empty core
// machine is added in another zone. Some seconds later two others lose their disks at the same time.
func elsewhere(c *caseRun) {
	const (
		next     = 8 * time.Second
		wait     = 10 * time.Second
		recovery = 12 * time.Second
	)
	s, j, newest := c.prepare(2)
	if c.trouble {
		lost := s.cores[2]
		for _, m := range []*machine{lost, s.fronts[0]} {
			m.kill()
			c.w.locked(func() { c.w.note("%s in %s is gone for good", m.name, m.zone) })
		}
		s.fronts = s.fronts[1:]
		time.Sleep(next)
		s.addCore(s.cores[0].zone)
		time.Sleep(wait)
		s.loseDisks(s.cores[0], s.cores[1])
	}
	c.readBack(s, j, newest, recovery)
}
