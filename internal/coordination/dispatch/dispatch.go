// Package dispatch executes scheduling plans on the leader: it reserves, starts and
// stops gangs and records the outcome of their tasks. The decisions are made by the
// state machine of package gang; this package does its network I/O, commits its moves
// to the replicated log and supplies the clock.
package dispatch

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/evacuation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// maxCommandsInFlight limits concurrent commands to workers: enough to start two
	// gangs of the largest size at once, and few enough to process their answers promptly.
	maxCommandsInFlight = 256
	// proposeTimeout limits how long a log without a quorum blocks the controller.
	proposeTimeout = 2 * time.Second
)

var (
	commandsSent       = expvar.NewInt("dispatch_commands")
	commandsFailed     = expvar.NewInt("dispatch_commands_failed")
	movesProposed      = expvar.NewInt("dispatch_moves")
	batchesUncommitted = expvar.NewInt("dispatch_batches_uncommitted")
)

// Control is the part of the replicated log that dispatch uses.
type Control interface {
	State() *store.State
	// CheckFresh returns an error if this instance's leadership was not confirmed within
	// the freshness bound.
	CheckFresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Workers sends commands to workers and returns their answers.
type Workers interface {
	Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error)
}

// Registry looks up upstreams by id and lists the live ones of a kind.
type Registry interface {
	Get(id string) (*peerpb.Upstream, bool)
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
}

// Config configures a Dispatcher.
type Config struct {
	Gang       gang.Config
	Quarantine quarantine.Config
	// MaxStand is how long work may stand that only workers can take which are kept out of use
	// because of their failures; 0 for no limit.
	MaxStand time.Duration
	// LeaseExpired is passed to gang.Input.LeaseExpired; nil if workers renew their leases
	// by announcements.
	LeaseExpired func(job *controlpb.Job, placement *controlpb.Placement) bool
	// StartUnderWay is passed to gang.Input.StartUnderWay; nil if LeaseExpired is.
	StartUnderWay func(job *controlpb.Job, placement *controlpb.Placement, stoppedSince time.Time) bool
	// Unheard is passed to gang.Input.Unheard; nil if LeaseExpired is.
	Unheard func(worker string) bool
	// Suspensions lists the leases that are not renewed, if the state has another list, and
	// SuspensionsCommitted says that the log has one; nil if LeaseExpired is.
	Suspensions          func(state *store.State) *controlpb.LeaseSuspensions
	SuspensionsCommitted func(term uint64, list *controlpb.LeaseSuspensions)
	// DescribeLease describes, for the log, what is known of the lease of a placed member; nil
	// if LeaseExpired is.
	DescribeLease func(job *controlpb.Job, placement *controlpb.Placement) logrus.Fields
	// SilentFor returns for how long a worker has left requests unanswered, or this leader has not heard of it; nil if
	// LeaseExpired is.
	SilentFor func(worker string) time.Duration
	// Crashes returns the known crashes of workers that the state does not record; nil if
	// they are found only by announcements.
	Crashes func(state *store.State) []*controlpb.WorkerCrash
	// MayLead is false for an instance that has no log replica and never leads; it does
	// not track stops while other instances lead.
	MayLead bool
	// Speeds returns the known relative speeds by worker id; nil if none are measured.
	Speeds func() map[string]float64
	// Evacuation is what the settings say about evacuations of data centres.
	Evacuation evacuation.Config
	// Slowdowns returns the pairs of classes that interfere; nil if none are estimated.
	Slowdowns func() map[scheduling.ClassPair]float64
	// Features are the optional parts of scheduling that the settings switch on.
	Features scheduling.Features
	// ExpectedEndIfUneven switches Features.ExpectedEnd on while the speeds of the workers
	// differ widely.
	ExpectedEndIfUneven bool
	// Wakeups is a channel with a buffer of one, to which other components send when
	// Reconcile should run; nil if only answers to commands wake the dispatcher.
	Wakeups chan struct{}
	// Term returns the term in which this instance leads; nil if decisions are not
	// tied to a term.
	Term func() uint64
	// Logger receives a line for each decision on a job; nil disables logging.
	Logger *logrus.Logger
	Now    func() time.Time
}

