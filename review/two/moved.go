package main

import (
	"encoding/json"
	"time"
)

func init() { cases["moved"] = moved }

// withServices returns a desired state with two services, of which the first route uses the named one.
func withServices(version int, first string) string {
	var body map[string]any
	_ = json.Unmarshal([]byte(desired(version, true)), &body)
	service := body["services"].([]any)[0].(map[string]any)
	other := map[string]any{}
	for k, v := range service {
		other[k] = v
	}
	other["name"] = "dele69a"
	body["services"] = []any{service, other}
	routes := body["routes"].([]any)
	routes[0].(map[string]any)["service"] = first
	routes[1].(map[string]any)["service"] = "dele69a"
	text, _ := json.Marshal(body)
	return string(text)
}

// leave drains a minion: it says so, serves on for a while, says good-bye and ends.
func (m *minion) leave(serve time.Duration) {
	m.w.locked(func() {
		m.state = "draining"
		m.w.note("minion %s (%s) is draining", m.name, m.id)
	})
	time.Sleep(serve)
	m.w.mu.Lock()
	id := m.id
	m.w.mu.Unlock()
	for _, c := range m.sys.cores {
		status, _ := m.sys.call("POST", m.sys.control(c), "", "/pinewinch/instances/"+id+"/deregister", "", "{}", time.Second)
		m.w.locked(func() { m.w.note("minion %s deregisters at %s: %d", m.name, c.name, status) })
		if status/100 == 2 {
			break
		}
	}
	m.crash()
}

// moved: a queue is sent to another service while a job waits in it, and the one minion of the
// former service leaves. The other service has eleven minions, which are idle.
func moved(c *caseRun) {
	const former, next = "huvo11a", "dele69a"
	s := newSystem(c.w, 2)
	s.startAll(withServices(1, former))
	s.addMinions(12)
	last := c.w.minions[11]
	c.w.locked(func() {
		for _, m := range c.w.minions {
			if m != last {
				m.service = next
			}
		}
	})
	time.Sleep(3500 * time.Millisecond)
	step1 := step{Count: 1, CPU: 13000, MemMB: 68000, GPUs: 8, EstimatedMs: 6000, work: 6 * time.Second}
	running := newJob("/lohu930/", "first", step1)
	waiting := newJob("/lohu930/", "second", step1)
	if s.submit(running)/100 != 2 || s.submit(waiting)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	time.Sleep(time.Second)
	if c.trouble {
		if !s.replace(withServices(2, next)) {
			cannotRun("the change is not confirmed")
		}
		waiting.service = next
		time.Sleep(2500 * time.Millisecond)
		later := newJob("/lohu930/", "third", step1)
		if s.submit(later)/100 != 2 {
			cannotRun("a job is not accepted")
		}
		last.leave(8 * time.Second)
	}
	end := time.Now()
	c.w.locked(func() { c.w.note("the traffic ends") })
	c.watchStanding(s, []*job{waiting}, end, 30*time.Second)
	state := s.state(waiting, 0)
	c.w.locked(func() {
		c.w.note("GET %s: %s", waiting.id, state)
	})
}
