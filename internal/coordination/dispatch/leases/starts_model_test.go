package leases_test

import (
	"context"
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// longestTurn is how long an order may wait behind others at a busy leader.
	longestTurn = 150 * time.Millisecond
	// longestPatience is how long after a placement its caller may cancel.
	longestPatience = 200 * time.Millisecond
)

// cancellation is what the caller of a workflow does as its work is placed.
type cancellation struct {
	// placement counts the placements of the workflow's jobs, from 1.
	placement int
	after     time.Duration
}

// A worker is told to run what no caller sent, or from a checkpoint of another task.
func TestStartsCarryWhatWasSent(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		s.turns = longestTurn
		s.cancelAfter = map[string]cancellation{}
		for n := range s.workflows {
			s.cancelAfter[fmt.Sprint("f", n)] = cancellation{
				placement: rapid.IntRange(1, 8).Draw(rt, "placement"),
				after:     time.Duration(rapid.IntRange(0, int(longestPatience.Milliseconds())).Draw(rt, "patience")) * time.Millisecond,
			}
		}
		if broken := playSchedule(t, s, noPlant); broken != "" {
			rt.Fatalf("%s", broken)
		}
	})
}

// Command lets an order wait for its turn, as behind many others, and hands it on.
func (i *instance) Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error) {
	time.Sleep(i.world.turn())
	return i.keeper.Command(ctx, address, path, command)
}

func (w *world) turn() time.Duration {
	if w.turns == 0 {
		return 0
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.rand.Int64N(int64(w.turns)))
}

// notePlacements counts down to the cancellations of the workflows that are placed.
func (w *world) notePlacements(plan *controlpb.CommitPlan) {
	for _, assignment := range plan.GetAssignments() {
		id := workflowOf(assignment.Job)
		due, ok := w.cancelAfter[id]
		if !ok {
			continue
		}
		due.placement--
		w.cancelAfter[id] = due
		if due.placement == 0 {
			go w.cancelLater(id, due.after)
		}
	}
}

func (w *world) cancelLater(id string, after time.Duration) {
	time.Sleep(after)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	w.tell("the caller cancels %s", id)
	w.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}})
}

func specificationOf(workflow string) string { return "what " + workflow + " runs" }

// ownerOf is whose checkpoints a task may go on from: any member's of its gang, and
// else its own.
func (w *world) ownerOf(task string) string {
	if size, job := w.gangOf(task); size > 0 {
		return job
	}
	return task
}

func (w *world) checkpointOf(task string, run uint64) string {
	return fmt.Sprintf("%s@%d", w.ownerOf(task), run)
}

// asked checks what a worker is told to start.
func (w *world) asked(order leases.Start) {
	if order.Specification != specificationOf(workflowOf(order.Task)) {
		w.breaks("run %d of %s is to run %q", order.Run, order.Task, order.Specification)
	}

	if order.Checkpoint == "" {
		return
	}
	var run uint64
	owner, number, _ := strings.Cut(order.Checkpoint, "@")
	if _, err := fmt.Sscan(number, &run); err != nil || owner != w.ownerOf(order.Task) || run >= order.Run {
		w.breaks("run %d of %s is to go on from %q", order.Run, order.Task, order.Checkpoint)
	}
}
