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
	// maxClockLag is the maximum fraction by which a worker's clock may run slower than
	// real time.
	maxClockLag = 0.02
	// enforcementMargin is how long a worker may take to end its runs after its lease
	// has expired. It also covers the rounding of the worker's clock.
	enforcementMargin = 500 * time.Millisecond
)

// Tracker holds what is known about one incarnation of a worker under one token. It
// never reads a clock. The zero Tracker knows nothing.
type Tracker struct {
	// clock is the latest known clock of the worker in ms, received at the local time
	// clockAt. reportClock is the clock of the latest report, to which running belongs.
	clock       int64
	clockAt     time.Time
	reportClock int64
	hasReport   bool
	running     []Running
	// previous are the active runs of the report before, and previousClock its clock.
	previous      []Running
	previousClock int64
	hasPrevious   bool
	// firstReadings holds the first progress reading of each active run.
	firstReadings map[runKey]progressReading
	ends          map[uint64]End
	acked         uint64
	// listed is the lowest number of an end in the latest report, 0 for none, and listedEnds the number of ends.
	listed     uint64
	listedEnds int
	// superseded are the acknowledged ends that count in no state, because their job had moved on.
	superseded []supersededEnd
	// endsBy is the time by which all runs covered by the commands sent so far have ended.
	endsBy time.Time
	// bornBy is the latest time at which the incarnation can have started, by its clock;
	// zero if it may be any.
	bornBy time.Time
}

// NewTracker returns the Tracker of an incarnation. until is the latest time at which
// an earlier leader, whose commands are not known here, can have sent one.
func NewTracker(lease time.Duration, until time.Time) *Tracker {
	return &Tracker{ends: map[uint64]End{}, endsBy: until.Add(LeaseUpperBound(lease))}
}

// HasReport reports whether the worker has answered a poll under the token. From then
// on the worker rejects commands of earlier leaders, and its runs are known.
func (t *Tracker) HasReport() bool { return t.hasReport }

// ApplyReport records a report that arrived at now. Responses may arrive out of order:
// an outdated report only adds ends and replaces nothing.
func (t *Tracker) ApplyReport(report *Report, now time.Time) {
	for _, end := range report.Ends {
		if end.Number > t.acked {
			t.ends[end.Number] = end
		}
	}
	if t.hasReport && report.Clock < t.reportClock {
		return
	}
	t.previous, t.previousClock, t.hasPrevious = t.running, t.reportClock, t.hasReport
	t.hasReport = true
	t.reportClock = report.Clock
	t.running = report.Running
	t.listed, t.listedEnds = lowestEnd(report), len(report.Ends)
	t.recordProgress(report)
	t.setClock(report.Clock, now)
}

func lowestEnd(report *Report) uint64 {
	lowest := uint64(0)
	for _, end := range report.Ends {
		if lowest == 0 || end.Number < lowest {
			lowest = end.Number
		}
	}
	return lowest
}

// listsAcknowledged reports whether the worker still listed an end that may be acknowledged.
func (t *Tracker) listsAcknowledged() bool { return t.listed > 0 && t.listed <= t.acked }

// maxListedEnds is how many ends a worker lists in one report.
const maxListedEnds = 500

// listIsFull reports whether the worker may have more ends than the latest report lists.
func (t *Tracker) listIsFull() bool { return t.listedEnds >= maxListedEnds }

// droppedEnd returns a run that the worker no longer lists, although the report before listed it as active and
// none lists its end. Reports of one millisecond have no order.
func (t *Tracker) droppedEnd(report *Report) (dropped runKey, ok bool) {
	if report.Clock <= t.reportClock || len(report.Ends) >= maxListedEnds {
		return runKey{}, false
	}
	listed := map[runKey]bool{}
	for _, run := range report.Running {
		listed[runKey{run.Task, run.Run}] = true
	}
	for _, end := range report.Ends {
		listed[runKey{end.Task, end.Run}] = true
	}
	for _, run := range t.running {
		key := runKey{run.Task, run.Run}
		if status, _ := t.Find(run.Task, run.Run); status == Active && !listed[key] {
			return key, true
		}
	}
	return runKey{}, false
}

// observeBirth records when the incarnation that sent the report has started, from its
// clock. It does nothing for workers that don't name their incarnation.
func (t *Tracker) observeBirth(report *Report, now time.Time) {
	if report.Incarnation == 0 {
		return
	}
	by := now.Add(-time.Duration(report.Clock) * time.Millisecond)
	if t.bornBy.IsZero() || by.Before(t.bornBy) {
		t.bornBy = by
	}
}

func (t *Tracker) setClock(clock int64, now time.Time) {
	if clock < t.clock {
		return
	}
	t.clock = clock
	t.clockAt = now
}

