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

// failures keeps when something was failing, and counts it by what it was.
type failures struct {
	mu     sync.Mutex
	spans  []gangs.Span
	counts map[string]int
}

func (f *failures) during(t *testing.T, what, whom string, fail func()) {
	from := time.Now()
	fail()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.spans = append(f.spans, gangs.Span{From: from, To: time.Now()})
	f.counts[what]++
	t.Logf("%s-%s %s %s", from.Format("05.000"), time.Now().Format("05.000"), what, whom)
}

// disturber fails one thing after another.
type disturber struct {
	t       *testing.T
	cluster *cluster
	hosts   []*host
	client  *gangs.Client
	random  *rand.Rand
	found   *failures
}

// between draws a time.
func (d *disturber) between(low, high time.Duration) time.Duration {
	return low + time.Duration(d.random.Int64N(int64(high-low)))
}

// run calls one failure after another, with pauses, until stop.
func (d *disturber) run(stop <-chan struct{}, fail func()) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(d.between(200*time.Millisecond, time.Second)):
			fail()
		}
	}
}

// strand cuts off an instance together with a worker that runs a part of a long
// gang, for longer than the system needs to give up on both: what the instance
// renews meanwhile it renews from a state that has been overtaken.
func (d *disturber) strand() {
	var h *host
	process.Await(d.t, "a long gang", func() bool {
		h = d.running("long")
		return h != nil
	})
	i := d.cluster.instances[voters+d.random.IntN(followers)]
	d.found.during(d.t, "strand", h.name+" "+i.Name, func() {
		worker := h.newest()
		worker.IsolateExcept(i.URL)
		d.cluster.strand(i.Name)
		time.Sleep(bounds().Alone + 2*time.Second)
		d.cluster.rescue()
		worker.Reconnect()
	})
}

// running finds a worker that runs a part of such a job; nil if none does.
func (d *disturber) running(class string) *host {
	for _, h := range d.hosts {
		for _, run := range h.runs() {
			if strings.Contains(run.Job, class) && !run.Began.IsZero() && run.Ended.IsZero() {
				return h
			}
		}
	}
	return nil
}

// failInstance kills, freezes or cuts off one instance: the leader half of the time.
func (d *disturber) failInstance() {
	i := d.cluster.instances[d.random.IntN(len(d.cluster.instances))]
	if d.random.IntN(2) == 0 {
		i = d.leaderOr(i)
	}
	if i.Name == d.cluster.strandedNow() {
		return
	}
	switch d.random.IntN(4) {
	case 0, 1:
		d.found.during(d.t, "kill", i.Name, func() {
			i.Stop(syscall.SIGKILL)
			time.Sleep(d.between(0, time.Second))
			i.Start(d.t)
			process.Await(d.t, i.Name, i.Ready)
		})
	case 2:
		d.found.during(d.t, "freeze", i.Name, func() {
			i.Signal(syscall.SIGSTOP)
			time.Sleep(d.between(300*time.Millisecond, 4*time.Second))
			i.Signal(syscall.SIGCONT)
		})
	case 3:
		other := ""
		if d.random.IntN(2) == 0 {
			other = d.cluster.instances[d.random.IntN(len(d.cluster.instances))].Name
		}
		d.found.during(d.t, "cut", fmt.Sprintf("%s %s", i.Name, other), func() {
			d.cluster.set(i.Name, other, false)
			time.Sleep(d.between(300*time.Millisecond, 4*time.Second))
			d.cluster.set(i.Name, other, true)
		})
	}
}

func (d *disturber) leaderOr(other *process.Instance) *process.Instance {
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

// failWorker cuts off, crashes or spoils one worker.
func (d *disturber) failWorker() {
	h := d.hosts[d.random.IntN(len(d.hosts))]
	switch d.random.IntN(4) {
	case 0, 1:
		d.found.during(d.t, "isolate", h.name, func() {
			worker := h.newest()
			worker.Isolate()
			time.Sleep(d.between(200*time.Millisecond, 4*time.Second))
			worker.Reconnect()
		})
	case 2:
		// A part of an order may have ended well when the other dies.
		if ordering := d.running("order"); ordering != nil {
			h = ordering
		}
		d.found.during(d.t, "crash", h.name, func() {
			h.crash()
			time.Sleep(d.between(0, 2*time.Second))
			h.start(d.t)
		})
	case 3:
		d.found.during(d.t, "spoil", h.name, func() {
			h.newest().FailAll(true)
			time.Sleep(d.between(time.Second, 2*time.Second))
			h.newest().FailAll(false)
		})
	}
}
