// Package workflows takes callers' workflows into the log and answers what
// became of them.
package workflows

import (
	"context"
	"expvar"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/catalog"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/latency"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// retryAfter is what a refused caller is told to wait: an election is over
	// within it.
	retryAfter = time.Second
	// proposePatience bounds a call whose caller named no deadline.
	proposePatience = 3 * time.Second
	// answerMargin is taken off the caller's deadline, so that the answer arrives
	// before the caller has gone.
	answerMargin = 150 * time.Millisecond
)

var (
	accepted  = expvar.NewInt("workflows_accepted")
	refused   = expvar.NewInt("workflows_refused")
	cancelled = expvar.NewInt("workflows_cancelled")
	// acceptTook is from a submission's arrival to its commit.
	acceptTook = latency.New("workflows_accept")
)

// Call is what every call of a caller carries.
type Call struct {
	Host string
	Path string
	Key  string
	// Patience is how long the caller waits; 0 where it did not say.
	Patience time.Duration
}

// Desk serves the callers of one instance.
type Desk struct {
	log    control.Log
	cache  catalog.Cache
	logger *logrus.Logger
}

// NewDesk makes a desk.
func NewDesk(log control.Log, logger *logrus.Logger) *Desk { return &Desk{log: log, logger: logger} }

// Target is a call's queue and customer; ID is empty for the queue itself.
type Target struct {
	Queue    *controlpb.Queue
	Customer string
	ID       string
	// Revision of the declarations that decided.
	Revision uint64
}

// Ready fails while this instance could only refuse callers: before the first
// declarations, and while it may not know the newest.
func Ready(log control.Log) error {
	if err := log.Fresh(); err != nil {
		return err
	}
	if log.State().Document() == nil {
		return failure.New(failure.NotReady, "no declarations yet")
	}
	return nil
}

// Resolve finds the call's queue and checks its key. It fails with not_ready
// before the first declarations and stale_state while this instance may not know
// the newest.
func (d *Desk) Resolve(call *Call) (*Target, error) {
	if err := Ready(d.log); err != nil {
		return nil, refuse(failure.From(err))
	}
	index := d.cache.Get(d.log.State())
	queue, id, ok := index.Queue(call.Host, call.Path)
	if !ok {
		return nil, failure.New(failure.NotFound, "no queue at %s%s", call.Host, call.Path)
	}
	target := &Target{Queue: queue, ID: id, Revision: index.Revision()}
	if queue.Anonymous {
		return target, nil
	}
	customer, ok := index.Customer(call.Key)
	if !ok {
		return nil, failure.New(failure.Unauthorized, "the key belongs to no customer")
	}
	target.Customer = customer.Name
	return target, nil
}

// Refused logs a call that was refused before its workflow was proposed, with the id at
// the end of its path: without the line a caller's refusal could not be told from a
// call that never came.
func (d *Desk) Refused(call *Call, err error) {
	f := failure.From(err)
	refused.Add(1)
	d.logger.WithFields(logrus.Fields{
		"workflow": call.Path[strings.LastIndexByte(call.Path, '/')+1:], "host": call.Host, "path": call.Path,
		"code": f.Code, "not_run": f.NotRun, "detail": f.Error(), "index": d.log.State().Index(),
	}).Warn("call refused")
}

func refuse(f *failure.Error) *failure.Error {
	f.RetryAfter = retryAfter
	return f
}

func (c *Call) bound(ctx context.Context) (context.Context, context.CancelFunc) {
	patience := proposePatience
	if c.Patience > 0 {
		patience = min(patience, max(c.Patience-answerMargin, answerMargin))
	}
	return context.WithTimeout(ctx, patience)
}

