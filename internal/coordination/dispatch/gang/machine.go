// Package gang implements gang scheduling of a job's tasks: all members of a gang run,
// or none does. It is a deterministic state machine without I/O. Its inputs are the
// committed control state, the workers' announcements, the answers to commands and the
// time; its outputs are commands to workers and state changes to commit.
//
// Its memory may be lost at any time. Everything that safety depends on is in the log
// (state, epoch, acknowledged stops) or at the workers (leases, newest epochs). All
// that a new leader keeps from before its term is the time at which it learned of each
// stop from the log: see Machine.NextTerm.
package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Kind is the kind of a command to a worker.
type Kind int

// Kinds of commands. The zero value means no command.
const (
	Reserve Kind = iota + 1
	Start
	Stop
)

// Command is sent once to one worker. Each command must be followed by an Answer, also
// if it could not be sent.
type Command struct {
	Kind    Kind
	Worker  string
	Address string
	// DataCentre is that of the worker.
	DataCentre string
	Task       api.TaskCommand
}

// Answer is the outcome of a command. Err is nil if the worker carried it out.
type Answer struct {
	Kind           Kind
	Ref            api.TaskRef
	Phase          string
	Incarnation    int64
	CheckpointedMs int64
	Checkpoint     string
	Err            *failure.Error
}

// Input is the input of one step.
type Input struct {
	Now time.Time
	// Jobs are the active jobs of the latest committed state.
	Jobs []*controlpb.Job
	// Workers are the workers whose announcement has not expired.
	Workers []*peerpb.Upstream
	// Answers are those received since the previous step.
	Answers []Answer
	// Quarantined reports whether a worker is in quarantine as unhealthy.
	Quarantined func(worker string) bool
	// Evacuated reports whether an evacuation of the data centre is in force; nil for none.
	Evacuated func(dataCentre string) bool
	// LeaseExpired reports whether a member of a job whose end is not known can no longer be
	// running where it is placed. It is nil if workers renew their leases by announcements;
	// Config.StopWait bounds those leases.
	LeaseExpired func(job *controlpb.Job, placement *controlpb.Placement) bool
	// StartUnderWay reports whether a start of a member may still be carried out late, by a later incarnation of its
	// worker, where the job is being stopped since a time, zero if it isn't; nil if none can.
	StartUnderWay func(job *controlpb.Job, placement *controlpb.Placement, stoppedSince time.Time) bool
	// Unheard reports whether a worker has not told this leader yet what runs there; nil if workers
	// announce that.
	Unheard func(worker string) bool
	// Crashes are the crashes of workers that the log does not record yet.
	Crashes []*controlpb.WorkerCrash
	// GivenUp returns why a job is given up for crashing its workers, or ""; nil for none.
	GivenUp func(job string) string
}

// Output is the result of a step. Commands may be sent immediately; Completed and Batch are to be
// committed in one log entry each, in this order. Batch is nil if there is nothing to commit.
type Output struct {
	Commands []Command
	// Completed places jobs that wait although a run which was given up has done their work. A later
	// step records the end; nothing is started.
	Completed []*controlpb.Assignment
	Batch     *controlpb.BatchMove
	// SlowStops are to be logged.
	SlowStops []SlowStop
}

// Empty reports whether there is nothing to commit.
func (o *Output) Empty() bool { return o == nil || o.Batch == nil && len(o.Completed) == 0 }

// Machine drives the gangs of all active jobs of the control state.
type Machine struct {
	config       Config
	leadingSince time.Time
	lastScan     time.Time
	stepCount    uint64
	runs         map[string]*run
	workers      map[string]*worker
	stops        stops
	// completed holds, by job, the newest report of a completed task. Its run may have been given up since.
	completed map[string]completedRun
	// failed holds, by job and epoch, the reported failures that the log may not count yet.
	failed map[string]map[uint64]bool
}

// worker holds the newest announcement of a live worker.
type worker struct {
	upstream *peerpb.Upstream
	// receivedAt is when the announcement was received. It is zero for an announcement
	// that was already in the registry when this machine was created: its age is
	// unknown.
	receivedAt time.Time
	// lastStep is the number of the last step whose input had the announcement.
	lastStep uint64
}