// Dispatcher reconciles the tasks on the workers with the control state.
type Dispatcher struct {
	config  Config
	control Control
	workers Workers
	machine *gang.Machine
	// term is the leader's term to which the machine's observations belong.
	term     uint64
	inFlight chan struct{}
	wake     chan struct{}
	mu       sync.Mutex
	answers  []gang.Answer
	restarts restarts
	judge    judge
	// records are the workers' failures that outlast a success.
	records quarantine.Records
	// silentRuns are the running jobs whose workers are all silent.
	silentRuns silentRuns
}

// New returns a dispatcher that has observed no workers yet.
func New(config Config, control Control, workers Workers) *Dispatcher {
	d := &Dispatcher{
		config:   config,
		control:  control,
		workers:  workers,
		machine:  gang.New(config.Gang),
		inFlight: make(chan struct{}, maxCommandsInFlight),
		wake:     config.Wakeups,
	}
	if d.wake == nil {
		d.wake = make(chan struct{}, 1)
	}
	return d
}

// Wake returns a channel that becomes readable when answers are ready for Reconcile.
func (d *Dispatcher) Wake() <-chan struct{} { return d.wake }

// currentTerm returns the term of this instance, or 0 if decisions are not tied to one.
func (d *Dispatcher) currentTerm() uint64 {
	if d.config.Term == nil {
		return 0
	}
	return d.config.Term()
}

func (d *Dispatcher) speeds() map[string]float64 {
	if d.config.Speeds == nil {
		return nil
	}
	return d.config.Speeds()
}

func (d *Dispatcher) slowdowns() map[scheduling.ClassPair]float64 {
	if d.config.Slowdowns == nil || !d.config.Features.Interference {
		return nil
	}
	return d.config.Slowdowns()
}

// Reset starts a new term and discards unprocessed answers. What other leaders did in
// the meantime is observed from the log and the workers' reports.
func (d *Dispatcher) Reset(term uint64) {
	d.term = term
	d.machine = d.machine.NextTerm()
	d.restarts = restarts{}
	d.records = quarantine.Records{}
	d.silentRuns = silentRuns{}
	d.drainAnswers()
}

// ObserveStops records stops from the log while another instance leads, so that this
// instance doesn't restart their waits when it becomes the leader. It does nothing if
// this instance never leads: an entry instance has a fifth of a core and should not spend it on scanning jobs.
func (d *Dispatcher) ObserveStops() {
	if d.config.MayLead {
		d.machine.ObserveStops(d.config.Now(), d.control.State().ActiveJobs())
	}
}

// Reconcile runs one step for all active jobs: it sends commands without waiting for
// their answers and commits all moves in one log entry. It must be called by one
// goroutine only. The caller must read the workers' announcements before the call,
// because leadership is checked after them: gang.StopWait assumes that the announcement
// named by a command is not newer than a time at which this instance certainly led.
func (d *Dispatcher) Reconcile(ctx context.Context, workers []*peerpb.Upstream) {
	d.commit(ctx, d.advance(ctx, workers))
}

// advance is Reconcile without the commit: it returns the moves, if any. Moves that
// are not committed are derived again by a later step.
func (d *Dispatcher) advance(ctx context.Context, workers []*peerpb.Upstream) *gang.Output {
	if d.control.CheckFresh() != nil {
		return nil
	}
	state := d.control.State()
	// An answer may result from a crash, which must not be recorded after it.
	answers := d.drainAnswers()
	unrecorded := d.unrecordedCrashes(state, workers)
	assessed := d.judge.assess(state)
	output := d.machine.Step(&gang.Input{
		Now:           d.config.Now(),
		Jobs:          state.ActiveJobs(),
		Workers:       workers,
		Answers:       answers,
		Crashes:       unrecorded,
		GivenUp:       func(job string) string { return givenUp(assessed, job) },
		Quarantined:   func(worker string) bool { return d.verdict(state, worker) >= quarantine.Quarantined },
		Evacuated:     state.Evacuated,
		LeaseExpired:  d.config.LeaseExpired,
		Unheard:       d.config.Unheard,
		StartUnderWay: d.config.StartUnderWay,
	})
	for _, command := range output.Commands {
		go d.send(ctx, command)
	}
	d.logSlowStops(state, output.SlowStops)
	d.logSilentRuns(state)
	d.suspendLeases(state, output)
	return output
}

