//go:build review3

package main

import (
	"fmt"
	"time"

	"pinewinch.example/review/lib3"
)

const (
	// memoryMb is limits.memoryMb of the core and of the entry machines.
	coreMemoryMb  = 280
	frontMemoryMb = 284
	repetitions   = 1440
	// scheduleWidth is the largest width of species-tag on the site's sheet.
	scheduleWidth = 94
	restartAfter  = 500 * time.Millisecond
)

// schedule hands in one job that runs each minute for a day, with its first time a day ago (TROUBLE=0: in a day). The
// platform kills each process that takes more than its machine's memory and starts it again. Small jobs come
// before and after; finish_s after the end of the traffic each must have an answer.
func schedule(p *play) int {
	s, w := p.s, p.w
	w.Quiet = true
	s.More = "limits.memoryMb=280\n"
	if !s.Begin(s.Document(1, true, 3)) {
		return couldNot
	}
	for n := range 12 {
		w.StartWorker(&lib3.Worker{ID: fmt.Sprintf("i-%d", n), Service: "svc", Zone: "z1", Labels: []string{"a", fmt.Sprintf("r1-%d", n/8)}, CPU: 32000, Mem: 131072, GPUs: 8, Guards: true, Controls: s.Controls()})
	}
	time.Sleep(2 * time.Second)
	var small []*lib3.Job
	hand := func() {
		job := &lib3.Job{ID: fmt.Sprintf("00000000000a%04d", len(small)), WorkMs: 1000, Steps: []lib3.Step{{Count: 3, CPU: 3700, MemMB: 15000, GPUs: 1, EstimatedMs: 1000}}}
		if s.Submit(job, s.Prefix, 5) {
			small = append(small, job)
		}
	}
	for range 5 {
		hand()
	}
	first := time.Now().Add(-24 * time.Hour)
	if !p.trouble {
		first = time.Now().Add(24 * time.Hour)
	}
	big := &lib3.Job{ID: "00000000000000b1", WorkMs: 6000, FirstRunMs: first.UnixMilli(), IntervalMs: 60000, Repetitions: repetitions,
		Steps: []lib3.Step{{Count: scheduleWidth, CPU: 2800, MemMB: 8200, GPUs: 1, EstimatedMs: 6000}}}
	if !s.Submit(big, "/low/", 5) {
		w.Log("the schedule was not accepted")
	}
	done := make(chan bool)
	stopped := make(chan bool)
	kills := 0
	go func() {
		defer close(stopped)
		for {
			select {
			case <-done:
				return
			case <-time.After(50 * time.Millisecond):
			}
			for n := range s.Cores + s.Fronts {
				limit := coreMemoryMb
				if n >= s.Cores {
					limit = frontMemoryMb
				}
				if rss := s.RSS(n); rss > limit {
					w.Log("node %d takes %d MB of %d: the platform kills it", n, rss, limit)
					kills++
					s.Kill(n)
					time.Sleep(restartAfter)
					s.StartNode(n, false)
				}
			}
		}
	}()
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		hand()
	}
	w.Log("the traffic ends")
	time.Sleep(finishAfter)
	stand := map[*lib3.Job]bool{}
	for _, job := range small {
		stand[job] = true
	}
	for end := time.Now().Add(standsFor); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		used, all := w.GPUsInUse()
		for job := range stand {
			if w.Running(job) > 0 || w.Ended(job) || 2*used >= all || w.IdleFor(&job.Steps[0]) < 2*job.Steps[0].Count {
				delete(stand, job)
			}
		}
	}
	used, all := w.GPUsInUse()
	w.Log("%d of %d small jobs have had nothing running for %s; %d of %d accelerators are in use", len(stand), len(small), standsFor, used, all)
	unanswered := 0
	for _, job := range small[:min(len(small), 5)] {
		status, state := s.State(job, s.Prefix, 0)
		if status != 200 {
			unanswered++
		}
		w.Log("GET %s%s -> %d %s", s.Prefix, job.ID, status, state)
	}
	close(done)
	<-stopped
	w.Log("%d small jobs were accepted, %d processes were killed for their memory", len(small), kills)
	if len(stand) > 0 {
		w.Break("LOST: from %s after the end of the traffic on, %d of %d accepted small jobs have had nothing running for %s; %d of %d accelerators are in use; %d processes were killed for their memory; %d of 5 calls for their state got no 200", finishAfter, len(stand), len(small), standsFor, used, all, kills, unanswered)
	}
	return held
}
