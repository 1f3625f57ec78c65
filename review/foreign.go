package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign"] = foreign }

// foreign lets another writer send one check-in under the id of a minion that runs a task. Its
// service isn't one of the desired state, its address is that of another server. The minion
// itself goes on checking in.
func foreign(t *trial) (int, string) {
	t.cluster.sayBorn = true
	if err := t.addMinions(8); err != nil {
		return couldNot, err.Error()
	}
	t.cluster.work = func(string) time.Duration { return 25 * time.Second }
	const tasks = 7
	if status, _ := t.submit(t.fronts[0], prefix+"5c0e7a21d94b36f8", job("a", `[{"count":7,"cpu":4000,"memMb":2048,"gpus":5,"estimatedMs":25000}]`)); status != http.StatusOK {
		return couldNot, "the job was not accepted"
	}
	if !await(5*time.Second, func() bool { return t.cluster.runningOf("5c0e") == tasks }) {
		return couldNot, "the job does not run"
	}
	time.Sleep(3 * time.Second)
	var busy, other *minion
	for _, m := range t.minions {
		if m.busy() {
			busy = m
		} else {
			other = m
		}
	}
	if t.trouble {
		t.writeFor(busy, other)
	}
	time.Sleep(10 * time.Second)
	if broke := t.cluster.broken(); len(broke) > 0 {
		return broken, broke[0]
	}
	if n := t.cluster.runningOf("5c0e"); n != tasks {
		return couldNot, fmt.Sprintf("%d tasks run", n)
	}
	return held, "no task ran twice at the same time"
}

// writeFor sends one check-in under the id of a minion, as another writer does that has started
// later and counts its own check-ins, with the address of another server.
func (t *trial) writeFor(m, other *minion) {
	body := fmt.Sprintf(`{"service":"other","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":32000,"memMb":131072,"gpus":8},"labels":["a",%q],"clockMs":5000,"sequence":1000,"born":%d}`,
		other.address, other.zone, other.rack, time.Now().UnixMilli())
	m.mu.Lock()
	home := m.home
	m.mu.Unlock()
	status, answer := t.call(http.MethodPost, home, "/pinewinch/instances/"+m.id+"/heartbeat", "", "", body)
	t.record.add("other writer: check-in for %s at %s: %s: answered %d %s", m.id, home, body, status, answer)
}
