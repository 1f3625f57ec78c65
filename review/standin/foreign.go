package main

import (
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign"] = foreign }

const (
	// writerStarts is the number of the other writer's first check-in.
	writerStarts = 1000
	// writesFor is how long the other writer checks in.
	writesFor = 40 * time.Second
)

// foreign lets another writer check in under the ids of the minions, with a service that the
// desired state doesn't name. The minions go on checking in.
func foreign(t *trial) (int, string) {
	t.cluster.sayBorn = true
	if err := t.addMinions(4); err != nil {
		return couldNot, err.Error()
	}
	t.cluster.work = func(string) time.Duration { return 2 * time.Second }
	if t.trouble {
		for _, m := range t.minions {
			go t.writeFor(m, time.Now().Add(writesFor))
		}
	}
	time.Sleep(3 * time.Second)
	const tasks = 2
	id := "5c0e7a21d94b36f8"
	if status, _ := t.submit(t.fronts[0], prefix+id, job("a", `[{"count":2,"cpu":4000,"memMb":2048,"gpus":1,"estimatedMs":2000}]`)); status != http.StatusOK {
		return couldNot, "the job was not accepted"
	}
	end := time.Now()
	t.record.add("end of the traffic")
	starved := t.watchIdle([]string{id}, tasks, end)
	t.get(t.fronts[0], prefix+id)
	if starved > starvedFor {
		return broken, fmt.Sprintf("LOST: later than finish_s after the end of the traffic a job has nothing running for %.1f s, though no minion runs anything", starved.Seconds())
	}
	return held, fmt.Sprintf("longest time of the job with nothing running, later than finish_s after the end of the traffic: %v", starved)
}

// writeFor checks in for a minion as another writer does that has started later and counts its
// own check-ins.
func (t *trial) writeFor(m *minion, until time.Time) {
	born := time.Now().UnixMilli()
	for sequence := writerStarts; time.Now().Before(until); sequence++ {
		body := fmt.Sprintf(`{"service":"other","address":%q,"zone":%q,"version":"v1","slots":8,"state":"ready","coldRemainingMs":0,"capacity":{"cpu":32000,"memMb":131072,"gpus":8},"labels":["a",%q],"clockMs":%d,"sequence":%d,"born":%d}`, m.address, m.zone, m.rack, m.clock(), sequence, born)
		status, answer := t.call(http.MethodPost, t.cores[0].control(), "/pinewinch/instances/"+m.id+"/heartbeat", "", "", body)
		t.record.add("other writer: check-in for %s: %s: answered %d %s", m.id, body, status, answer)
		select {
		case <-m.done:
			return
		case <-time.After(beatEvery):
		}
	}
}
