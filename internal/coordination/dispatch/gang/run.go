package gang

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// run is the state of one epoch of a job.
type run struct {
	epoch uint64
	state controlpb.JobState
	// since is when this machine first saw the job's state; for STOPPING it is when
	// this instance first saw it, in any term. Timeouts count from it, on the clock of
	// this instance.
	since time.Time
	// mayHaveStarted is set once a start command was sent, and if an earlier leader may
	// have sent one.
	mayHaveStarted bool
	// inherited is set if an earlier leader may have sent start commands.
	inherited bool
	// startedBefore is set if the log had the start of the run before this machine saw it: under an earlier leader.
	startedBefore bool
	// firstStart is when this machine sent the first start command; zero before.
	firstStart time.Time
	// changed is set when a member has changed since the run was last processed.
	changed bool
	// slowStopReported is set once this machine has reported that the stop lasts.
	slowStopReported bool
	members          []*member
}

// phase is the phase of a member. It only increases, so that delayed reports and answers
// have no effect.
type phase int

const (
	phaseIdle phase = iota
	phaseReserved
	phaseRunning
	phaseStopped
	phaseFailed
	phaseCompleted
)

func (p phase) ended() bool { return p >= phaseStopped }

// member is one task of a gang.
type member struct {
	placement *controlpb.Placement
	phase     phase
	// awaiting is the kind of the command without an answer yet; 0 for none.
	awaiting Kind
	// startSent is set once a start command was sent that may have arrived.
	startSent bool
	// announced is the version of the worker's announcement that the newest command named.
	announced uint64
	// minAnnounced is the lowest version that the next command may name, because a command
	// that named an earlier one arrived too late.
	minAnnounced uint64
	// refusal is the error of a failed reserve or start command.
	refusal *failure.Error
	// reportedIn is the newest announcement that reported the task.
	reportedIn *peerpb.Upstream
	// endReport is the report of the task's end.
	endReport      *peerpb.TaskReport
	checkpointedMs int64
	// checkpoint names the newest checkpoint that the worker reported.
	checkpoint string
	// outcomeUnknown is set if the worker restarted after it was given the task: the task
	// no longer runs, and its outcome cannot be determined.
	outcomeUnknown bool
	progress       progress
	// absentSince is when the task was first found missing from a live worker's
	// announcements; zero while it is reported.
	absentSince time.Time
	// retryAt is the earliest time to send another stop, failedStops the number of stops
	// that failed.
	retryAt     time.Time
	failedStops int
}

// track returns the run of the job's epoch and creates it if necessary. A new run starts
// from what the workers have reported, so that a new leader continues a gang where it
// stands.
func (s *step) track(job *controlpb.Job) *run {
	r := s.runs[job.Id]
	if r == nil || r.epoch != job.Epoch {
		r = s.beginRun(job)
	}
	if r.state != job.State {
		r.state = job.State
		r.since = s.stops.since(job, s.in.Now)
		r.changed = true
		for _, m := range r.members {
			m.awaiting = 0
		}
	}
	return r
}

func (s *step) beginRun(job *controlpb.Job) *run {
	// A new leader may not have applied all decisions of the previous one yet.
	r := &run{epoch: job.Epoch, startedBefore: job.StartedMs > 0, inherited: job.StartedMs > 0 || !s.announcementsComplete()}
	r.mayHaveStarted = r.inherited
	for _, placement := range job.Placements {
		m := &member{placement: placement, checkpointedMs: job.CheckpointedMs}
		if w := s.workers[placement.Worker]; w != nil {
			if report := w.reportOf(job.Id, job.Epoch, placement.Task); report != nil {
				m.applyReport(report, w.upstream, s.in.Now)
			}
		}
		r.members = append(r.members, m)
	}
	return r
}

// member returns the member of a task, or nil. Placements are normally in task order, so
// the index is tried first.
func (r *run) member(task uint32) *member {
	if int(task) < len(r.members) && r.members[task].placement.Task == task {
		return r.members[task]
	}
	for _, m := range r.members {
		if m.placement.Task == task {
			return m
		}
	}
	return nil
}

// allReached reports whether every member has reached the phase.
func (r *run) allReached(p phase) bool {
	return !slices.ContainsFunc(r.members, func(m *member) bool { return m.phase < p })
}

var reportedPhases = map[peerpb.TaskPhase]phase{
	peerpb.TaskPhase_TASK_PHASE_RESERVED:  phaseReserved,
	peerpb.TaskPhase_TASK_PHASE_RUNNING:   phaseRunning,
	peerpb.TaskPhase_TASK_PHASE_STOPPED:   phaseStopped,
	peerpb.TaskPhase_TASK_PHASE_FAILED:    phaseFailed,
	peerpb.TaskPhase_TASK_PHASE_COMPLETED: phaseCompleted,
}

