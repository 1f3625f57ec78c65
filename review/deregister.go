package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["deregister"] = deregister }

const (
	// cutFor is how long the minion is cut off in one direction, cutBefore how long before its
	// deregistration that begins.
	cutFor    = 5 * time.Second
	cutBefore = time.Second
	// servesLonger is how much longer than drainMs a minion serves that leaves.
	servesLonger = 3 * time.Second
)

// deregister lets one of eight minions leave while it runs a task. It is cut off in one
// direction, so that it gets no confirmation of its deregistration and ends some seconds later.
func deregister(t *trial) (int, string) {
	if err := t.addMinions(8); err != nil {
		return couldNot, err.Error()
	}
	t.cluster.work = func(string) time.Duration { return 30 * time.Second }
	path := prefix + "5c0e7a21d94b36f8"
	if status, _ := t.submit(t.fronts[0], path, job("a", `[{"count":7,"cpu":4000,"memMb":2048,"gpus":5,"estimatedMs":30000}]`)); status != http.StatusOK {
		return couldNot, "the job was not accepted"
	}
	if !await(5*time.Second, func() bool { return t.cluster.runningOf("5c0e") == 7 }) {
		return couldNot, "the job does not run"
	}
	time.Sleep(2 * time.Second)
	var leaving *minion
	for _, m := range t.minions {
		if m.busy() {
			leaving = m
		}
	}
	if t.trouble {
		time.AfterFunc(drainMs*time.Millisecond+servesLonger-cutBefore, func() {
			leaving.setDeaf(true)
			time.AfterFunc(cutFor, func() { leaving.setDeaf(false) })
		})
	}
	leaving.drain(t.system, servesLonger)
	time.Sleep(8 * time.Second)
	if broke := t.cluster.broken(); len(broke) > 0 {
		return broken, broke[0]
	}
	if n := t.cluster.runningOf("5c0e"); n != 7 {
		return couldNot, fmt.Sprintf("%d tasks run", n)
	}
	return held, "no task ran twice at the same time"
}