// suspendLeases adds the leases that are not renewed to what a step commits.
func (d *Dispatcher) suspendLeases(state *store.State, output *gang.Output) {
	if d.config.Suspensions == nil {
		return
	}
	if list := d.config.Suspensions(state); list != nil {
		if output.Batch == nil {
			output.Batch = &controlpb.BatchMove{}
		}
		output.Batch.Suspensions = list
	}
}

func (d *Dispatcher) verdict(state *store.State, worker string) quarantine.Verdict {
	return quarantine.Evaluate(d.config.Quarantine, bySource(state, state.Health(worker)), latest(d.config.Now(), state.Time()))
}

// latest returns the later of two times, so that recorded failures are never in the
// future of a leader whose clock is behind.
func latest(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (d *Dispatcher) drainAnswers() []gang.Answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	answers := d.answers
	d.answers = nil
	return answers
}

var paths = map[gang.Kind]string{
	gang.Reserve: api.PathTaskReserve,
	gang.Start:   api.PathTaskStart,
	gang.Stop:    api.PathTaskStop,
}

// send sends one command to its worker and always records an answer; a failed call is
// recorded as an answer with an error.
func (d *Dispatcher) send(ctx context.Context, command gang.Command) {
	d.inFlight <- struct{}{}
	defer func() { <-d.inFlight }()
	ctx, cancel := context.WithTimeout(ctx, d.config.Gang.CommandTimeout)
	defer cancel()
	commandsSent.Add(1)
	answer := gang.Answer{Kind: command.Kind, Ref: command.Task.TaskRef}
	reply, err := d.execute(ctx, &command)
	if err != nil {
		commandsFailed.Add(1)
		answer.Err = failure.From(err)
	} else {
		answer.Phase = reply.Phase
		answer.Incarnation = reply.Incarnation
		answer.CheckpointedMs = reply.CheckpointedMs
		answer.Checkpoint = reply.Checkpoint
	}
	d.mu.Lock()
	d.answers = append(d.answers, answer)
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// commit proposes the moves. If that fails, the next step derives them again from the
// state at that time; checks of epoch and job state reject duplicate moves.
func (d *Dispatcher) commit(ctx context.Context, output *gang.Output) {
	if output.Empty() {
		return
	}
	d.placeCompleted(ctx, output.Completed)
	if output.Batch != nil {
		d.commitMoves(ctx, output.Batch)
	}
}

// placeCompleted proposes the placements of jobs whose work has been done by a run that was given up.
func (d *Dispatcher) placeCompleted(ctx context.Context, completed []*controlpb.Assignment) {
	if len(completed) == 0 {
		return
	}
	d.logCompletedLate(completed)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	plan := &controlpb.CommitPlan{Assignments: completed}
	result, err := d.control.Propose(ctx, &controlpb.Command{DecidedIn: d.term, Op: &controlpb.Command_Plan{Plan: plan}})
	d.logFailedProposal(result, err)
}

// commitMoves proposes the moves of one step.
func (d *Dispatcher) commitMoves(ctx context.Context, batch *controlpb.BatchMove) {
	movesProposed.Add(int64(len(batch.Moves)))
	countEvacuated(batch)
	d.logCrashes(batch)
	d.logMoves(batch)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	completed := completedOn(d.control.State(), batch)
	command := &controlpb.Command{DecidedIn: d.term, Op: &controlpb.Command_BatchMove{BatchMove: batch}}
	result, err := d.control.Propose(ctx, command)
	d.logFailedProposal(result, err)
	if err != nil {
		batchesUncommitted.Add(1)
		return
	}
	if result.GetCode() != "" {
		return
	}
	for _, worker := range completed {
		d.records.Succeeded(worker)
	}
	if batch.Suspensions != nil {
		d.config.SuspensionsCommitted(d.term, batch.Suspensions)
	}
}
