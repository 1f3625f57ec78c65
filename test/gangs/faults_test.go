package gangs

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/experiment/gangs"
	"pinewinch.example/pinewinch/test/process"
)

// faultLog records when faults were active, and counts them by kind.
type faultLog struct {
	mu     sync.Mutex
	spans  []gangs.Span
	counts map[string]int
}

func (f *faultLog) record(t *testing.T, what, whom string, fail func()) {
	from := time.Now()
	fail()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, gangs.Span{From: from, To: time.Now()})
	f.counts[what]++
	t.Logf("%s-%s %s %s", from.Format("05.000"), time.Now().Format("05.000"), what, whom)
}

// faultInjector injects faults into instances and workers, one after another.
type faultInjector struct {
	t       *testing.T
	cluster *cluster
	hosts   []*host
	client  *gangs.Client
	random  *rand.Rand
	faults  *faultLog
}

// between returns a random duration from low up to high.
func (d *faultInjector) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

// run calls fail again and again, with random delays, until stop is closed.
func (d *faultInjector) run(stop <-chan struct{}, fail func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(d.between(200*time.Millisecond, time.Second)):
			fail()
		}
	}
}

// isolatePair partitions an instance together with a worker that runs a member of a long
// gang, for longer than the system needs to declare both lost: leases that the instance
// renews meanwhile are renewed from outdated state.
func (d *faultInjector) isolatePair() {
	var h *host
	process.Await(d.t, "a long gang", func() bool {
		h = d.workerRunning("long")
		return h != nil
	})
	i := d.cluster.instances[voters+d.random.IntN(followers)]
	d.faults.record(d.t, "strand", h.name+" "+i.Name, func() {
		worker := h.current()
		worker.IsolateExcept(i.URL)
		d.cluster.isolate(i.Name)
		time.Sleep(bounds().Alone + 2*time.Second)
		d.cluster.reconnect()
		worker.Reconnect()
	})
}

// workerRunning returns a worker that runs a task of a job of the class; nil if there is
// none.
func (d *faultInjector) workerRunning(class string) *host {
	for _, h := range d.hosts {
		for _, run := range h.runs() {
			if strings.Contains(run.Job, class) && !run.Began.IsZero() && run.Ended.IsZero() {
				return h
			}
		}
	}
	return nil
}

// failInstance kills, suspends or partitions one instance; in at least half of the calls
// it is the leader, if there is one.
func (d *faultInjector) failInstance() {
	i := d.cluster.instances[d.random.IntN(len(d.cluster.instances))]
	if d.random.IntN(2) == 0 {
		i = d.leaderOr(i)
	}
	if i.Name == d.cluster.isolatedName() {
		return
	}
	switch d.random.IntN(4) {
	case 0, 1:
		d.faults.record(d.t, "kill", i.Name, func() {
			i.Stop(syscall.SIGKILL)
			time.Sleep(d.between(0, time.Second))
			i.Start(d.t)
			process.Await(d.t, i.Name, i.Ready)
		})
	case 2:
		d.faults.record(d.t, "freeze", i.Name, func() {
			i.Signal(syscall.SIGSTOP)
			time.Sleep(d.between(300*time.Millisecond, 4*time.Second))
			i.Signal(syscall.SIGCONT)
		})
	case 3:
		other := ""
		if d.random.IntN(2) == 0 {
			other = d.cluster.instances[d.random.IntN(len(d.cluster.instances))].Name
		}
		d.faults.record(d.t, "cut", fmt.Sprintf("%s %s", i.Name, other), func() {
			d.cluster.setLinks(i.Name, other, false)
			time.Sleep(d.between(300*time.Millisecond, 4*time.Second))
			d.cluster.setLinks(i.Name, other, true)
		})
	}
}

func (d *faultInjector) leaderOr(other *process.Instance) *process.Instance {
	leader, err := d.client.Leader(d.t.Context(), process.OperatorToken)
	if err != nil {
		return other
	}
	for _, i := range d.cluster.instances {
		if i.Name == leader {
			return i
		}
	}
	return other
}

// failWorker isolates or crashes one worker, or makes it fail its tasks.
func (d *faultInjector) failWorker() {
	h := d.hosts[d.random.IntN(len(d.hosts))]
	switch d.random.IntN(4) {
	case 0, 1:
		d.faults.record(d.t, "isolate", h.name, func() {
			worker := h.current()
			worker.Isolate()
			time.Sleep(d.between(200*time.Millisecond, 4*time.Second))
			worker.Reconnect()
		})
	case 2:
		// A task of an order may have completed when the worker of another one crashes.
		if running := d.workerRunning("order"); running != nil {
			h = running
		}
		d.faults.record(d.t, "crash", h.name, func() {
			h.crash()
			time.Sleep(d.between(0, 2*time.Second))
			h.start(d.t)
		})
	case 3:
		d.faults.record(d.t, "spoil", h.name, func() {
			h.current().FailAll(true)
			time.Sleep(d.between(time.Second, 2*time.Second))
			h.current().FailAll(false)
		})
	}
}
