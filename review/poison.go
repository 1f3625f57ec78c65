package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["poison"] = poison }

const (
	// finishTime is finish_s of the settings, starvedFor the bound of the rule.
	finishTime = 14 * time.Second
	starvedFor = 3 * time.Second
	// watchedFor is how long the jobs are watched after the end of the traffic.
	watchedFor = 35 * time.Second
)

// poison hands in 20 jobs. One of them can never be done: its tasks end as failed, whatever
// minion they run on. The others are sound.
func poison(t *trial) (int, string) {
	if err := t.addMinions(6); err != nil {
		return couldNot, err.Error()
	}
	if t.replaceConfig(state(2, route{"r-7ejsmzz", prefix, 4})) != http.StatusOK {
		return couldNot, "the desired state was not acknowledged"
	}
	time.Sleep(time.Second)
	t.cluster.work = func(string) time.Duration { return 2 * time.Second }
	t.cluster.fails = func(_, task string, _ uint64) bool { return t.trouble && strings.HasPrefix(task, "bad") }
	hand := func(id string, count int) bool {
		steps := fmt.Sprintf(`[{"count":%d,"cpu":3000,"memMb":2048,"gpus":1,"estimatedMs":2000}]`, count)
		status, _ := t.submit(t.fronts[0], prefix+id, job("x", steps))
		return status == http.StatusOK
	}
	const tasks = 3
	var sound []string
	handSound := func() bool {
		sound = append(sound, fmt.Sprintf("5c0e7a21d94b%04x", len(sound)))
		return hand(sound[len(sound)-1], tasks)
	}
	for range 14 {
		if !handSound() {
			return couldNot, "a job was not accepted"
		}
		time.Sleep(200 * time.Millisecond)
	}
	time.Sleep(3 * time.Second)
	if !hand("bad0000000000000", 16) {
		return couldNot, "a job was not accepted"
	}
	time.Sleep(7 * time.Second)
	for range 5 {
		if !handSound() {
			return couldNot, "a job was not accepted"
		}
	}
	end := time.Now()
	t.record.add("end of the traffic")
	starved := t.watchIdle(sound, tasks, end)
	t.record.add("%d runs are active on all minions", t.cluster.runningOf(""))
	t.get(t.fronts[0], prefix+"bad0000000000000")
	t.get(t.fronts[0], prefix+sound[len(sound)-1])
	if starved > starvedFor {
		return broken, fmt.Sprintf("LOST: later than finish_s after the end of the traffic a job has nothing running for %.1f s, though no minion runs anything", starved.Seconds())
	}
	return held, fmt.Sprintf("longest time of a job with nothing running, later than finish_s after the end of the traffic: %v", starved)
}

// watchIdle returns the longest time, later than finishTime after end, for which one of the
// jobs had nothing running while under half of the minions' capacity was in use.
func (t *trial) watchIdle(jobs []string, tasks int, end time.Time) time.Duration {
	var longest time.Duration
	idle := map[string]time.Time{}
	for open := true; open && time.Since(end) < watchedFor; time.Sleep(20 * time.Millisecond) {
		open = false
		now := time.Now()
		inUse := t.cluster.runningOf("")
		for _, id := range jobs {
			if t.cluster.doneOf(id) == tasks {
				delete(idle, id)
				continue
			}
			open = true
			if t.cluster.runningOf(id) > 0 || inUse > len(t.minions) || now.Before(end.Add(finishTime)) {
				delete(idle, id)
				continue
			}
			if idle[id].IsZero() {
				idle[id] = now
			}
			longest = max(longest, now.Sub(idle[id]))
		}
	}
	return longest
}
