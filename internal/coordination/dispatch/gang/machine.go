// Package gang decides what to command and what to record so that a job's gang
// runs as a whole or not at all. It is pure: states, announcements and answers
// in, commands and moves out, with time as an argument.
//
// What it remembers can be lost at any moment. All that matters for safety is in
// the log (state, epoch, acknowledged stops) or at the workers (leases, newest
// epochs). A new leader keeps of the terms before only since when it has known of
// each stop, which it learns by following the log: see Machine.NextTerm.
package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Kind of a command to a worker.
type Kind int

// The kinds.
const (
	Reserve Kind = iota + 1
	Start
	Stop
)

// Command is to be sent to one worker, once; its Answer is expected in any case.
type Command struct {
	Kind    Kind
	Worker  string
	Address string
	Task    api.TaskCommand
}

// Answer is what became of a command; Err is nil where the worker obeyed.
type Answer struct {
	Kind           Kind
	Ref            api.TaskRef
	Phase          string
	Incarnation    int64
	CheckpointedMs int64
	Checkpoint     string
	Err            *failure.Error
}

// Input is what one step decides from.
type Input struct {
	Now time.Time
	// Jobs are the active jobs of the newest committed state.
	Jobs []*controlpb.Job
	// Workers are those whose announcement stands.
	Workers []*peerpb.Upstream
	// Answers came since the last step.
	Answers []Answer
	// Quarantined tells the workers that are not healthy.
	Quarantined func(worker string) bool
	// LeaseOver tells that nothing can still run on a worker that does not answer.
	// It is nil where workers renew leases by their announcements: then StopWait
	// bounds them.
	LeaseOver func(worker string) bool
}

// Output is what a step wants done: commands may be sent at once, Batch is to be
// committed in one entry. An empty batch is nil.
type Output struct {
	Commands []Command
	Batch    *controlpb.BatchMove
}

// Machine drives every active job of the control state.
type Machine struct {
	config  Config
	leading time.Time
	scanned time.Time
	steps   uint64
	runs    map[string]*run
	workers map[string]*worker
	stops   stops
}

// worker is a live worker's newest announcement.
type worker struct {
	upstream *peerpb.Upstream
	// heard is when the announcement came; zero where it stood already when this
	// machine began, and may be of any age.
	heard time.Time
	// step is the last one in which the announcement stood.
	step uint64
}

// newerThan orders the announcements of one worker by start and version.
func newerThan(a, b *peerpb.Upstream) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}
	return a.Version > b.Version
}

// New makes a machine of an instance that knows nothing yet.
func New(config Config) *Machine {
	return &Machine{config: config, runs: map[string]*run{}, workers: map[string]*worker{}, stops: stops{}}
}

// NextTerm makes the machine for a new term of leadership of the same instance.
func (m *Machine) NextTerm() *Machine {
	next := New(m.config)
	next.stops = m.stops
	return next
}

// Follow takes note of the active jobs of the newest committed state while this
// instance does not lead.
func (m *Machine) Follow(now time.Time, jobs []*controlpb.Job) { m.stops = m.stops.upTo(now, jobs) }

// step carries one Step's input and output through the machine.
type step struct {
	*Machine
	in   *Input
	out  *Output
	scan bool
}

// Step decides once for all that is known.
func (m *Machine) Step(in *Input) *Output {
	s := &step{Machine: m, in: in, out: &Output{}}
	s.begin()
	if in.LeaseOver == nil {
		s.Follow(in.Now, in.Jobs)
	}
	s.hearWorkers()
	s.hearAnswers()
	tracked := make(map[string]*run, len(in.Jobs))
	for _, job := range in.Jobs {
		if len(job.Placements) == 0 {
			continue
		}
		r := s.track(job)
		tracked[job.Id] = r
		s.drive(job, r)
	}
	m.runs = tracked
	return s.out
}

