// Package workflows commits callers' workflows to the replicated log, cancels
// them and reports their states.
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
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/latency"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// refusalRetryAfter is the Retry-After of a refusal; an election completes
	// within it.
	refusalRetryAfter = time.Second
	// maxCallTimeout limits every call; it is the timeout of a call whose caller gave
	// none.
	maxCallTimeout = 3 * time.Second
	// answerMargin is subtracted from the caller's timeout, so that the answer
	// arrives before the caller stops waiting. It is also the shortest timeout.
	answerMargin = 150 * time.Millisecond
)

var (
	accepted  = expvar.NewInt("workflows_accepted")
	refused   = expvar.NewInt("workflows_refused")
	cancelled = expvar.NewInt("workflows_cancelled")
	// acceptLatency is the time from a submission's arrival to its commit.
	acceptLatency = latency.New("workflows_accept")
)

// Call holds what is common to all calls of callers.
type Call struct {
	Host string
	Path string
	Key  string
	// Timeout is the caller's timeout, or 0 if it gave none.
	Timeout time.Duration
}

// Handler serves callers' calls on one instance.
type Handler struct {
	log    control.Log
	cache  catalog.Cache
	logger *logrus.Logger
}

// NewHandler returns a Handler that proposes to log.
func NewHandler(log control.Log, logger *logrus.Logger) *Handler {
	return &Handler{log: log, logger: logger}
}

// Target is the queue, customer and workflow of a call. ID is empty for a call on
// the queue itself, Customer for an anonymous queue.
type Target struct {
	Queue    *controlpb.Queue
	Customer string
	ID       string
	// Key is the key of the call, by which the owner of a workflow is known: a later version may
	// give its customer another name. KeyKnown reports whether a customer had it.
	Key      string
	KeyKnown bool
	// Place is the key of the queue: its host and its prefix.
	Place string
	// Revision and Version are those of the declarations and of their document by which
	// the call was resolved.
	Revision uint64
	Version  uint64
}

// CheckReady fails while this instance would refuse all calls: with not_ready before
// the first declarations, and with stale_state while its state may be outdated.
func CheckReady(log control.Log) error {
	if err := log.CheckFresh(); err != nil {
		return err
	}
	if log.State().Document() == nil {
		return failure.New(failure.NotReady, "no declarations yet")
	}
	return nil
}

// Document returns the document in force as it was sent; nil if there is none yet.
func (h *Handler) Document() *controlpb.Document { return h.log.State().Document() }

// Resolve finds the queue of a call and authenticates its key. It fails with
// not_ready or stale_state as CheckReady does, with not_found if no queue matches, and
// with unauthorized if no customer has the key: also at an anonymous queue, which only
// serves calls without a key besides.
func (h *Handler) Resolve(call *Call) (*Target, error) {
	if err := CheckReady(h.log); err != nil {
		return nil, withRetryAfter(failure.From(err))
	}
	return h.resolveIn(h.log.State(), call)
}

// resolveIn is Resolve in one state, whatever its age.
func (h *Handler) resolveIn(state *store.State, call *Call) (*Target, error) {
	index := h.cache.Get(state)
	queue, id, ok := index.Queue(call.Host, call.Path)
	if !ok {
		return nil, failure.New(failure.NotFound, "no queue is declared at %s%s", call.Host, call.Path)
	}
	target := &Target{Queue: queue, ID: id, Key: call.Key, Place: declaration.QueueKey(queue.Host, queue.PathPrefix), Revision: index.Revision(), Version: index.Version()}
	customer, known := index.Customer(call.Key)
	target.KeyKnown = known
	// A removed key must not be worth more than none: its holder would go on at such queues.
	if !known && (call.Key != "" || !queue.Anonymous) {
		return nil, failure.New(failure.Unauthorized, "the key belongs to no customer")
	}
	if !queue.Anonymous {
		target.Customer = customer.Name
	}
	return target, nil
}

// LogRefusal logs and counts a call that was refused before its workflow was proposed,
// with the workflow id from the end of its path. Without this log line a refused
// call could not be distinguished from one that never arrived.
func (h *Handler) LogRefusal(call *Call, err error) {
	f := failure.From(err)
	refused.Add(1)
	state := h.log.State()
	_, known := h.cache.Get(state).Customer(call.Key)
	h.logger.WithFields(logrus.Fields{
		"workflow": call.Path[strings.LastIndexByte(call.Path, '/')+1:], "host": call.Host, "path": call.Path,
		"code": f.Code, "not_run": f.NotRun, "detail": f.Error(), "keyed": call.Key != "", "key_known": known,
		"index": state.Index(), "version": state.Document().GetVersion(),
	}).Warn("call refused")
}