var answeredPhases = map[string]phase{
	api.PhaseReserved:  phaseReserved,
	api.PhaseRunning:   phaseRunning,
	api.PhaseStopped:   phaseStopped,
	api.PhaseFailed:    phaseFailed,
	api.PhaseCompleted: phaseCompleted,
}

// applyReport applies a worker's report on the task. It returns whether the member's
// phase changed or the end of the task was reported for the first time.
func (m *member) applyReport(report *peerpb.TaskReport, announcement *peerpb.Upstream, now time.Time) bool {
	m.progress.update(report, now)
	m.absentSince = time.Time{}
	m.reportedIn = announcement
	if !m.phase.ended() {
		m.checkpointedMs = max(m.checkpointedMs, report.CheckpointedMs)
		m.setCheckpoint(report.Checkpoint)
	}
	previous := m.phase
	// Another incarnation may have carried out the start: only how its run ended counts.
	if reported := reportedPhases[report.Phase]; reported.ended() || announcement.Incarnation == m.placement.Incarnation {
		m.advance(reported, report.CheckpointedMs)
	}
	if m.phase.ended() && m.endReport == nil {
		m.endReport = report
		return true
	}
	return m.phase != previous
}

// applyAnswer applies the answer to a command.
func (m *member) applyAnswer(answer *Answer, now time.Time) {
	m.awaiting = 0
	if answer.Err == nil && answer.Kind == Stop && answer.Phase == "" {
		// The worker does not know the task. If it is the incarnation that was given
		// the task, the task never ran there.
		m.outcomeUnknown = answer.Incarnation != m.placement.Incarnation
		m.advance(phaseStopped, 0)
		return
	}
	if answer.Err == nil {
		m.setCheckpoint(answer.Checkpoint)
		m.advance(answeredPhases[answer.Phase], answer.CheckpointedMs)
		return
	}
	if answer.Kind == Stop {
		m.failedStops++
		m.retryAt = now.Add(stopRetryDelay(m.failedStops))
		return
	}
	m.refusal = answer.Err
	if answer.Kind == Start && answer.Err.Code == failure.Unreachable {
		m.startSent = false
	}
}

func (m *member) advance(p phase, checkpointedMs int64) {
	if m.phase.ended() || p <= m.phase {
		return
	}
	m.phase = p
	m.checkpointedMs = max(m.checkpointedMs, checkpointedMs)
}

// setCheckpoint records a newer checkpoint. A report without one leaves the recorded one
// in place.
func (m *member) setCheckpoint(checkpoint string) {
	if checkpoint != "" && !m.phase.ended() {
		m.checkpoint = checkpoint
	}
}

// completionRecorded reports whether the log records the member's task as completed.
func completionRecorded(job *controlpb.Job, m *member) bool {
	return slices.Contains(job.DoneTasks, m.placement.Task)
}

// recordCompletions adds to the batch the completed members that the log does not record
// yet. If the job's tasks end together, the completion of one completes all.
func (s *step) recordCompletions(job *controlpb.Job, r *run) {
	endTogether := job.EndsTogether && r.anyCompleted()
	for _, m := range r.members {
		if (m.phase == phaseCompleted || endTogether) && !completionRecorded(job, m) {
			finished := &controlpb.FinishedTask{Job: job.Id, Epoch: job.Epoch, Task: m.placement.Task}
			s.batch().Finished = append(s.batch().Finished, finished)
		}
	}
}

// failedMember returns a member whose task failed, or nil. Its failure takes precedence
// over members that their workers stopped as a consequence.
func (r *run) failedMember(job *controlpb.Job) *member {
	for _, m := range r.members {
		if m.phase == phaseFailed && !completionRecorded(job, m) {
			return m
		}
	}
	return nil
}

// anyCompleted reports whether a member has completed.
func (r *run) anyCompleted() bool {
	return slices.ContainsFunc(r.members, func(m *member) bool { return m.phase == phaseCompleted })
}

// endedWithGang reports whether the member's worker ended it because another member had ended.
func endedWithGang(job *controlpb.Job, m *member) bool {
	if m.phase == phaseStopped && m.endReport.GetCode() == string(failure.GangEnded) {
		return true
	}
	return slices.ContainsFunc(job.StoppedTasks, func(t *controlpb.StoppedTask) bool {
		return t.Task == m.placement.Task && t.EndedWithGang
	})
}

// endKnown reports whether the member's task is known to have ended, from its worker's
// reports and answers or from the log.
func endKnown(job *controlpb.Job, m *member) bool {
	return m.phase.ended() || completionRecorded(job, m) || store.StopAcknowledged(job, m.placement.Task)
}
