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
	// maxCommandQueueDelay is how long a command may be queued at a busy leader.
	maxCommandQueueDelay = 150 * time.Millisecond
	// maxCancelDelay is the longest delay between a placement and the cancellation by
	// its caller.
	maxCancelDelay = 200 * time.Millisecond
)

// cancellation makes the caller of a workflow cancel it after a placement.
type cancellation struct {
	// placement counts the placements of the workflow's jobs down to the one that
	// triggers the cancellation, starting at 1 for the first.
	placement int
	after     time.Duration
}

// Guards against starts with a specification that no caller submitted, or with a
// checkpoint of another task.
func TestStartsCarrySubmittedSpecification(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		s.maxQueueDelay = maxCommandQueueDelay
		s.cancellations = map[string]cancellation{}
		for n := range s.workflows {
			s.cancellations[fmt.Sprint("f", n)] = cancellation{
				placement: rapid.IntRange(1, 8).Draw(rt, "placement"),
				after:     time.Duration(rapid.IntRange(0, int(maxCancelDelay.Milliseconds())).Draw(rt, "patience")) * time.Millisecond,
			}
		}
		if violation := runSchedule(t, s, noFault); violation != "" {
			rt.Fatalf("%s", violation)
		}
	})
}

// commandKey is the key of the command for which a request is sent, in its context.
type commandKey struct{}

// Command forwards a command to the manager after a random queueing delay.
func (i *instance) Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error) {
	i.simulation.takeTurn(i.number, path, command.Job, command.Epoch, command.Task)
	time.Sleep(i.simulation.queueDelay())
	ctx = context.WithValue(ctx, commandKey{}, fmt.Sprint(path, command.Job, command.Epoch, command.Task))
	return i.manager.Command(ctx, address, path, command)
}

func (sim *simulation) queueDelay() time.Duration {
	if sim.maxQueueDelay == 0 {
		return 0
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	return time.Duration(sim.rand.Int64N(int64(sim.maxQueueDelay)))
}

// countPlacements counts the placements of each workflow and triggers its cancellation.
func (sim *simulation) countPlacements(plan *controlpb.CommitPlan) {
	for _, assignment := range plan.GetAssignments() {
		id := workflowOf(assignment.Job)
		pending, ok := sim.cancellations[id]
		if !ok {
			continue
		}
		pending.placement--
		sim.cancellations[id] = pending
		if pending.placement == 0 {
			go sim.cancelLater(id, pending.after)
		}
	}
}

func (sim *simulation) cancelLater(id string, after time.Duration) {
	time.Sleep(after)
	sim.mu.Lock()
	defer sim.mu.Unlock()
	sim.advance(time.Now())
	sim.logf("the caller cancels %s", id)
	sim.apply(&controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: id, Queue: "q"}}})
}

func specificationOf(workflow string) string { return "what " + workflow + " runs" }

// checkpointOwner returns whose checkpoints a task may resume from: those of any member
// of its gang, or only its own.
func (sim *simulation) checkpointOwner(task string) string {
	if size, job := sim.gangOf(task); size > 0 {
		return job
	}
	return task
}

func (sim *simulation) checkpointName(task string, run uint64) string {
	return fmt.Sprintf("%s@%d", sim.checkpointOwner(task), run)
}

// checkStartCommand checks the contents of a start that a worker receives.
func (sim *simulation) checkStartCommand(command leases.Start) {
	if command.Specification != specificationOf(workflowOf(command.Task)) {
		sim.violate("run %d of %s received specification %q", command.Run, command.Task, command.Specification)
	}

	if command.Checkpoint == "" {
		return
	}
	var run uint64
	owner, number, _ := strings.Cut(command.Checkpoint, "@")
	if _, err := fmt.Sscan(number, &run); err != nil || owner != sim.checkpointOwner(command.Task) || run >= command.Run {
		sim.violate("run %d of %s received checkpoint %q", command.Run, command.Task, command.Checkpoint)
	}
}
