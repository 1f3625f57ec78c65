// Package dispatch carries out the plans: it reserves and starts gangs, stops
// them, and records what became of them. It runs on the leader. The decisions
// are in package gang; here are the sockets, the log and the clock around them.
package dispatch

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// maxInFlight bounds the commands on their way: two starts of the largest gang
	// at once, and few enough that their answers are taken in promptly.
	maxInFlight = 256
	// proposeTimeout keeps a log without a quorum from holding the controller.
	proposeTimeout = 2 * time.Second
)

var (
	commandsSent   = expvar.NewInt("dispatch_commands")
	commandsFailed = expvar.NewInt("dispatch_commands_failed")
	movesProposed  = expvar.NewInt("dispatch_moves")
	batchesLost    = expvar.NewInt("dispatch_batches_uncommitted")
)

// Control is the replicated log as dispatch uses it.
type Control interface {
	State() *store.State
	// Fresh fails when this instance's leadership was not confirmed within the
	// freshness bound.
	Fresh() error
	Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error)
}

// Workers sends commands to workers.
type Workers interface {
	Command(ctx context.Context, address, path string, command *api.TaskCommand) (*api.TaskAnswer, error)
}

// Registry knows where workers are.
type Registry interface {
	Get(id string) (*peerpb.Upstream, bool)
	Live(kind peerpb.UpstreamKind) []*peerpb.Upstream
}

// Config of dispatch.
type Config struct {
	Gang       gang.Config
	Quarantine quarantine.Config
	// LeaseOver is gang.Input's; nil where workers renew leases themselves.
	LeaseOver func(worker string) bool
	// MayLead is false for an instance without the log, which notes nothing while others
	// lead.
	MayLead bool
	// Speeds gives what is known of the workers' speeds; nil where nothing is.
	Speeds func() map[string]float64
	// Wakeups is a channel of one that others fill when there is news for dispatch;
	// nil where the answers to its commands are all there is.
	Wakeups chan struct{}
	// Term numbers the leadership of this instance; nil where decisions are not
	// bound to it.
	Term func() uint64
	// Logger gets a line for each decision on a job; nil for none.
	Logger *logrus.Logger
	Now    func() time.Time
}

// Dispatcher brings the workers in line with the control state.
type Dispatcher struct {
	config  Config
	control Control
	workers Workers
	machine *gang.Machine
	// term is the leadership that the machine's beliefs belong to.
	term    uint64
	limit   chan struct{}
	wake    chan struct{}
	mu      sync.Mutex
	answers []gang.Answer
}

// New makes a dispatcher.
func New(config Config, control Control, workers Workers) *Dispatcher {
	d := &Dispatcher{
		config:  config,
		control: control,
		workers: workers,
		machine: gang.New(config.Gang),
		limit:   make(chan struct{}, maxInFlight),
		wake:    config.Wakeups,
	}
	if d.wake == nil {
		d.wake = make(chan struct{}, 1)
	}
	return d
}

// Wake is ready when answers have come that Reconcile should look at.
func (d *Dispatcher) Wake() <-chan struct{} { return d.wake }

// leadership is the term of this instance, or 0 where terms do not matter.
func (d *Dispatcher) leadership() uint64 {
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

// Reset begins a new term: what other leaders did in the meantime is seen from the log
// and the workers' reports.
func (d *Dispatcher) Reset(term uint64) {
	d.term = term
	d.machine = d.machine.NextTerm()
	d.takeAnswers()
}

// Follow notes what the log says while another instance leads. Where a lease is known to
// be over by other means than a wait there is nothing to note, nor where this instance
// never leads: an entry instance has a fifth of a core, and goes through no jobs for it.
func (d *Dispatcher) Follow() {
	if d.config.MayLead && d.config.LeaseOver == nil {
		d.machine.Follow(d.config.Now(), d.control.State().ActiveJobs())
	}
}

// Reconcile takes one step for all active jobs: it sends commands without waiting
// for their answers, and commits all moves in one entry. It is called by one
// goroutine only. The workers' announcements must have been read before the call:
// leadership is looked at after them, and gang.StopWait counts on a command that
// names an announcement no newer than a moment at which this instance surely led.
func (d *Dispatcher) Reconcile(ctx context.Context, workers []*peerpb.Upstream) {
	if d.control.Fresh() != nil {
		return
	}
	state := d.control.State()
	output := d.machine.Step(&gang.Input{
		Now:         d.config.Now(),
		Jobs:        state.ActiveJobs(),
		Workers:     workers,
		Answers:     d.takeAnswers(),
		Quarantined: func(worker string) bool { return d.verdict(state, worker) >= quarantine.Quarantined },
		LeaseOver:   d.config.LeaseOver,
	})
	for _, command := range output.Commands {
		go d.send(ctx, command)
	}
	d.commit(ctx, output.Batch)
}

func (d *Dispatcher) verdict(state *store.State, worker string) quarantine.Verdict {
	return quarantine.Of(d.config.Quarantine, state.Health(worker), later(d.config.Now(), state.Time()))
}

// later keeps a leader whose clock is behind from seeing failures in its future.
func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func (d *Dispatcher) takeAnswers() []gang.Answer {
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

// send carries one command to its worker and always leaves an answer.
func (d *Dispatcher) send(ctx context.Context, command gang.Command) {
	d.limit <- struct{}{}
	defer func() { <-d.limit }()
	ctx, cancel := context.WithTimeout(ctx, d.config.Gang.CommandTimeout)
	defer cancel()
	commandsSent.Add(1)
	answer := gang.Answer{Kind: command.Kind, Ref: command.Task.TaskRef}
	reply, err := d.workers.Command(ctx, command.Address, paths[command.Kind], &command.Task)
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

// commit proposes the moves. If that fails, the next step makes them again from
// the state as it is then; epochs and states refuse what came twice.
func (d *Dispatcher) commit(ctx context.Context, batch *controlpb.BatchMove) {
	if batch == nil {
		return
	}
	movesProposed.Add(int64(len(batch.Moves)))
	d.logMoves(batch)
	ctx, cancel := context.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	command := &controlpb.Command{DecidedIn: d.term, Op: &controlpb.Command_BatchMove{BatchMove: batch}}
	result, err := d.control.Propose(ctx, command)
	d.logRefusal(result, err)
	if err != nil {
		batchesLost.Add(1)
	}
}
