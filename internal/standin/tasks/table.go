// Package tasks holds what a worker knows of its tasks and the rules by which it
// takes commands: leases, epochs and the guard of memory. It is pure: time comes
// as an argument. The stand-in worker runs it, and the tests of dispatch use it
// as their model of a worker.
package tasks

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Options say how the tasks behave.
type Options struct {
	// Incarnation tells this start of the worker from earlier ones.
	Incarnation int64
	// Speed divides run times: 1000 runs a declared second in 1 ms.
	Speed float64
	// Overrun multiplies run times beyond the declared ones; 0 means 1.
	Overrun float64
	// FailAll fails every task that starts.
	FailAll bool
	// IgnoreStop refuses to stop; a task goes on until its lease ends.
	IgnoreStop bool
	// CheckpointEvery is how much work lies between the checkpoints that a running
	// task makes of itself; 0 for none before its stop.
	CheckpointEvery time.Duration
	// TaskMemoryMB is what each task really uses; 0 means what it declared.
	TaskMemoryMB uint64
	// KeepRuns keeps the record of every run.
	KeepRuns bool
}

// fenceLeases is for how many leases the newest epoch of a task is remembered
// after its run. A command that was sent before is refused by its own lease by
// then, so the memory is bounded and nothing late comes alive.
const fenceLeases = 10

// Table is the tasks of one worker. It is not safe for several goroutines.
type Table struct {
	options Options
	tasks   map[api.TaskRef]*task
	fences  map[name]fence
	// version counts announcements, sent keeps when each left.
	version uint64
	sent    map[uint64]time.Time
	lease   time.Duration
	runs    []*Run
}

type name struct {
	job  string
	task uint32
}

// fence is the first epoch of a task that is still allowed to run here.
type fence struct {
	epoch uint64
	set   time.Time
}

// New makes an empty table.
func New(options Options) *Table {
	return &Table{
		options: options,
		tasks:   map[api.TaskRef]*task{},
		fences:  map[name]fence{},
		sent:    map[uint64]time.Time{},
	}
}

// Announce notes that an announcement leaves now and gives its version and the
// reports that go with it. It must be called before the announcement is sent:
// leases that an instance gives for it run from this moment.
func (t *Table) Announce(now time.Time) (version uint64, reports []api.TaskReport) {
	t.prune(now)
	t.version++
	t.sent[t.version] = now
	return t.version, t.Reports(now)
}

// Reports gives what the worker knows of its tasks.
func (t *Table) Reports(now time.Time) []api.TaskReport {
	t.Advance(now)
	reports := make([]api.TaskReport, 0, len(t.tasks))
	for _, task := range t.tasks {
		task.checkpoint(now)
		reports = append(reports, task.report)
	}
	return reports
}

// Take carries out the answer to the announcement of that version. Leases run
// from when the announcement was sent: the answer was decided after that, so a
// late answer gives what is left of the lease and never a new one.
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

// Reserve holds accelerators for a task until its lease ends. The same command
// again is answered alike. It refuses an accelerator that another task holds,
// and a run that has ended or that a later epoch has replaced: a late command
// of a stopped gang must not come alive.
func (t *Table) Reserve(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	lease, err := t.leaseOf(now, command)
	if err != nil {
		return nil, err
	}
	if command.Epoch < t.fences[nameOf(command.TaskRef)].epoch {
		return nil, failure.New(failure.StaleEpoch, "a later epoch was seen")
	}
	if old, ok := t.tasks[command.TaskRef]; ok {
		return old.answerIfKept()
	}
	run := t.record(now, command)
	if t.overlaps(command) {
		run.end(now, Refused, 0)
		return nil, failure.New(failure.Overloaded, "an accelerator is taken")
	}
	t.fences[nameOf(command.TaskRef)] = fence{epoch: command.Epoch, set: now}
	t.tasks[command.TaskRef] = newTask(t.options, command, lease, run)
	return t.tasks[command.TaskRef].answer(), nil
}