// ObserveClock records the worker's clock from the response to a start or stop.
func (t *Tracker) ObserveClock(clock int64, now time.Time) {
	if t.hasReport {
		t.setClock(clock, now)
	}
}

// ExtendLease records that a command which extends the lease is sent at now, and
// returns the new deadline in ms on the worker's clock. The clock is assumed to run as
// slowly as allowed, so the lease is too short rather than too long. A report must have
// been received: without the worker's clock no deadline can be computed.
//
// An earlier leader may have sent a command later than now, or one with a longer lease may have been
// sent before, so the end never moves back. Otherwise runs that such a command keeps alive would
// be started a second time elsewhere.
func (t *Tracker) ExtendLease(now time.Time, lease time.Duration) int64 {
	if end := now.Add(LeaseUpperBound(lease)); end.After(t.endsBy) {
		t.endsBy = end
	}
	since := float64(now.Sub(t.clockAt).Milliseconds()) * (1 - maxClockLag)
	return t.clock + int64(since) + lease.Milliseconds()
}

// LeaseExpired reports whether all runs covered by commands sent so far have ended. The
// worker measures the lease by its own clock, which may be slow.
func (t *Tracker) LeaseExpired(now time.Time) bool { return now.After(t.endsBy) }

// LeaseUpperBound is the time after which all runs covered by a command have ended,
// counted from sending it. The deadline in the command is a time on the worker's clock,
// so the bound also holds for a command that the network delayed.
func LeaseUpperBound(lease time.Duration) time.Duration {
	return time.Duration(float64(lease)/(1-2*maxClockLag)) + enforcementMargin
}

// Busy reports whether there are active runs or unacknowledged ends.
func (t *Tracker) Busy() bool { return len(t.running) > 0 || len(t.ends) > 0 }

// maxLoggedRuns limits the runs that one log line names.
const maxLoggedRuns = 8

// runNames names up to limit of the runs that the latest report lists as active.
func (t *Tracker) runNames(limit int) []string {
	names := []string{}
	for _, run := range t.running[:min(len(t.running), limit)] {
		names = append(names, run.Task)
	}
	return names
}

// RunStatus is the status of one run according to the worker's reports.
type RunStatus int

// The statuses of a run.
const (
	// Absent runs are neither active nor reported as ended.
	Absent RunStatus = iota
	Active
	Ended
)

// Find returns the status of a run, and its end if it has one.
func (t *Tracker) Find(task string, run uint64) (RunStatus, End) {
	for _, end := range t.ends {
		if end.Task == task && end.Run == run {
			return Ended, end
		}
	}
	for _, r := range t.running {
		if r.Task == task && r.Run == run {
			return Active, End{}
		}
	}
	return Absent, End{}
}

// ReportClock is the worker's clock in ms in the latest report. Responses to other
// requests do not advance it, since the active runs may have changed after the report.
func (t *Tracker) ReportClock() int64 { return t.reportClock }

// AcknowledgeCommitted acknowledges, in order, the ends that the committed state
// contains, and returns the number to acknowledge to the worker. An end acknowledged
// earlier would be lost with this leader: the worker discards it, and the task would
// run again.
func (t *Tracker) AcknowledgeCommitted(state *store.State) uint64 {
	for {
		end, ok := t.ends[t.acked+1]
		if !ok {
			return t.skipAcknowledged(state)
		}
		if !isCommitted(state, end) {
			return t.acked
		}
		t.recordSuperseded(state, end)
		delete(t.ends, end.Number)
		t.acked = end.Number
	}
}

// skipAcknowledged skips numbers that the worker no longer reports because an earlier
// leader has acknowledged them.
func (t *Tracker) skipAcknowledged(state *store.State) uint64 {
	if len(t.ends) == 0 {
		return t.acked
	}
	lowest := uint64(0)
	for number := range t.ends {
		if lowest == 0 || number < lowest {
			lowest = number
		}
	}
	t.acked = lowest - 1
	if !isCommitted(state, t.ends[lowest]) {
		return t.acked
	}
	return t.AcknowledgeCommitted(state)
}

// isCommitted reports whether the state contains the end. The leader's state holds
// every run for which a start was ever sent, so a run that is not in the state is
// finished. A run that was given up and has done its work completes its job first, and one that has failed
// is counted first. So is one that began after its stop was acknowledged.
func isCommitted(state *store.State, end End) bool {
	job, task, ok := FindTask(state, end.Task)
	if ok && (end.Outcome == Done && store.CompletesLate(job, end.Run) || end.Outcome == Failed && store.FailsLate(job, end.Run)) {
		return false
	}
	if ok && end.Outcome == Failed && job.StartUnanswered && job.Epoch == end.Run && job.State == controlpb.JobState_JOB_STATE_STOPPING && !store.FailureCounted(job, end.Run) {
		return false
	}
	if !ok || job.Epoch != end.Run || store.Ended(job.State) || job.State == controlpb.JobState_JOB_STATE_WAITING {
		return true
	}
	return slices.Contains(job.DoneTasks, task) || store.StopAcknowledged(job, task)
}

