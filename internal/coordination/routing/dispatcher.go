package routing

import (
	"context"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// refreshInterval is how often the view of minions and members is rebuilt. It
	// limits how long a leaving minion still receives new requests from here.
	refreshInterval = 100 * time.Millisecond
	// tickInterval is the period of Policy.Tick while the policy is busy.
	tickInterval = 5 * time.Millisecond
	// borrowTimeout is how long a borrow request may take before it counts as lost.
	borrowTimeout = 250 * time.Millisecond
)

// CreditLenders sends borrow requests for credits to other instances.
type CreditLenders interface {
	Borrow(ctx context.Context, to string, request admission.BorrowRequest) (admission.BorrowReply, error)
}

// dispatcher runs the policy. Events are passed to it under one lock; the
// resulting actions are executed outside the lock.
type dispatcher struct {
	now     func() time.Time
	minions MinionClient
	lenders CreditLenders
	wake    chan struct{}

	mu      sync.Mutex
	policy  *admission.Policy
	cancels map[*admission.Attempt]context.CancelFunc
	replies map[string]*heldBorrow
	context context.Context
	// demands are the arrival rates of the last complete counting period.
	demands   []admission.Demand
	demandsAt time.Time
}

// waiter is a caller's goroutine waiting for its request to complete.
type waiter struct {
	ctx     context.Context
	request *Request
	done    chan delivery
}

// delivery is the result handed to a caller.
type delivery struct {
	answer *api.Answer
	err    error
}

type heldBorrow struct {
	sequence uint64
	reply    chan admission.BorrowReply
}

func newDispatcher(config Config, minions MinionClient, lenders CreditLenders) *dispatcher {
	self := admission.Config{Self: config.Instance, QueueLength: config.QueueLength}
	return &dispatcher{
		now:     config.Now,
		minions: minions,
		lenders: lenders,
		wake:    make(chan struct{}, 1),
		policy:  admission.New(self, config.Now().UnixNano()),
		cancels: map[*admission.Attempt]context.CancelFunc{},
		replies: map[string]*heldBorrow{},
		context: context.Background(),
	}
}

