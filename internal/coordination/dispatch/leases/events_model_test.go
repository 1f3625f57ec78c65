package leases_test

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// event is one change of the world at a moment of the turmoil.
type event struct {
	at   time.Duration
	kind string
	// which worker, instance or workflow.
	which int
}

var eventKinds = []string{"leader", "leader cut off", "leader cut off", "leader frozen", "leader frozen", "split", "cut", "cut", "uncut", "refuse", "crash", "preempt", "preempt", "cancel", "chaos", "quiet"}

func (w *world) turmoil(s schedule) {
	begun := time.Now()
	for passed := time.Duration(0); passed < turmoil; passed += 50 * time.Millisecond {
		for _, e := range s.events {
			if e.at >= passed && e.at < passed+50*time.Millisecond {
				w.happen(e)
			}
		}
		time.Sleep(time.Until(begun.Add(passed + 50*time.Millisecond)))
	}
}

func (w *world) happen(e event) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.tell("event %s %d", e.kind, e.which)
	on := w.boots[e.which%len(w.boots)]
	switch e.kind {
	case "leader", "leader cut off":
		w.replaceLeader(e.kind == "leader cut off")
	case "leader frozen":
		w.freezeLeader(time.Duration(1+2*e.which) * time.Second)
	case "split":
		w.replaceLeader(true)
		w.leader.unreachable[on.id] = true
	case "cut":
		w.instances[e.which%len(w.instances)].unreachable[on.id] = true
	case "uncut":
		w.join()
	case "refuse":
		w.refusing = true
	case "crash":
		w.reboot(on)
	case "preempt":
		w.preempt(e.which)
	case "cancel":
		id := fmt.Sprint("f", e.which)
		w.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}})
	case "chaos":
		w.chaos = 30
	case "quiet":
		w.chaos = 0
	}
}

// replaceLeader begins a term of another instance. The one before either knows at
// once, or is cut off from the log and goes on with what it believed.
func (w *world) replaceLeader(cutOff bool) {
	before := w.leader
	before.led, before.confirmed, before.state = w.term, time.Now(), w.state
	before.cut = cutOff
	for _, i := range w.instances {
		if i != before {
			i.cut, i.frozen, i.knows = false, time.Time{}, time.Time{}
			w.leader = i
		}
	}
	w.term++
}

// freezeLeader stops the leader for a while, in the middle of a decision or with an
// order about to leave. It wakes in the belief to lead, until it hears otherwise.
func (w *world) freezeLeader(length time.Duration) {
	const believesFor = 300 * time.Millisecond
	frozen := w.leader
	w.replaceLeader(false)
	frozen.frozen = time.Now().Add(length)
	frozen.knows = frozen.frozen.Add(believesFor)
}

// join ends all cuts between instances, the log and workers.
func (w *world) join() {
	w.refusing = false
	for _, i := range w.instances {
		i.unreachable = map[string]bool{}
		i.cut = false
	}
}

// reboot puts another boot in a worker's place.
func (w *world) reboot(on *boot) {
	for task, alive := range on.running {
		delete(on.running, task)
		w.breakGang(task, alive.run, time.Now())
	}
	on.crash()
	w.boots = append(w.boots, newBoot(w, fmt.Sprint("w", len(w.boots)), 0.98+0.02*w.rand.Float64()))
}

func (w *world) preempt(which int) {
	plan := &controlpb.CommitPlan{}
	for n, job := range w.state.ActiveJobs() {
		if n%3 == which%3 && len(job.Placements) > 0 {
			plan.Preemptions = append(plan.Preemptions, &controlpb.Preemption{Job: job.Id, Epoch: job.Epoch})
		}
	}
	w.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: plan}})
}

func (w *world) heal() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.chaos = 0
	w.join()
}
