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

// run is what is remembered of one epoch of a job.
type run struct {
	epoch uint64
	state controlpb.JobState
	// since is when this machine first saw the state, and of a stop when this instance
	// did: from there waits are counted, by its own clock.
	since time.Time
	// mayHaveStarted is set once a start was sent, and for a run that another
	// leader began.
	mayHaveStarted bool
	// news says that a member changed since the run was last driven.
	news    bool
	members []*member
}

// phase of a member; it only grows, so that late news changes nothing.
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
	// awaiting is the command whose answer is still to come; 0 for none.
	awaiting Kind
	// refused is why a reserve or start failed.
	refused *failure.Error
	// heardIn is the newest announcement that reported the task.
	heardIn *peerpb.Upstream
	// report of the task's end.
	report         *peerpb.TaskReport
	checkpointedMs int64
	// checkpoint is the newest that the worker named.
	checkpoint string
	// unknown is set where the worker has started again since it was given the
	// task: it runs no more, and nobody can say how it ended.
	unknown bool
	// progress of the task's work.
	progress progress
	// absent is since when a live worker has not reported the task.
	absent time.Time
	// retry is when a stop may be sent again.
	retry time.Time
	tries int
}

// track finds the run of the job's epoch, or begins it. What the workers report
// is read first, so that a new leader goes on from there.
func (s *step) track(job *controlpb.Job) *run {
	r := s.runs[job.Id]
	if r == nil || r.epoch != job.Epoch {
		r = s.beginRun(job)
	}
	if r.state != job.State {
		r.state = job.State
		r.since = s.stops.since(job, s.in.Now)
		r.news = true
		for _, m := range r.members {
			m.awaiting = 0
		}
	}
	return r
}

func (s *step) beginRun(job *controlpb.Job) *run {
	// A young leader may still be applying what an earlier one decided.
	r := &run{epoch: job.Epoch, mayHaveStarted: job.StartedMs > 0 || !s.knowsWorkers()}
	for _, placement := range job.Placements {
		m := &member{placement: placement, checkpointedMs: job.CheckpointedMs}
		if w := s.workers[placement.Worker]; w != nil {
			if report := w.reportOf(job.Id, job.Epoch, placement.Task); report != nil {
				m.hear(report, w.upstream, s.in.Now)
			}
		}
		r.members = append(r.members, m)
	}
	return r
}

// member finds a task's member; placements are in the order of tasks.
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

// reached tells whether every member has come to the phase.
func (r *run) reached(p phase) bool {
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

// hear takes what the worker reports of the task, and tells whether it is news.
func (m *member) hear(report *peerpb.TaskReport, in *peerpb.Upstream, now time.Time) bool {
	m.progress.hear(report, now)
	m.absent = time.Time{}
	m.heardIn = in
	if !m.phase.ended() {
		m.checkpointedMs = max(m.checkpointedMs, report.CheckpointedMs)
		m.keep(report.Checkpoint)
	}
	before := m.phase
	m.advance(reportedPhases[report.Phase], report.CheckpointedMs)
	if m.phase.ended() && m.report == nil {
		m.report = report
		return true
	}
	return m.phase != before
}

// take handles the answer to a command.
func (m *member) take(answer *Answer, now time.Time) {
	m.awaiting = 0
	if answer.Err == nil && answer.Kind == Stop && answer.Phase == "" {
		// The start of the worker that was given the task would know of it, had it
		// ever run there.
		m.unknown = answer.Incarnation != m.placement.Incarnation
		m.advance(phaseStopped, 0)
		return
	}
	if answer.Err == nil {
		m.keep(answer.Checkpoint)
		m.advance(answeredPhases[answer.Phase], answer.CheckpointedMs)
		return
	}
	if answer.Kind == Stop {
		m.tries++
		m.retry = now.Add(stopRetry(m.tries))
		return
	}
	m.refused = answer.Err
}

func (m *member) advance(p phase, checkpointedMs int64) {
	if m.phase.ended() || p <= m.phase {
		return
	}
	m.phase = p
	m.checkpointedMs = max(m.checkpointedMs, checkpointedMs)
}

// keep takes a newer checkpoint; a report without one takes none back.
func (m *member) keep(checkpoint string) {
	if checkpoint != "" && !m.phase.ended() {
		m.checkpoint = checkpoint
	}
}

// done tells a task whose good end is in the log.
func done(job *controlpb.Job, m *member) bool {
	return slices.Contains(job.DoneTasks, m.placement.Task)
}

// finish records the members that ended well and are not in the log as such.
func (s *step) finish(job *controlpb.Job, r *run) {
	together := job.EndsTogether && r.anyCompleted()
	for _, m := range r.members {
		if (m.phase == phaseCompleted || together) && !done(job, m) {
			finished := &controlpb.FinishedTask{Job: job.Id, Epoch: job.Epoch, Task: m.placement.Task}
			s.batch().Finished = append(s.batch().Finished, finished)
		}
	}
}

// failedMember is one that failed by itself or its worker's fault; nil where none
// did. It goes before the members that their workers ended because of it.
func (r *run) failedMember(job *controlpb.Job) *member {
	for _, m := range r.members {
		if m.phase == phaseFailed && !done(job, m) {
			return m
		}
	}
	return nil
}

// anyCompleted tells whether a member has ended well.
func (r *run) anyCompleted() bool {
	return slices.ContainsFunc(r.members, func(m *member) bool { return m.phase == phaseCompleted })
}

// stopped tells a member that surely runs no more: by its own word, now or
// earlier in the log.
func stopped(job *controlpb.Job, m *member) bool {
	return m.phase.ended() || done(job, m) || store.StopAcknowledged(job, m.placement.Task)
}
