package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["rename"] = rename }

// rename takes away the route of an accepted job and adds one of another name at the same host
// and prefix, in one desired state.
func rename(t *trial) (int, string) {
	if err := t.addMinions(4); err != nil {
		return couldNot, err.Error()
	}
	t.cluster.work = func(string) time.Duration { return 25 * time.Second }
	path := prefix + "5c0e7a21d94b36f8"
	body := job("a", `[{"count":2,"cpu":4000,"memMb":2048,"gpus":1,"estimatedMs":25000}]`)
	if status, _ := t.submit(t.fronts[0], path, body); status != http.StatusOK {
		return couldNot, "the job was not accepted"
	}
	if !await(5*time.Second, func() bool { return t.cluster.runningOf("5c0e") == 2 }) {
		return couldNot, "the job does not run"
	}
	time.Sleep(4 * time.Second)
	for _, front := range t.fronts {
		if status, _ := t.get(front, path); status != http.StatusOK {
			return couldNot, "the job is not known"
		}
	}
	name := "r-7ejsmzz"
	if t.trouble {
		name = "r-k0wq11b"
	}
	if t.replaceConfig(state(2, route{name, prefix, 3})) != http.StatusOK {
		return couldNot, "the desired state was not acknowledged"
	}
	time.Sleep(4 * time.Second)
	gone := 0
	for _, front := range t.fronts {
		if status, _ := t.get(front, path); status == http.StatusGone {
			gone++
		}
	}
	if gone == 0 {
		return held, "the job is known at all front ends"
	}
	t.submit(t.fronts[0], path, body)
	t.cancelJob(t.fronts[0], path)
	time.Sleep(5 * time.Second)
	t.record.add("%d tasks of the job are running", t.cluster.runningOf("5c0e"))
	return broken, fmt.Sprintf("LOST: %d of %d front ends answer a GET for an accepted job that nobody has cancelled with 410", gone, len(t.fronts))
}