// handle passes one event to the policy and executes the resulting actions.
func (d *dispatcher) handle(decide func(p *admission.Policy, now time.Time) []admission.Action) {
	d.mu.Lock()
	actions := decide(d.policy, d.now())
	busy := d.policy.Busy()
	d.prepare(actions)
	d.mu.Unlock()
	for _, action := range actions {
		d.execute(action)
	}
	if busy {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// prepare creates the contexts of new attempts while the lock is held, so that
// a cancellation decided by the next event finds them.
func (d *dispatcher) prepare(actions []admission.Action) {
	for i, action := range actions {
		start, ok := action.(admission.Start)
		if !ok {
			continue
		}
		w := start.Attempt.Request.Owner.(*waiter)
		ctx, cancel := context.WithCancel(w.ctx)
		d.cancels[start.Attempt] = cancel
		actions[i] = attemptStart{Start: start, ctx: ctx}
	}
}

// attemptStart is a Start action with the context that cancels the attempt.
type attemptStart struct {
	admission.Start
	ctx context.Context
}

func (d *dispatcher) execute(action admission.Action) {
	switch a := action.(type) {
	case attemptStart:
		go d.send(a.ctx, a.Attempt)
	case admission.Cancel:
		d.mu.Lock()
		cancel := d.cancels[a.Attempt]
		d.mu.Unlock()
		if cancel != nil {
			cancel()
		}
	case admission.Finish:
		a.Request.Owner.(*waiter).done <- a.Result.Owner.(delivery)
	case admission.Refuse:
		a.Request.Owner.(*waiter).done <- delivery{err: refusalFailure(a.Request, a.Refusal)}
	case admission.SendBorrowRequest:
		go d.borrow(a.To, a.Request)
	case admission.SendBorrowReply:
		d.reply(a.To, a.Reply)
	}
}

// send makes one attempt and reports its outcome to the policy.
func (d *dispatcher) send(ctx context.Context, attempt *admission.Attempt) {
	w := attempt.Request.Owner.(*waiter)
	answer, err := d.minions.Serve(ctx, attempt.Minion.Address, &w.request.Call)
	result := admission.Result{Outcome: outcomeOf(answer, err), Final: streamed(answer), Owner: delivery{answer: answer, err: err}}
	count(attempt, result.Outcome)
	d.mu.Lock()
	d.cancels[attempt]()
	delete(d.cancels, attempt)
	d.mu.Unlock()
	d.handle(func(p *admission.Policy, now time.Time) []admission.Action {
		if w.ctx.Err() != nil {
			// The event for the caller's departure may arrive after this one. Without
			// this call the cancelled attempt would count as a failure of the minion,
			// and a burst of cancellations would eject every minion as an outlier.
			p.CallerLeft(now, attempt.Request)
		}
		return p.Done(now, attempt, result)
	})
}

// serverError is the lowest HTTP status that counts as a failure of the minion.
const serverError = 500

// streamed reports whether part of the answer has already been sent to the
// caller, in which case no other attempt may answer.
func streamed(answer *api.Answer) bool { return answer != nil && answer.Streamed }

func outcomeOf(answer *api.Answer, err error) admission.Outcome {
	if err == nil {
		if answer.Status >= serverError || answer.TruncationErr != nil {
			return admission.Failed
		}
		return admission.Answered
	}
	f := failure.From(err)
	switch {
	case f.NotRun == failure.NotRunTrue && f.Code == failure.Overloaded:
		return admission.Refused
	case f.NotRun == failure.NotRunTrue:
		return admission.NotRun
	case f.NotRun == failure.NotRunFalse:
		return admission.Failed
	}
	return admission.Unknown
}

func (d *dispatcher) borrow(to string, request admission.BorrowRequest) {
	ctx, cancel := context.WithTimeout(d.context, borrowTimeout)
	defer cancel()
	reply, err := d.lenders.Borrow(ctx, to, request)
	if err != nil {
		reply = admission.BorrowReply{Sequence: request.Sequence}
	}
	asksSent.Add(1)
	d.handle(func(p *admission.Policy, now time.Time) []admission.Action {
		return p.HandleBorrowReply(now, to, reply, err == nil)
	})
}

// handleBorrowRequest answers another instance's borrow request. The policy may
// hold the request for a short time before it replies. A request superseded by
// a newer one from the same instance, or not answered within borrowTimeout,
// fails with failure.StaleSequence.
func (d *dispatcher) handleBorrowRequest(ctx context.Context, from string, request admission.BorrowRequest) (admission.BorrowReply, error) {
	w := &heldBorrow{sequence: request.Sequence, reply: make(chan admission.BorrowReply, 1)}
	d.mu.Lock()
	d.replies[from] = w
	d.mu.Unlock()
	d.handle(func(p *admission.Policy, now time.Time) []admission.Action {
		return p.HandleBorrowRequest(now, from, request)
	})
	ctx, cancel := context.WithTimeout(ctx, borrowTimeout)
	defer cancel()
	select {
	case reply := <-w.reply:
		return reply, nil
	case <-ctx.Done():
		return admission.BorrowReply{}, failure.Wrap(failure.StaleSequence, ctx.Err(), "borrow request %d was superseded or timed out", request.Sequence)
	}
}

func (d *dispatcher) reply(to string, reply admission.BorrowReply) {
	d.mu.Lock()
	w := d.replies[to]
	d.mu.Unlock()
	if w != nil && w.sequence == reply.Sequence {
		w.reply <- reply
	}
}

// run refreshes the view and ticks the policy until ctx is done.
func (d *dispatcher) run(ctx context.Context, refresh func()) {
	refresh()
	ticker := time.NewTicker(refreshInterval)
	defer ticker.Stop()
	tick := time.NewTimer(tickInterval)
	defer tick.Stop()
	armed := true
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			refresh()
		case <-d.wake:
			if !armed {
				tick.Reset(tickInterval)
				armed = true
			}
		case <-tick.C:
			armed = false
			d.handle((*admission.Policy).Tick)
		}
	}
}
