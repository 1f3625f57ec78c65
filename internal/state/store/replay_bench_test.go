package store

import (
	"fmt"
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Size of the fully used cluster in BenchmarkReplay: 350 workers with 8 accelerators each,
// workflows of 30 tasks.
const (
	replayWorkers      = 350
	replayAccelerators = 8
	replayTasks        = 30
)

// BenchmarkReplay measures the time per entry of a log that a replica replays when it
// starts: workflows are submitted, placed, started and finished while every accelerator of
// the cluster is in use.
func BenchmarkReplay(b *testing.B) {
	log := newReplayLog()
	state := New()
	for index, command := range log.full() {
		state, _ = state.Apply(uint64(index+1), command)
	}
	rounds := log.rounds(b.N)
	b.ResetTimer()
	for _, command := range rounds {
		state, _ = state.Apply(state.Index()+1, command)
	}
	b.StopTimer()
	if state.ActiveCount() == 0 {
		b.Fatal("nothing is in use")
	}
}

// replayLog generates the commands of such a log.
type replayLog struct {
	workflows int
	// free holds a placement for each free accelerator.
	free []*controlpb.Placement
	// running holds the running tasks in start order.
	running []*controlpb.Assignment
}

func newReplayLog() *replayLog {
	log := &replayLog{}
	for worker := range replayWorkers {
		for number := range replayAccelerators {
			placement := &controlpb.Placement{Worker: fmt.Sprintf("i-%08x", worker), Accelerators: []uint32{uint32(number)}}
			log.free = append(log.free, placement)
		}
	}
	return log
}

// full submits and starts workflows until too few accelerators are free for another.
func (l *replayLog) full() []*controlpb.Command {
	var commands []*controlpb.Command
	for len(l.free) >= replayTasks {
		commands = append(commands, l.accept()...)
	}
	return commands
}

// rounds returns n commands in which the oldest tasks finish and a new workflow takes
// their accelerators.
func (l *replayLog) rounds(n int) []*controlpb.Command {
	var commands []*controlpb.Command
	for len(commands) < n {
		commands = append(commands, l.finish()...)
		commands = append(commands, l.accept()...)
	}
	return commands[:n]
}

// accept submits a workflow, places its tasks in one plan and reports them running.
func (l *replayLog) accept() []*controlpb.Command {
	l.workflows++
	w := &controlpb.Workflow{
		Id: fmt.Sprintf("%016x", l.workflows), Queue: "r-2g7f9kf", Customer: "jeye332",
		Specification: "analyse span 17 of line Dolgarrog-12",
		Steps:         []*controlpb.Step{{Count: replayTasks, CoresMilli: 2800, MemoryMb: 9000, Accelerators: 1, RunTimeMs: 6100}},
		Service:       "patrol", MaxAttempts: 3, SlackThousandths: 3000, TargetLatencyMs: 3000, Priority: 2, SharedEnds: true,
	}
	plan, moves := &controlpb.CommitPlan{}, &controlpb.BatchMove{}
	for task := range replayTasks {
		id := fmt.Sprintf("%s.0.0.%d", w.Id, task)
		assignment := &controlpb.Assignment{Job: id, Placements: []*controlpb.Placement{l.free[task]}}
		plan.Assignments = append(plan.Assignments, assignment)
		moves.Moves = append(moves.Moves, &controlpb.MoveJob{Job: id, Epoch: 1, State: controlpb.JobState_JOB_STATE_RUNNING})
	}
	l.free = l.free[replayTasks:]
	l.running = append(l.running, plan.Assignments...)
	return []*controlpb.Command{
		{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: w}}},
		{Op: &controlpb.Command_Plan{Plan: plan}},
		{Op: &controlpb.Command_BatchMove{BatchMove: moves}},
	}
}

// finish reports the oldest tasks finished, a few per entry as workers report them.
func (l *replayLog) finish() []*controlpb.Command {
	const perEntry = 6
	var commands []*controlpb.Command
	for range replayTasks / perEntry {
		ends := &controlpb.BatchMove{}
		for _, assignment := range l.running[:perEntry] {
			ends.Finished = append(ends.Finished, &controlpb.FinishedTask{Job: assignment.Job, Epoch: 1})
			l.free = append(l.free, assignment.Placements...)
		}
		l.running = l.running[perEntry:]
		commands = append(commands, &controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: ends}})
	}
	return commands
}