func withRetryAfter(f *failure.Error) *failure.Error {
	f.RetryAfter = refusalRetryAfter
	return f
}

// withTimeout derives the context of a call on a queue: it ends before the caller stops waiting,
// and no later than the queue's timeout after now.
func (c *Call) withTimeout(ctx context.Context, queue *controlpb.Queue) (context.Context, context.CancelFunc) {
	timeout := maxCallTimeout
	if queue.TimeoutMs > 0 {
		timeout = time.Duration(min(queue.TimeoutMs, maxCallTimeout.Milliseconds())) * time.Millisecond
	}
	if c.Timeout > 0 {
		timeout = min(timeout, max(c.Timeout-answerMargin, answerMargin))
	}
	return context.WithTimeout(ctx, timeout)
}

// Submit commits a workflow. The error says whether the workflow was certainly not
// accepted; if the outcome is unknown, the caller can resend it under the same id.
func (h *Handler) Submit(ctx context.Context, call *Call, target *Target, workflow *controlpb.Workflow) error {
	if err := Check(workflow); err != nil {
		h.LogRefusal(call, err)
		return err
	}
	workflow.Id = target.ID
	workflow.Place = target.Place
	workflow.Queue = target.Queue.Name
	workflow.Customer = target.Customer
	workflow.Service = target.Queue.Service
	workflow.Priority = target.Queue.Priority
	workflow.MaxAttempts = max(target.Queue.MaxAttempts, 1)
	workflow.SlackThousandths = target.Queue.SlackThousandths
	workflow.TargetLatencyMs = target.Queue.TargetLatencyMs
	workflow.SharedEnds = true
	ctx, cancel := call.withTimeout(ctx, target.Queue)
	defer cancel()
	began := time.Now()
	result, err := h.submit(ctx, call, target, workflow)
	entry := h.logger.WithFields(logrus.Fields{"workflow": target.ID, "queue": target.Queue.Name, "customer": target.Customer, "keyed": call.Key != "", "key_known": target.KeyKnown, "anonymous": target.Queue.Anonymous, "host": call.Host, "path": call.Path, "service": workflow.Service, "priority": workflow.Priority, "max_attempts": workflow.MaxAttempts, "revision": target.Revision, "version": target.Version, "took_ms": time.Since(began).Milliseconds()})
	if err != nil {
		refused.Add(1)
		f := failure.From(err)
		entry.WithFields(logrus.Fields{"code": f.Code, "not_run": f.NotRun, "detail": f.Error()}).Warn("workflow not accepted")
		return withRetryAfter(f)
	}
	accepted.Add(1)
	acceptLatency.Record(time.Since(began))
	entry.WithField("index", result.Index).Info("workflow accepted")
	return nil
}

// submit proposes a workflow. One that was accepted at the place before, as a resend of it, is
// accepted again, also if the queue there has another name now.
func (h *Handler) submit(ctx context.Context, call *Call, target *Target, workflow *controlpb.Workflow) (*controlpb.Result, error) {
	result, err := h.propose(ctx, &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: workflow, Key: target.Key}}})
	if failure.Is(err, failure.Conflict) {
		if known, findErr := h.findInLog(ctx, call); findErr == nil {
			return &controlpb.Result{Index: h.log.State().Index(), Workflow: known}, nil
		}
		return nil, err
	}
	if err == nil && !target.names(result.Workflow) {
		return nil, failure.New(failure.Conflict, "the id is in use at another place")
	}
	return result, err
}

// Cancel commits the cancellation of a workflow. It fails with answer_gone if there is no such
// workflow, and as Resolve does if the call's queue or key has been removed.
func (h *Handler) Cancel(ctx context.Context, call *Call, target *Target) error {
	ctx, cancel := call.withTimeout(ctx, target.Queue)
	defer cancel()
	result, err := h.cancel(ctx, call)
	entry := h.logger.WithFields(logrus.Fields{"workflow": target.ID, "queue": target.Queue.Name, "customer": target.Customer})
	if err != nil {
		entry.WithField("code", failure.From(err).Code).WithFields(recorded(h.log.State(), target.ID)).Warn("workflow not cancelled")
		return err
	}
	cancelled.Add(1)
	entry.WithField("index", result.Index).Info("workflow cancelled")
	return nil
}

func (h *Handler) cancel(ctx context.Context, call *Call) (*controlpb.Result, error) {
	workflow, err := h.find(ctx, call)
	if err != nil {
		return nil, err
	}
	// The log compares the queue's name at submission.
	result, err := h.propose(ctx, &controlpb.Command{Op: &controlpb.Command_CancelWorkflow{CancelWorkflow: &controlpb.CancelWorkflow{Id: workflow.Id, Queue: workflow.Queue}}})
	if failure.Is(err, failure.NotFound) {
		return nil, noWorkflow(workflow.Id)
	}
	return result, err
}

