package leases

import (
	"cmp"
	"slices"
	"strconv"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// maxSlow is by how much a worker's clock may lag behind real time.
	maxSlow = 0.02
	// enforcement is how long a worker may take from the end of a lease to the end
	// of its runs, and covers the rounding of its clock.
	enforcement = 500 * time.Millisecond
)

// Ledger is what is known of one boot of a worker under one token. It reads no
// clock. The zero Ledger knows nothing.
type Ledger struct {
	// clock is the worker's newest clock, at clockAt here; reported is that of the
	// newest report, which is what running was at.
	clock    int64
	clockAt  time.Time
	reported int64
	heard    bool
	running  []Running
	// marks are the first readings of the progress of what runs.
	marks map[runName]mark
	ends  map[uint64]End
	acked uint64
	// extended is when the newest order left that could prolong the lease.
	extended time.Time
	lease    time.Duration
}

// NewLedger makes the ledger of a boot; until says when the newest order of an
// earlier leader can have left, of which nothing is known here.
func NewLedger(lease time.Duration, until time.Time) *Ledger {
	return &Ledger{lease: lease, ends: map[uint64]End{}, extended: until}
}

// Heard tells whether the worker has answered a look under the token: from then
// on no order of an earlier leader is obeyed there, and what runs is known.
func (l *Ledger) Heard() bool { return l.heard }

// Take takes in a report that arrived at now. Answers may overtake each other, so
// an older one adds ends and replaces nothing.
func (l *Ledger) Take(report *Report, now time.Time) {
	for _, end := range report.Ends {
		if end.Number > l.acked {
			l.ends[end.Number] = end
		}
	}
	if l.heard && report.Clock < l.reported {
		return
	}
	l.heard = true
	l.reported = report.Clock
	l.running = report.Running
	l.markProgress(report)
	l.hearClock(report.Clock, now)
}

func (l *Ledger) hearClock(clock int64, now time.Time) {
	if clock < l.clock {
		return
	}
	l.clock = clock
	l.clockAt = now
}

// HearClock takes the clock of an answer to a start or stop.
func (l *Ledger) HearClock(clock int64, now time.Time) {
	if l.heard {
		l.hearClock(clock, now)
	}
}

// Deadline is the end of a lease that begins at now, by the worker's clock, and
// notes that an order with it leaves. The worker's clock is taken to be as slow as
// it may be, so the lease is rather shorter than longer. The worker must have been
// heard: without its clock no end of a lease can be named.
//
// An order of an earlier leader may have left after now, so what it may have
// prolonged is not forgotten: the runs that it keeps alive would be begun elsewhere
// beside themselves.
func (l *Ledger) Deadline(now time.Time) int64 {
	if now.After(l.extended) {
		l.extended = now
	}
	since := float64(now.Sub(l.clockAt).Milliseconds()) * (1 - maxSlow)
	return l.clock + int64(since) + l.lease.Milliseconds()
}

// LeaseOver tells that everything which runs there by orders that left so far has
// ended: the worker counts the lease by its own clock, which may be slow.
func (l *Ledger) LeaseOver(now time.Time) bool {
	return now.Sub(l.extended) > LeaseBound(l.lease)
}

// LeaseBound is how long after an order left the runs that it prolongs have ended.
// The order names a time of the worker's clock, so one that the network held back
// is bounded alike.
func LeaseBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-2*maxSlow)) + enforcement
}

// Busy tells whether runs, or ends that are not acknowledged, are known.
func (l *Ledger) Busy() bool { return len(l.running) > 0 || len(l.ends) > 0 }

// Fate of one run, as far as the worker told.
type Fate int

// The fates.
const (
	// Absent runs are neither alive nor listed as ended.
	Absent Fate = iota
	Alive
	Ended
)

// Find tells what became of a run, and its end where it has one.
func (l *Ledger) Find(task string, run uint64) (Fate, End) {
	for _, end := range l.ends {
		if end.Task == task && end.Run == run {
			return Ended, end
		}
	}
	for _, r := range l.running {
		if r.Task == task && r.Run == run {
			return Alive, End{}
		}
	}
	return Absent, End{}
}

// Reported is the worker's clock in the newest report. The clock of another
// answer is no report: what runs may have changed between the two.
func (l *Ledger) Reported() int64 { return l.reported }

// Settle acknowledges, in order, the ends that the committed state has taken in,
// and gives the number to acknowledge. An end acknowledged sooner would be lost
// with this leader: the worker forgets it, and the task would run again.
func (l *Ledger) Settle(state *store.State) uint64 {
	for {
		end, ok := l.ends[l.acked+1]
		if !ok {
			return l.skipTo(state)
		}
		if !settled(state, end) {
			return l.acked
		}
		delete(l.ends, end.Number)
		l.acked = end.Number
	}
}

