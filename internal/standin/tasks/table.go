// Package tasks holds the state of a worker's tasks and the rules by which it accepts
// commands: leases, epochs and the memory limit. It does no I/O and reads no clock:
// the time is passed as an argument. The stand-in worker runs it, and the tests of
// dispatch use it as their model of a worker.
package tasks

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Options configure how the tasks behave.
type Options struct {
	// Incarnation identifies one start of the worker process.
	Incarnation int64
	// Speed divides run times: 1000 runs a declared second in 1 ms.
	Speed float64
	// Overrun multiplies the declared run times; 0 means 1.
	Overrun float64
	// FailAll fails every task that starts.
	FailAll bool
	// IgnoreStop refuses stop commands; a task runs until its lease expires.
	IgnoreStop bool
	// CheckpointEvery is the work between two periodic checkpoints of a running task;
	// 0 for no checkpoint before its stop.
	CheckpointEvery time.Duration
	// TaskMemoryMB is the actual memory use of each task; 0 means the declared one.
	TaskMemoryMB uint64
	// KeepRuns keeps a record of every run.
	KeepRuns bool
}

// fenceRetentionLeases is the number of lease periods for which the newest epoch of a
// task is kept after its run. After that time an older command is refused because its own
// lease has expired, so the map stays bounded and no late command starts a run.
const fenceRetentionLeases = 10

// Table is the tasks of one worker. It is not safe for concurrent use.
type Table struct {
	options Options
	tasks   map[api.TaskRef]*task
	fences  map[taskKey]fence
	// version counts announcements; sent holds the send time of each.
	version uint64
	sent    map[uint64]time.Time
	lease   time.Duration
	runs    []*Run
}

type taskKey struct {
	job  string
	task uint32
}

// fence is the lowest epoch of a task that may still run on this worker.
type fence struct {
	epoch uint64
	set   time.Time
}

// New returns an empty table.
func New(options Options) *Table {
	return &Table{
		options: options,
		tasks:   map[api.TaskRef]*task{},
		fences:  map[taskKey]fence{},
		sent:    map[uint64]time.Time{},
	}
}

// Announce records that an announcement is sent now and returns its version and task
// reports. It must be called before the announcement is sent: leases that an instance
// grants for it run from this moment.
func (t *Table) Announce(now time.Time) (version uint64, reports []api.TaskReport) {
	t.prune(now)
	t.version++
	t.sent[t.version] = now
	return t.version, t.Reports(now)
}

// Reports returns the state of all tasks of the worker.
func (t *Table) Reports(now time.Time) []api.TaskReport {
	t.Advance(now)
	reports := make([]api.TaskReport, 0, len(t.tasks))
	for _, task := range t.tasks {
		task.checkpoint(now)
		reports = append(reports, task.report)
	}
	return reports
}

// Take processes the reply to the announcement of that version. Leases run from when
// the announcement was sent: the reply was decided after that, so a late reply grants
// only the rest of the lease and never extends it.
func (t *Table) Take(now time.Time, version uint64, reply *api.AnnounceReply) {
	t.Advance(now)
	t.lease = milliseconds(reply.LeaseMs)
	sent, known := t.sent[version]
	for _, ref := range reply.Renew {
		if task, ok := t.tasks[ref]; ok && known {
			task.renew(sent.Add(t.lease))
		}
	}
	for _, ref := range reply.Stop {
		t.raiseFence(ref, now)
		if task, ok := t.tasks[ref]; ok && !t.options.IgnoreStop {
			task.stop(now, true)
			task.run.end(now, Stopped, task.report.CheckpointedMs)
		}
	}
	for _, ref := range reply.Forget {
		if task, ok := t.tasks[ref]; ok && !task.live() {
			t.raiseFence(ref, now)
			delete(t.tasks, ref)
		}
	}
}

// Reserve holds accelerators for a task until its lease expires. A repeated command
// gets the same answer. It refuses an accelerator that another task holds, and a run
// that has ended or that a later epoch has replaced: a late command must not start a
// member of a stopped gang.
func (t *Table) Reserve(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	lease, err := t.leaseEnd(now, command)
	if err != nil {
		return nil, err
	}
	if command.Epoch < t.fences[keyOf(command.TaskRef)].epoch {
		return nil, failure.New(failure.StaleEpoch, "the task already has a later epoch on this worker")
	}
	if old, ok := t.tasks[command.TaskRef]; ok {
		return old.answerUnlessEnded()
	}
	run := t.newRun(now, command)
	if t.overlaps(command) {
		run.end(now, Refused, 0)
		return nil, failure.New(failure.Overloaded, "a requested accelerator is in use")
	}
	t.fences[keyOf(command.TaskRef)] = fence{epoch: command.Epoch, set: now}
	t.tasks[command.TaskRef] = newTask(t.options, command, lease, run)
	return t.tasks[command.TaskRef].answer(), nil
}