// supersededEnd is the end of a run from which its job had moved on when it was acknowledged, and
// the job's epoch and state then.
type supersededEnd struct {
	end   End
	epoch uint64
	state controlpb.JobState
}

// recordSuperseded records an end, of a run that has done its work or failed, that the state doesn't count.
func (t *Tracker) recordSuperseded(state *store.State, end End) {
	job, task, ok := FindTask(state, end.Task)
	if !ok || store.Ended(job.State) || end.Outcome != Done && end.Outcome != Failed {
		return
	}
	if job.Epoch == end.Run && (slices.Contains(job.DoneTasks, task) || job.FailedEpoch == end.Run) || slices.Contains(job.CountedEpochs, end.Run) {
		return
	}
	t.superseded = append(t.superseded, supersededEnd{end, job.Epoch, job.State})
}

// takeSuperseded returns the superseded ends that have been recorded since the last call.
func (t *Tracker) takeSuperseded() []supersededEnd {
	superseded := t.superseded
	t.superseded = nil
	return superseded
}

// Orphans lists the active runs that the state no longer wants, with those that began after their stop was acknowledged.
func (t *Tracker) Orphans(state *store.State) []Running {
	var orphans []Running
	for _, run := range t.running {
		if status, _ := t.Find(run.Task, run.Run); status == Ended {
			continue
		}
		job, task, ok := FindTask(state, run.Task)
		if !ok || job.Epoch != run.Run || store.Ended(job.State) || job.State == controlpb.JobState_JOB_STATE_WAITING || store.StopAcknowledged(job, task) {
			orphans = append(orphans, run)
		}
	}
	return orphans
}

// FindTask returns the job to which a task name belongs, and the index of the task in
// that job.
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

// Tasks lists the known runs and ends in the form that dispatch reads.
func (t *Tracker) Tasks(state *store.State) []*peerpb.TaskReport {
	reports := t.endReports(state, func(End) bool { return true })
	for _, run := range t.running {
		job, task, ok := FindTask(state, run.Task)
		if status, _ := t.Find(run.Task, run.Run); !ok || status == Ended {
			continue
		}
		reports = append(reports, &peerpb.TaskReport{
			Job: job.Id, Task: task, Epoch: run.Run,
			Phase:          peerpb.TaskPhase_TASK_PHASE_RUNNING,
			Checkpoint:     run.Checkpoint,
			Percent:        run.Percent,
			CheckpointedMs: checkpointedMs(job, run),
		})
	}
	slices.SortFunc(reports, byTask)
	return reports
}

// UncommittedEnds lists the ends that the state does not contain yet, in the form that
// dispatch reads.
func (t *Tracker) UncommittedEnds(state *store.State) []*peerpb.TaskReport {
	reports := t.endReports(state, func(end End) bool { return !isCommitted(state, end) })
	slices.SortFunc(reports, byTask)
	return reports
}

func (t *Tracker) endReports(state *store.State, include func(End) bool) []*peerpb.TaskReport {
	reports := make([]*peerpb.TaskReport, 0, len(t.running)+len(t.ends))
	for _, end := range t.ends {
		if job, task, ok := FindTask(state, end.Task); ok && include(end) {
			reports = append(reports, endReport(job, task, end))
		}
	}
	return reports
}

func byTask(a, b *peerpb.TaskReport) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Task, b.Task), cmp.Compare(a.Epoch, b.Epoch))
}

// checkpointedMs estimates how much work, in ms, the latest checkpoint preserves. It
// uses the current progress.
func checkpointedMs(job *controlpb.Job, run Running) int64 {
	if run.Checkpoint == "" {
		return 0
	}
	return job.RunTimeMs * int64(run.Percent) / 100
}

func endReport(job *controlpb.Job, task uint32, end End) *peerpb.TaskReport {
	report := &peerpb.TaskReport{Job: job.Id, Task: task, Epoch: end.Run, Checkpoint: end.Checkpoint}
	switch end.Outcome {
	case Done:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_COMPLETED
	case Failed:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_FAILED
		report.Code = string(failure.TaskFailed)
	case GangBroken:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_STOPPED
		report.Code = string(failure.GangEnded)
	default:
		report.Phase = peerpb.TaskPhase_TASK_PHASE_STOPPED
	}
	return report
}