// Submit commits a workflow. A failure says whether it surely was not taken:
// with an outcome that is unknown the caller sends it again under its id.
func (d *Desk) Submit(ctx context.Context, call *Call, target *Target, workflow *controlpb.Workflow) error {
	if err := Check(workflow); err != nil {
		d.Refused(call, err)
		return err
	}
	workflow.Id = target.ID
	workflow.Queue = target.Queue.Name
	workflow.Customer = target.Customer
	workflow.Service = target.Queue.Service
	workflow.Priority = target.Queue.Priority
	workflow.MaxAttempts = max(target.Queue.MaxAttempts, 1)
	workflow.SlackThousandths = target.Queue.SlackThousandths
	workflow.TargetLatencyMs = target.Queue.TargetLatencyMs
	workflow.SharedEnds = true
	ctx, cancel := call.bound(ctx)
	defer cancel()
	began := time.Now()
	result, err := d.propose(ctx, &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: workflow}}})
	entry := d.logger.WithFields(logrus.Fields{"workflow": target.ID, "queue": target.Queue.Name, "customer": target.Customer, "revision": target.Revision, "took_ms": time.Since(began).Milliseconds()})
	if err != nil {
		refused.Add(1)
		f := failure.From(err)
		entry.WithFields(logrus.Fields{"code": f.Code, "not_run": f.NotRun, "detail": f.Error()}).Warn("workflow not accepted")
		return refuse(f)
	}
	accepted.Add(1)
	acceptTook.Record(time.Since(began))
	entry.WithField("index", result.Index).Info("workflow accepted")
	return nil
}

// Cancel commits the end of a workflow.
func (d *Desk) Cancel(ctx context.Context, call *Call, target *Target) error {
	ctx, cancel := call.bound(ctx)
	defer cancel()
	result, err := d.propose(ctx, &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: target.ID, Queue: target.Queue.Name}}})
	entry := d.logger.WithFields(logrus.Fields{"workflow": target.ID, "queue": target.Queue.Name})
	if err != nil {
		entry.WithField("code", failure.From(err).Code).Warn("workflow not cancelled")
		return err
	}
	cancelled.Add(1)
	entry.WithField("index", result.Index).Info("workflow cancelled")
	return nil
}

func (d *Desk) propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	result, err := d.log.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if result.Code != "" {
		return nil, failure.New(failure.Code(result.Code), "%s", result.Detail)
	}
	return result, nil
}

// Status gives the state of a workflow. One that this instance does not know may
// have been accepted a moment ago elsewhere, so the log is asked before it is
// said to be unknown.
func (d *Desk) Status(ctx context.Context, call *Call, target *Target) (controlpb.WorkflowState, error) {
	began := time.Now()
	if w, ok := find(d.log.State(), target); ok {
		return w.State, nil
	}
	ctx, cancel := call.bound(ctx)
	defer cancel()
	err := control.Read(ctx, d.log)
	decided := d.log.State()
	if err != nil {
		return 0, d.notAnswered(target, decided, began, refuse(failure.From(err)))
	}
	if w, ok := find(decided, target); ok {
		return w.State, nil
	}
	return 0, d.notAnswered(target, decided, began, failure.New(failure.AnswerGone, "no workflow %s", target.ID))
}

// notAnswered logs and counts a question about a state that failed: without the line
// it could not be told from a question that never came.
func (d *Desk) notAnswered(target *Target, decided *store.State, began time.Time, f *failure.Error) *failure.Error {
	refused.Add(1)
	d.logger.WithFields(logrus.Fields{
		"workflow": target.ID, "queue": target.Queue.Name, "customer": target.Customer,
		"code": f.Code, "not_run": f.NotRun, "detail": f.Error(),
		"index": decided.Index(), "took_ms": time.Since(began).Milliseconds(),
	}).Warn("state not answered")
	return f
}

func find(state *store.State, target *Target) (*controlpb.Workflow, bool) {
	w, ok := state.Workflow(target.ID)
	return w, ok && w.Queue == target.Queue.Name
}

// Pending counts the queue's workflows of which no task has started.
func (d *Desk) Pending(target *Target) int { return d.log.State().Pending(target.Queue.Name) }