// begin notes the start of leadership, and whether members are looked over for
// absence in this step: once an announcement interval is enough for that.
func (s *step) begin() {
	s.steps++
	if s.leading.IsZero() {
		s.leading = s.in.Now
	}
	if s.in.Now.Sub(s.scanned) >= s.config.AnnounceEvery {
		s.scanned = s.in.Now
		s.scan = true
	}
}

// hearWorkers takes in announcements. Only those that are new are read: a leader
// with 19,000 tasks hears a tenth of them each step.
func (s *step) hearWorkers() {
	for _, upstream := range s.in.Workers {
		known := s.workers[upstream.Id]
		if known == nil {
			known = &worker{}
			s.workers[upstream.Id] = known
		}
		known.step = s.steps
		if known.upstream != upstream {
			s.hearWorker(known, upstream)
		}
	}
	if len(s.workers) == len(s.in.Workers) {
		return
	}
	for id, known := range s.workers {
		if known.step != s.steps {
			delete(s.workers, id)
		}
	}
}

func (s *step) hearWorker(known *worker, upstream *peerpb.Upstream) {
	before := known.upstream
	known.upstream = upstream
	if before == nil && s.knowsWorkers() || before != nil && newerThan(upstream, before) {
		known.heard = s.in.Now
	}
	s.hearReports(upstream)
}

// mayLease tells whether the worker's newest announcement is young enough for a
// command to give a lease from it. While an instance does not lead, it is not told
// of announcements that say nothing new: the one that it holds of an idle worker
// may be older than any lease. Its worker would refuse the first commands of a new
// leader, and the gang would count a failed attempt; the next announcement comes
// within an interval. Workers without leases of their own need none.
func (s *step) mayLease(w *worker) bool {
	return s.in.LeaseOver != nil || s.lately(w, s.in.Now)
}

// lately tells whether the worker's newest announcement came in this leadership, less
// than a lease ago.
func (m *Machine) lately(w *worker, now time.Time) bool {
	return !w.heard.IsZero() && now.Sub(w.heard) < m.config.Lease
}

// Heard tells whether a worker that renews its leases by announcements has been heard in
// this leadership, lately.
func (m *Machine) Heard(id string, now time.Time) bool {
	known := m.workers[id]
	return known != nil && m.lately(known, now)
}

func (s *step) hearReports(upstream *peerpb.Upstream) {
	for _, report := range upstream.Tasks {
		r := s.runs[report.Job]
		if r == nil || r.epoch != report.Epoch {
			continue
		}
		m := r.member(report.Task)
		if m != nil && m.placement.Worker == upstream.Id && m.hear(report, upstream, s.in.Now) {
			r.news = true
		}
	}
}

// reportOf finds a task in its worker's announcement; nil where it has none.
func (w *worker) reportOf(job string, epoch uint64, task uint32) *peerpb.TaskReport {
	for _, report := range w.upstream.Tasks {
		if report.Task == task && report.Epoch == epoch && report.Job == job {
			return report
		}
	}
	return nil
}

func (s *step) hearAnswers() {
	for _, answer := range s.in.Answers {
		r := s.runs[answer.Ref.Job]
		if r == nil || r.epoch != answer.Ref.Epoch {
			continue
		}
		if m := r.member(answer.Ref.Task); m != nil && m.awaiting == answer.Kind {
			m.take(&answer, s.in.Now)
			r.news = true
		}
	}
}

func (s *step) drive(job *controlpb.Job, r *run) {
	switch job.State {
	case controlpb.JobState_JOB_STATE_STARTING:
		s.starting(job, r)
	case controlpb.JobState_JOB_STATE_RUNNING:
		s.running(job, r)
	case controlpb.JobState_JOB_STATE_STOPPING:
		s.stopping(job, r)
	}
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
	m.awaiting = kind
	s.out.Commands = append(s.out.Commands, Command{
		Kind:    kind,
		Worker:  w.upstream.Id,
		Address: w.upstream.Address,
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

// wholeCores is what a task may use, rounded up: these workers count whole cores.
func wholeCores(job *controlpb.Job) uint32 {
	const milliPerCore = 1000
	return job.Cores + (job.CoresMilli+milliPerCore-1)/milliPerCore
}
