package main

import (
	"fmt"
	"net/http"
	"strings"
	"time"
)

func init() { cases["reborn"] = reborn }

const (
	// behindCut is how long a minion is cut off, crashAfter when it crashes behind the cut.
	behindCut  = 4 * time.Second
	crashAfter = 500 * time.Millisecond
	cuts       = 3
)

// reborn runs a job of one gang of six tasks, each on a minion of its own, on eight minions.
// Three times, one of these minions is cut off, crashes behind the cut and starts again: each
// time the one of another task, so that no task loses more than one minion.
func reborn(t *trial) (int, string) {
	if err := t.addMinions(8); err != nil {
		return couldNot, err.Error()
	}
	// More attempts than the cuts, so that a lost run is no attempt too many either way.
	if t.replaceConfig(state(2, route{"r-7ejsmzz", prefix, cuts + 1})) != http.StatusOK {
		return couldNot, "the desired state was not acknowledged"
	}
	time.Sleep(time.Second)
	const id, members = "5c0e7a21d94b36f8", 6
	t.cluster.gangSize = func(string) int { return members }
	t.cluster.work = func(string) time.Duration { return 8 * time.Second }
	steps := fmt.Sprintf(`[{"count":%d,"cpu":4000,"memMb":2048,"gpus":8,"estimatedMs":8000,"gangScheduled":true}]`, members)
	if status, _ := t.submit(t.fronts[0], prefix+id, job("a", steps)); status != http.StatusOK {
		return couldNot, "the job was not accepted"
	}
	for n := 0; n < cuts && t.trouble; n++ {
		if !await(20*time.Second, func() bool { return t.cluster.runningOf(id) == members }) {
			return couldNot, "the job does not run"
		}
		time.Sleep(3 * time.Second)
		for i, m := range t.minions {
			if !m.runs(fmt.Sprintf("%s.0.0.%d", id, n)) {
				continue
			}
			next, err := t.rebornBehindCut(m, n)
			if err != nil {
				return couldNot, err.Error()
			}
			t.minions[i] = next
			break
		}
	}
	var shown string
	await(45*time.Second, func() bool {
		_, shown = t.call(http.MethodGet, t.fronts[0].frontend(), prefix+id, host, key, "")
		return strings.Contains(shown, "completed") || strings.Contains(shown, "failed")
	})
	t.get(t.fronts[1], prefix+id)
	for index := range members {
		task := fmt.Sprintf("%s.0.0.%d", id, index)
		lost := 0
		for _, e := range t.cluster.endsOf(task) {
			t.record.add("%s run %d ended on %s: %s", task, e.run, e.minion, e.how)
			if e.how == "failed" {
				return couldNot, "a run ended failed"
			}
			if e.how == "lost" {
				lost++
			}
		}
		if lost > 1 {
			return couldNot, "two minions crashed under one task"
		}
	}
	switch {
	case strings.Contains(shown, "failed"):
		return broken, "LOST: the job is shown as failed, though no run of it has ended failed and under no task two minions have crashed"
	case strings.Contains(shown, "completed"):
		return held, "the job is completed"
	}
	return couldNot, "the job is neither completed nor failed: " + shown
}

// rebornBehindCut cuts a minion off, lets it crash and start again, and ends the cut.
func (t *trial) rebornBehindCut(m *minion, n int) (*minion, error) {
	m.setCut(true)
	time.Sleep(crashAfter)
	m.end("crash behind the cut")
	time.Sleep(behindCut - crashAfter)
	t.record.add("the cut ends")
	return startMinionAt(t.cluster, m.address, fmt.Sprintf("i-%08x", 0x7f3b0000+n), m.zone, m.rack, m.service, t.controls)
}