func noWorkflow(id string) error { return failure.New(failure.AnswerGone, "no workflow %s", id) }

// find returns the workflow of a call. One that is not in the local state may just have been
// accepted by another instance, so the state is first brought up to date with the log. It
// fails with answer_gone if there is no such workflow, and as Resolve does if the queue or the
// key has been removed meanwhile.
func (h *Handler) find(ctx context.Context, call *Call) (*controlpb.Workflow, error) {
	w, err := h.findLocally(call)
	if failure.Is(err, failure.AnswerGone) {
		return h.findInLog(ctx, call)
	}
	return w, err
}

// findInLog is find in a state that is up to date with the log.
func (h *Handler) findInLog(ctx context.Context, call *Call) (*controlpb.Workflow, error) {
	if err := control.Barrier(ctx, h.log); err != nil {
		return nil, err
	}
	return h.findLocally(call)
}

// findLocally is find in the local state. The queue, the key and the owner are all looked up in this
// state: a call whose queue was found in an earlier version would be answered as no version allows.
func (h *Handler) findLocally(call *Call) (*controlpb.Workflow, error) {
	state := h.log.State()
	target, err := h.resolveIn(state, call)
	if err != nil {
		return nil, err
	}
	w, ok := state.Workflow(target.ID)
	if !ok || !target.names(w) {
		return nil, noWorkflow(target.ID)
	}
	if !target.owns(w, h.cache.Get(state)) {
		return nil, noWorkflow(target.ID)
	}
	return w, nil
}

func (h *Handler) propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	result, err := h.log.Propose(ctx, command)
	if err != nil {
		return nil, err
	}
	if result.Code != "" {
		return nil, failure.New(failure.Code(result.Code), "%s", result.Detail)
	}
	return result, nil
}

// Status returns the state of a workflow. It fails with answer_gone if there is no such
// workflow, and as Resolve does if the call's queue or key has been removed.
func (h *Handler) Status(ctx context.Context, call *Call, target *Target) (controlpb.WorkflowState, error) {
	began := time.Now()
	ctx, cancel := call.withTimeout(ctx, target.Queue)
	defer cancel()
	w, err := h.find(ctx, call)
	if err == nil {
		return w.State, nil
	}
	f := failure.From(err)
	if f.Code != failure.AnswerGone {
		f = withRetryAfter(f)
	}
	return 0, h.statusError(target, h.log.State(), began, f)
}

// statusError logs and counts a failed status call and returns its error. Without
// this log line the call could not be distinguished from one that never arrived.
func (h *Handler) statusError(target *Target, state *store.State, began time.Time, f *failure.Error) *failure.Error {
	refused.Add(1)
	h.logger.WithFields(logrus.Fields{
		"workflow": target.ID, "queue": target.Queue.Name, "customer": target.Customer,
		"code": f.Code, "not_run": f.NotRun, "detail": f.Error(),
		"index": state.Index(), "took_ms": time.Since(began).Milliseconds(),
	}).WithFields(recorded(state, target.ID)).Warn("state not answered")
	return f
}

// recorded returns what the state has under the id of a call that was refused: a job of another
// customer, or at another place, is answered like one that doesn't exist.
func recorded(state *store.State, id string) logrus.Fields {
	w, ok := state.Workflow(id)
	if !ok {
		return logrus.Fields{"recorded": false}
	}
	return logrus.Fields{"recorded": true, "owner": w.Customer, "place": w.Place}
}

// names reports whether the call names the place of a workflow. What the queue there is called, a
// caller does not know: a version that renames it leaves its workflows where they are.
func (t *Target) names(w *controlpb.Workflow) bool {
	if w.Place == "" {
		return w.Queue == t.Queue.Name
	}
	return w.Place == t.Place
}

// owns reports whether the workflow is the caller's, by the declarations of the index. A workflow
// accepted at an anonymous queue has no owner. At a queue that is anonymous by now its owner sends
// no key.
func (t *Target) owns(w *controlpb.Workflow, index *catalog.Catalog) bool {
	if w.Customer == "" || t.Key == "" && t.Queue.Anonymous {
		return true
	}
	customer, known := index.Customer(t.Key)
	return known && customer.Name == w.Customer
}

// Pending returns the number of the queue's workflows of which no task has started.
func (h *Handler) Pending(target *Target) int { return h.log.State().Pending(target.names) }