// skipTo passes over numbers that the worker no longer lists: an earlier leader
// has acknowledged them.
func (l *Ledger) skipTo(state *store.State) uint64 {
	if len(l.ends) == 0 {
		return l.acked
	}
	lowest := uint64(0)
	for number := range l.ends {
		if lowest == 0 || number < lowest {
			lowest = number
		}
	}
	l.acked = lowest - 1
	if !settled(state, l.ends[lowest]) {
		return l.acked
	}
	return l.Settle(state)
}

// settled tells whether the state has taken in the end. The leader's state holds
// every run that was ever ordered, so one that it does not know is over.
func settled(state *store.State, end End) bool {
	job, task, ok := FindTask(state, end.Task)
	if !ok || job.Epoch != end.Run || store.Ended(job.State) || job.State == controlpb.JobState_JOB_STATE_WAITING {
		return true
	}
	return slices.Contains(job.DoneTasks, task) || store.StopAcknowledged(job, task)
}

// Orphans lists the runs that are alive and that the state does not want.
func (l *Ledger) Orphans(state *store.State) []Running {
	var orphans []Running
	for _, run := range l.running {
		if fate, _ := l.Find(run.Task, run.Run); fate == Ended {
			continue
		}
		job, _, ok := FindTask(state, run.Task)
		if !ok || job.Epoch != run.Run || store.Ended(job.State) || job.State == controlpb.JobState_JOB_STATE_WAITING {
			orphans = append(orphans, run)
		}
	}
	return orphans
}

// FindTask finds the job that a task's name belongs to, and its number there.
func FindTask(state *store.State, name string) (job *controlpb.Job, task uint32, ok bool) {
	if job, ok := state.Job(name); ok {
		return job, 0, true
	}
	at := strings.LastIndexByte(name, '.')
	if at < 0 {
		return nil, 0, false
	}
	index, err := strconv.ParseUint(name[at+1:], 10, 32)
	if err != nil {
		return nil, 0, false
	}
	job, ok = state.Job(name[:at])
	return job, uint32(index), ok
}

// Tasks lists what is known of the runs as dispatch reads it.
func (l *Ledger) Tasks(state *store.State) []*peerpb.TaskReport {
	reports := l.endReports(state, func(End) bool { return true })
	for _, run := range l.running {
		job, task, ok := FindTask(state, run.Task)
		if fate, _ := l.Find(run.Task, run.Run); !ok || fate == Ended {
			continue
		}
		reports = append(reports, &peerpb.TaskReport{
			Job: job.Id, Task: task, Epoch: run.Run,
			Phase:          peerpb.TaskPhase_TASK_PHASE_RUNNING,
			Checkpoint:     run.Checkpoint,
			Percent:        run.Percent,
			CheckpointedMs: checkpointed(job, run),
		})
	}
	slices.SortFunc(reports, byTask)
	return reports
}

// UnsettledEnds lists the ends that the state has not taken in, as dispatch reads them.
func (l *Ledger) UnsettledEnds(state *store.State) []*peerpb.TaskReport {
	reports := l.endReports(state, func(end End) bool { return !settled(state, end) })
	slices.SortFunc(reports, byTask)
	return reports
}

func (l *Ledger) endReports(state *store.State, wanted func(End) bool) []*peerpb.TaskReport {
	reports := make([]*peerpb.TaskReport, 0, len(l.running)+len(l.ends))
	for _, end := range l.ends {
		if job, task, ok := FindTask(state, end.Task); ok && wanted(end) {
			reports = append(reports, endReport(job, task, end))
		}
	}
	return reports
}

func byTask(a, b *peerpb.TaskReport) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Epoch, b.Epoch))
}

// checkpointed estimates the work that the newest checkpoint keeps from what is
// done so far.
func checkpointed(job *controlpb.Job, run Running) int64 {
	if run.Checkpoint == "" {
		return 0
	}
	return job.RunTimeMs * int64(run.Percent) / 100
}

func endReport(job *controlpb.Job, task uint32, end End) *peerpb.TaskReport {
	report := &peerpb.TaskReport{Job: job.Id, Task: task, Epoch: end.Run, Checkpoint: end.Checkpoint}
	switch end.How {
	case Done:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_COMPLETED
	case Failed:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_FAILED
		report.Code = string(failure.TaskFailed)
	default:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_STOPPED
	}
	return report
}