// newerThan reports whether announcement a of a worker is newer than b, by incarnation
// and then by version.
func newerThan(a, b *peerpb.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// New returns a machine without any recorded state.
func New(config Config) *Machine {
	return &Machine{config: config, runs: map[string]*run{}, workers: map[string]*worker{}, stops: stops{}, completed: map[string]completedRun{}, failed: map[string]map[uint64]bool{}}
}

// NextTerm returns the machine for a new leadership term of the same instance. It keeps
// only when this instance learned of each stop.
func (m *Machine) NextTerm() *Machine {
	next := New(m.config)
	next.stops = m.stops
	return next
}

// ObserveStops records which of the active jobs of the latest committed state are being
// stopped. It is called while this instance is not the leader.
func (m *Machine) ObserveStops(now time.Time, jobs []*controlpb.Job) {
	m.stops = m.stops.observe(now, jobs)
}

// step is the context of one call of Step. scan is set if members are checked for
// absence and stalls in this step.
type step struct {
	*Machine
	in   *Input
	out  *Output
	scan bool
}

// Step processes the input and returns the commands and state changes that follow.
func (m *Machine) Step(in *Input) *Output {
	s := &step{Machine: m, in: in, out: &Output{}}
	s.begin()
	s.ObserveStops(in.Now, in.Jobs)
	s.readAnnouncements()
	s.applyAnswers()
	tracked := make(map[string]*run, len(in.Jobs))
	s.forgetCompleted()
	s.forgetFailures()
	for _, job := range in.Jobs {
		s.countLateFailures(job)
		if len(job.Placements) == 0 {
			if !s.placeCompleted(job) && !s.outOfAttempts(job) {
				s.giveUp(job)
			}
			continue
		}
		r := s.track(job)
		tracked[job.Id] = r
		if !s.completeLate(job, r) {
			s.advanceJob(job, r)
		}
	}
	m.runs = tracked
	if len(in.Crashes) > 0 {
		s.batch().Crashes = s.namedCrashes()
	}
	return s.out
}

// begin records the start of the leadership term and decides whether this step scans
// the members for absence and stalls, which is done once per announcement interval.
func (s *step) begin() {
	s.stepCount++
	if s.leadingSince.IsZero() {
		s.leadingSince = s.in.Now
	}
	if s.in.Now.Sub(s.lastScan) >= s.config.AnnounceEvery {
		s.lastScan = s.in.Now
		s.scan = true
	}
}

// readAnnouncements updates the known workers. Only announcements that changed since the
// previous step are read: of 19,000 tasks, about a tenth are announced in each step.
func (s *step) readAnnouncements() {
	for _, upstream := range s.in.Workers {
		known := s.workers[upstream.Id]
		if known == nil {
			known = &worker{}
			s.workers[upstream.Id] = known
		}
		known.lastStep = s.stepCount
		if known.upstream != upstream {
			s.readAnnouncement(known, upstream)
		}
	}
	if len(s.workers) == len(s.in.Workers) {
		return
	}
	for id, known := range s.workers {
		if known.lastStep != s.stepCount {
			delete(s.workers, id)
		}
	}
}

func (s *step) readAnnouncement(known *worker, upstream *peerpb.Upstream) {
	previous := known.upstream
	known.upstream = upstream
	if previous == nil && s.announcementsComplete() || previous != nil && newerThan(upstream, previous) {
		known.receivedAt = s.in.Now
	}
	s.applyReports(upstream)
}

// canGrantLease reports whether the worker's newest announcement is recent enough for a
// command to grant a lease that counts from it. An instance that is not the leader
// receives no announcements without changes, so the one that it has of an idle worker
// may be older than any lease. The worker would refuse the first commands of a new
// leader, which would count as a failed attempt of the gang; the next announcement
// arrives within one interval. Workers that do not renew leases by announcements need
// no recent one.
func (s *step) canGrantLease(w *worker) bool {
	return s.in.LeaseExpired != nil || s.announcedWithinLease(w, s.in.Now)
}

// announcedWithinLease reports whether the worker's newest announcement was received in this
// leadership term, less than one lease duration ago.
func (m *Machine) announcedWithinLease(w *worker, now time.Time) bool {
	return !w.receivedAt.IsZero() && now.Sub(w.receivedAt) < m.config.Lease
}

// AnnouncedWithinLease reports whether an announcement of the worker was received in this
// leadership term, less than one lease duration ago. It is meant for workers that renew
// their leases by announcements.
func (m *Machine) AnnouncedWithinLease(id string, now time.Time) bool {
	known := m.workers[id]
	return known != nil && m.announcedWithinLease(known, now)
}

func (s *step) applyReports(upstream *peerpb.Upstream) {
	for _, report := range upstream.Tasks {
		s.noteFailure(report)
		if report.Phase == peerpb.TaskPhase_TASK_PHASE_COMPLETED {
			s.completed[report.Job] = completedRun{report.Epoch, upstream.Id, upstream.Incarnation}
		}
		r := s.runs[report.Job]
		if r == nil || r.epoch != report.Epoch {
			continue
		}
		m := r.member(report.Task)
		if m != nil && m.placement.Worker == upstream.Id && m.applyReport(report, upstream, s.in.Now) {
			r.changed = true
		}
	}
}

// reportOf returns the report on a task in the worker's announcement, or nil.
func (w *worker) reportOf(job string, epoch uint64, task uint32) *peerpb.TaskReport {
	for _, report := range w.upstream.Tasks {
		if report.Task == task && report.Epoch == epoch && report.Job == job {
			return report
		}
	}
	return nil
}

func (s *step) applyAnswers() {
	for _, answer := range s.in.Answers {
		r := s.runs[answer.Ref.Job]
		if r == nil || r.epoch != answer.Ref.Epoch {
			continue
		}
		m := r.member(answer.Ref.Task)
		if m == nil || m.awaiting != answer.Kind {
			continue
		}
		r.changed = true
		if s.arrivedLate(r, &answer) {
			m.awaiting, m.minAnnounced = 0, m.announced+1
			continue
		}
		m.applyAnswer(&answer, s.in.Now)
	}
}

// arrivedLate reports whether a reserve or start may have been refused because the lease
// that it grants had expired on the way: the lease counts from the announcement that the
// command names. The command had no effect, and is sent again with the worker's next
// announcement. If the attempt failed instead, a busy machine that delays commands would
// keep a gang from starting for good, and each time discard the work of the gangs that
// were preempted for it. A start is repeated for announcementTTL only, since other members
// may run already.
func (s *step) arrivedLate(r *run, answer *Answer) bool {
	if s.in.LeaseExpired != nil || answer.Err == nil || answer.Err.Code != failure.StaleEpoch {
		return false
	}
	return answer.Kind == Reserve || answer.Kind == Start && s.in.Now.Sub(r.firstStart) < s.config.announcementTTL()
}

func (s *step) advanceJob(job *controlpb.Job, r *run) {
	switch job.State {
	case controlpb.JobState_JOB_STATE_STARTING:
		s.starting(job, r)
	case controlpb.JobState_JOB_STATE_RUNNING:
		s.running(job, r)
	case controlpb.JobState_JOB_STATE_STOPPING:
		s.stopping(job, r)
	}
}

// giveUp parks a waiting job that crashes its workers.
func (s *step) giveUp(job *controlpb.Job) {
	if s.in.GivenUp == nil || job.State != controlpb.JobState_JOB_STATE_WAITING {
		return
	}
	reason := s.in.GivenUp(job.Id)
	if reason == "" {
		return
	}
	s.move(&controlpb.MoveJob{
		Job: job.Id, Epoch: job.Epoch, State: controlpb.JobState_JOB_STATE_PARKED,
		Failure: &controlpb.TaskFailure{Code: string(failure.CrashesWorkers), Detail: reason, TimeMs: s.in.Now.UnixMilli()},
	})
}

func (s *step) batch() *controlpb.BatchMove {
	if s.out.Batch == nil {
		s.out.Batch = &controlpb.BatchMove{}
	}
	return s.out.Batch
}

func (s *step) move(move *controlpb.MoveJob) {
	s.batch().Moves = append(s.batch().Moves, move)
}

func (s *step) send(kind Kind, job *controlpb.Job, m *member, w *worker) {
	m.awaiting, m.announced = kind, w.upstream.Version
	m.startSent = m.startSent || kind == Start
	s.out.Commands = append(s.out.Commands, Command{
		Kind:       kind,
		Worker:     w.upstream.Id,
		Address:    w.upstream.Address,
		DataCentre: w.upstream.DataCentre,
		Task: api.TaskCommand{
			TaskRef:        api.TaskRef{Job: job.Id, Task: m.placement.Task, Epoch: job.Epoch},
			Incarnation:    m.placement.Incarnation,
			Announced:      w.upstream.Version,
			Accelerators:   m.placement.Accelerators,
			Cores:          wholeCores(job),
			MemoryMB:       job.MemoryMb,
			RunTimeMs:      job.RunTimeMs,
			CheckpointedMs: job.CheckpointedMs,
			LeaseMs:        s.config.Lease.Milliseconds(),
			Checkpoint:     job.Checkpointable,
		},
	})
}

// wholeCores returns the CPU cores that a task may use, rounded up: these workers
// account for whole cores only.
func wholeCores(job *controlpb.Job) uint32 {
	const milliPerCore = 1000
	return job.Cores + (job.CoresMilli+milliPerCore-1)/milliPerCore
}
