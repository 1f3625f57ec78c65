package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["stuck"] = stuck }

// stuck hands in 20 jobs to a service of three minions. The first task of one of them can never
// be done: it ends as failed on each minion. The job may try it four times.
func stuck(t *trial) (int, string) {
	if err := t.addMinions(3); err != nil {
		return couldNot, err.Error()
	}
	const attempts = 4
	if t.replaceConfig(state(2, route{"r-7ejsmzz", prefix, attempts})) != http.StatusOK {
		return couldNot, "the desired state was not acknowledged"
	}
	time.Sleep(time.Second)
	const bad = "bad0000000000000"
	t.cluster.work = func(string) time.Duration { return 1500 * time.Millisecond }
	t.cluster.fails = func(_, task string, _ uint64) bool { return t.trouble && task == bad+".0.0.0" }
	const tasks = 3
	for n := range 20 {
		id := fmt.Sprintf("5c0e7a21d94b%04x", n)
		if n == 10 {
			id = bad
		}
		steps := fmt.Sprintf(`[{"count":%d,"cpu":3000,"memMb":2048,"gpus":1,"estimatedMs":1500}]`, tasks)
		if status, _ := t.submit(t.fronts[0], prefix+id, job("x", steps)); status != http.StatusOK {
			return couldNot, "a job was not accepted"
		}
		time.Sleep(300 * time.Millisecond)
	}
	end := time.Now()
	t.record.add("end of the traffic")
	var starved time.Duration
	var idleSince time.Time
	for shown := ""; time.Since(end) < watchedFor; time.Sleep(100 * time.Millisecond) {
		_, shown = t.call(http.MethodGet, t.fronts[0].frontend(), prefix+bad, host, key, "")
		if strings.Contains(shown, "completed") || strings.Contains(shown, "failed") {
			break
		}
		if t.cluster.runningOf("") > 0 || time.Since(end) < finishTime {
			idleSince = time.Time{}
			continue
		}
		if idleSince.IsZero() {
			idleSince = time.Now()
		}
		starved = max(starved, time.Since(idleSince))
	}
	t.get(t.fronts[0], prefix+bad)
	t.record.add("runs of the task: %v", t.cluster.endsOf(bad+".0.0.0"))
	if starved > starvedFor {
		return broken, fmt.Sprintf("LOST: later than finish_s after the end of the traffic a job has nothing running for %.1f s, though no minion runs anything", starved.Seconds())
	}
	return held, fmt.Sprintf("longest time of the job with nothing running, later than finish_s after the end of the traffic: %v", starved)
}