// Start runs a reserved task; a task that runs or has completed is left alone.
func (t *Table) Start(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	if _, err := t.leaseOf(now, command); err != nil {
		return nil, err
	}
	task, ok := t.tasks[command.TaskRef]
	if !ok {
		return nil, failure.New(failure.NotFound, "not reserved")
	}
	if task.report.Phase == api.PhaseReserved {
		task.start(now)
	}
	return task.answerIfKept()
}

// Stop ends a task and answers with the work that a checkpoint kept. A stop may
// overtake its own reserve, so the epoch is refused from now on either way.
func (t *Table) Stop(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	t.raiseFence(command.TaskRef, now)
	task, ok := t.tasks[command.TaskRef]
	if !ok {
		return &api.TaskAnswer{Incarnation: t.options.Incarnation}, nil
	}
	if task.live() && t.options.IgnoreStop {
		return nil, failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "this worker ignores stops")
	}
	task.stop(now, command.Checkpoint)
	task.run.end(now, Stopped, task.report.CheckpointedMs)
	return task.answer(), nil
}

// Throttle makes a running task go at a percentage of its speed.
func (t *Table) Throttle(now time.Time, command *api.TaskCommand) (*api.TaskAnswer, *failure.Error) {
	t.Advance(now)
	task, ok := t.tasks[command.TaskRef]
	if !ok || task.report.Phase != api.PhaseRunning {
		return nil, failure.New(failure.NotFound, "not running")
	}
	if command.Percent == 0 || command.Percent > wholeSpeed {
		return nil, failure.New(failure.BadRequest, "percent is 1 to 100")
	}
	task.throttle(now, command.Percent)
	return task.answer(), nil
}

// Advance ends what has come to its end, to its guard, or to the end of its
// lease, whichever came first.
func (t *Table) Advance(now time.Time) (ended bool) {
	for _, task := range t.tasks {
		ended = task.advance(now) || ended
	}
	return ended
}

// Next is when Advance has something to do again; zero for never.
func (t *Table) Next() time.Time {
	var next time.Time
	for _, task := range t.tasks {
		if at := task.next(); !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}
	return next
}

// leaseOf gives the end of the lease that a command may give. The command names
// an announcement that its sender had heard of; the lease runs from when that
// was sent. Measured from receipt, a command that the network held back for a
// minute would give a new lease to a gang that was stopped and given up on.
func (t *Table) leaseOf(now time.Time, command *api.TaskCommand) (time.Time, *failure.Error) {
	if command.Incarnation != t.options.Incarnation {
		return time.Time{}, failure.New(failure.StaleEpoch, "meant for another start of this worker")
	}
	sent, known := t.sent[command.Announced]
	end := sent.Add(milliseconds(command.LeaseMs))
	if !known || !now.Before(end) {
		return time.Time{}, failure.New(failure.StaleEpoch, "the command is older than its lease")
	}
	return end, nil
}

func (t *Table) raiseFence(ref api.TaskRef, now time.Time) {
	epoch := max(t.fences[nameOf(ref)].epoch, ref.Epoch+1)
	t.fences[nameOf(ref)] = fence{epoch: epoch, set: now}
}

func (t *Table) overlaps(command *api.TaskCommand) bool {
	for _, other := range t.tasks {
		if other.live() && shareAny(other.command.Accelerators, command.Accelerators) {
			return true
		}
	}
	return false
}

func shareAny(a, b []uint32) bool {
	for _, x := range a {
		for _, y := range b {
			if x == y {
				return true
			}
		}
	}
	return false
}

// prune drops what no command can refer to any more.
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
		if now.Sub(fence.set) > fenceLeases*t.lease {
			delete(t.fences, key)
		}
	}
}

func nameOf(ref api.TaskRef) name { return name{ref.Job, ref.Task} }

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
