package main

import (
	"encoding/json"
	"math/rand"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"time"
)

func init() { cases["relost"] = relost }

// wipe ends a machine at once and takes its disk's content away.
func (s *system) wipe(m *machine) {
	m.kill()
	if err := os.RemoveAll(filepath.Join(s.folder, "data-"+m.name)); err != nil {
		cannotRun("%v", err)
	}
	s.w.locked(func() { s.w.note("%s is killed and loses its disk", m.name) })
}

// read asks a core machine for the newest desired state, and returns its version; 0 if there is none.
func (s *system) read(m *machine) int {
	status, text := s.call("GET", s.control(m), "", "/pinewinch/config/get", "", "", time.Second)
	var body struct {
		Version int `json:"version"`
	}
	if status != 200 || json.Unmarshal([]byte(text), &body) != nil {
		return 0
	}
	return body.Version
}

// handInScheduled hands in jobs that are due tomorrow.
func handInScheduled(s *system, count int) {
	var group sync.WaitGroup
	for n := range handsIn {
		group.Add(1)
		go func() {
			defer group.Done()
			for range count / handsIn {
				k := newJob("/lohu930/", strings.Repeat("x", 4000), step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 6000, work: time.Second})
				k.repetitions, k.firstRunMs, k.intervalMs = 1, time.Now().Add(24*time.Hour).UnixMilli(), 1000
				s.call("POST", s.front(s.fronts[n%len(s.fronts)]), serviceHost, k.prefix+k.id, k.key, k.body(), 3*time.Second)
			}
		}()
	}
	group.Wait()
	s.w.locked(func() { s.w.note("%d scheduled jobs are handed in", count) })
}

// handsIn is how many requesters hand in scheduled jobs side by side.
const handsIn = 16

// relost: some thousand scheduled jobs are stored. A core machine loses its disk, and again shortly
// after each of some restarts. When it has been back for longer than catchUpS, two
// others lose their disks at the same time.
func relost(c *caseRun) {
	const (
		scheduled = 6000
		restarts  = 8
		catchUp   = 4 * time.Second
		recovery  = 12 * time.Second
	)
	s := newSystem(c.w, 2)
	s.startAll(desired(1, true))
	s.addMinions(4)
	time.Sleep(4 * time.Second)
	j := newJob("/lohu930/", "work", step{Count: 1, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 1000, work: time.Second})
	if s.submit(j)/100 != 2 {
		cannotRun("a job is not accepted")
	}
	newest := 1
	if s.replace(desired(newest+1, true)) {
		newest++
	}
	handInScheduled(s, scheduled)
	if c.trouble {
		first := s.cores[4]
		times := restarts
		if os.Getenv("ONCE") != "" {
			// For comparison: the same with a single loss of the first disk.
			times = 1
		}
		for range times {
			s.wipe(first)
			time.Sleep(100 * time.Millisecond)
			s.launch(first)
			time.Sleep(time.Duration(150+rand.Intn(250)) * time.Millisecond)
		}
		c.w.locked(func() { c.w.note("%s stays up", first.name) })
		time.Sleep(catchUp + 2*time.Second)
		for _, m := range s.cores[1:3] {
			s.wipe(m)
		}
		time.Sleep(time.Second)
		for _, m := range s.cores[1:3] {
			s.launch(m)
		}
	}
	c.readBack(s, j, newest, recovery)
}

// readBack asks for the newest desired state and for an accepted job until both come, or until it
// has taken well over the time of recovery.
func (c *caseRun) readBack(s *system, j *job, newest int, recovery time.Duration) {
	c.w.locked(func() { c.w.note("all machines are back; version %d is the newest that was confirmed", newest) })
	back := time.Now()
	got, state := 0, ""
	for time.Since(back) < recovery+8*time.Second {
		for _, m := range s.cores {
			got = max(got, s.read(m))
		}
		state = s.state(j, 0)
		if got >= newest && state == "completed" {
			break
		}
		time.Sleep(300 * time.Millisecond)
	}
	c.w.locked(func() {
		c.w.note("version %d is read back, the accepted job is shown as %q, %.1f s after all machines are back", got, state, time.Since(back).Seconds())
		if got < newest {
			c.w.breach("LOST: the acknowledged desired state %d does not come from any machine %.0f s after all are back; what came is version %d", newest, time.Since(back).Seconds(), got)
		}
		if state != "completed" {
			c.w.breach("LOST: the accepted job cannot be read: %s", strings.TrimSpace(state))
		}
	})
}