// Start runs a reserved task; it has no effect on a running or completed task.
func (t *Table) Start(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	if _, err := t.leaseEnd(now, command); err != nil {
		return nil, err
	}
	task, ok := t.tasks[command.TaskRef]
	if !ok {
		return nil, failure.New(failure.NotFound, "the task is not reserved")
	}
	if task.report.Phase == api.PhaseReserved {
		task.start(now)
	}
	return task.answerUnlessEnded()
}

// Stop ends a task and answers with the work that its checkpoint holds. A stop may
// arrive before the reserve of the same run, so the epoch is refused from now on even
// if the task is not known.
func (t *Table) Stop(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	t.raiseFence(command.TaskRef, now)
	task, ok := t.tasks[command.TaskRef]
	if !ok {
		return &api.TaskAnswer{Incarnation: t.options.Incarnation}, nil
	}
	if task.live() && t.options.IgnoreStop {
		return nil, failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "the worker is configured to ignore stop commands")
	}
	task.stop(now, command.Checkpoint)
	task.run.end(now, Stopped, task.report.CheckpointedMs)
	return task.answer(), nil
}

// Throttle limits a running task to a percentage of its speed.
func (t *Table) Throttle(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	task, ok := t.tasks[command.TaskRef]
	if !ok || task.report.Phase != api.PhaseRunning {
		return nil, failure.New(failure.NotFound, "the task is not running")
	}
	if command.Percent == 0 || command.Percent > fullSpeedPercent {
		return nil, failure.New(failure.BadRequest, "percent must be from 1 to 100")
	}
	task.throttle(now, command.Percent)
	return task.answer(), nil
}

// Advance ends every task that has reached the end of its run time, its memory limit
// or the end of its lease, whichever came first. It reports whether any task ended.
func (t *Table) Advance(now time.Time) (ended bool) {
	for _, task := range t.tasks {
		ended = task.advance(now) || ended
	}
	return ended
}

// Next returns when Advance must be called next; zero for never.
func (t *Table) Next() time.Time {
	var next time.Time
	for _, task := range t.tasks {
		if at := task.next(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// leaseEnd returns the end of the lease that a command grants. The command names an
// announcement that its sender had received; the lease runs from when that was sent.
// If it ran from the receipt of the command, a command that the network delayed by a
// minute would grant a new lease to a gang that was stopped and written off.
func (t *Table) leaseEnd(now time.Time, command *api.TaskCommand) (time.Time, *failure.Error) {
	if command.Incarnation != t.options.Incarnation {
		return time.Time{}, failure.New(failure.StaleEpoch, "the command is for another incarnation of this worker")
	}
	sent, known := t.sent[command.Announced]
	end := sent.Add(milliseconds(command.LeaseMs))
	if !known || !now.Before(end) {
		return time.Time{}, failure.New(failure.StaleEpoch, "the command is older than its lease")
	}
	return end, nil
}

func (t *Table) raiseFence(ref api.TaskRef, now time.Time) {
	epoch := max(t.fences[keyOf(ref)].epoch, ref.Epoch+1)
	t.fences[keyOf(ref)] = fence{epoch: epoch, set: now}
}

func (t *Table) overlaps(command *api.TaskCommand) bool {
	for _, other := range t.tasks {
		if other.live() && intersect(other.command.Accelerators, command.Accelerators) {
			return true
		}
	}
	return false
}

func intersect(a, b []uint32) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

// prune removes the announcements and fences that no valid command can refer to any more.
func (t *Table) prune(now time.Time) {
	if t.lease == 0 {
		return
	}
	for version, sent := range t.sent {
		if now.Sub(sent) > t.lease {
			delete(t.sent, version)
		}
	}
	for key, fence := range t.fences {
		if now.Sub(fence.set) > fenceRetentionLeases*t.lease {
			delete(t.fences, key)
		}
	}
}

func keyOf(ref api.TaskRef) taskKey { return taskKey{ref.Job, ref.Task} }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
