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
	// refreshEvery is how often the view of minions and members is read anew;
	// it bounds how long a leaving minion still gets new work here.
	refreshEvery = 100 * time.Millisecond
	// tickEvery drives what is due by time while requests wait.
	tickEvery = 5 * time.Millisecond
	// askTimeout is when an ask for credits counts as lost.
	askTimeout = 250 * time.Millisecond
)

// Lenders carries asks for credits to other instances.
type Lenders interface {
	Ask(ctx context.Context, to string, ask admission.Ask) (admission.Reply, error)
}

// desk runs the policy: one lock around it, its actions carried out outside.
type desk struct {
	now     func() time.Time
	minions Minions
	lenders Lenders
	wake    chan struct{}

	mu      sync.Mutex
	policy  *admission.Policy
	cancels map[*admission.Attempt]context.CancelFunc
	replies map[string]*askWaiter
	context context.Context
	// demands are the last counted arrivals.
	demands   []admission.Demand
	demandsAt time.Time
}

// waiter is a caller's goroutine that waits for the end of its request.
type waiter struct {
	ctx     context.Context
	request *Request
	done    chan delivery
}

// delivery is what a caller gets.
type delivery struct {
	answer *api.Answer
	err    error
}

type askWaiter struct {
	sequence uint64
	reply    chan admission.Reply
}

func newDesk(config Config, minions Minions, lenders Lenders) *desk {
	self := admission.Config{Self: config.Instance, QueueLength: config.QueueLength}
	return &desk{
		now:     config.Now,
		minions: minions,
		lenders: lenders,
		wake:    make(chan struct{}, 1),
		policy:  admission.New(self, config.Now().UnixNano()),
		cancels: map[*admission.Attempt]context.CancelFunc{},
		replies: map[string]*askWaiter{},
		context: context.Background(),
	}
}

// event gives one event to the policy and carries out what follows.
func (d *desk) event(decide func(p *admission.Policy, now time.Time) []admission.Action) {
	d.mu.Lock()
	actions := decide(d.policy, d.now())
	busy := d.policy.Busy()
	d.prepare(actions)
	d.mu.Unlock()
	for _, action := range actions {
		d.carryOut(action)
	}
	if busy {
		select {
		case d.wake <- struct{}{}:
		default:
		}
	}
}

// prepare makes the contexts of new attempts under the lock, so that a cancel
// decided by the next event finds them.
func (d *desk) prepare(actions []admission.Action) {
	for i, action := range actions {
		start, ok := action.(admission.Start)
		if !ok {
			continue
		}
		w := start.Attempt.Request.Owner.(*waiter)
		ctx, cancel := context.WithCancel(w.ctx)
		d.cancels[start.Attempt] = cancel
		actions[i] = sending{Start: start, ctx: ctx}
	}
}

// sending is a Start with the context that ends it.
type sending struct {
	admission.Start
	ctx context.Context
}

func (d *desk) carryOut(action admission.Action) {
	switch a := action.(type) {
	case sending:
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
	case admission.SendAsk:
		go d.ask(a.To, a.Ask)
	case admission.SendReply:
		d.reply(a.To, a.Reply)
	}
}

// send makes one attempt and tells the policy what became of it.
func (d *desk) send(ctx context.Context, attempt *admission.Attempt) {
	w := attempt.Request.Owner.(*waiter)
	answer, err := d.minions.Serve(ctx, attempt.Minion.Address, &w.request.Call)
	result := admission.Result{Outcome: outcomeOf(answer, err), Final: begun(answer), Owner: delivery{answer: answer, err: err}}
	count(attempt, result.Outcome)
	d.mu.Lock()
	d.cancels[attempt]()
	delete(d.cancels, attempt)
	d.mu.Unlock()
	d.event(func(p *admission.Policy, now time.Time) []admission.Action {
		if w.ctx.Err() != nil {
			// The caller's own word that it left may come later than this: its
			// cancelled attempt would count as the minion's failure, and a wave of
			// cancellations would make every minion an outlier.
			p.Leave(now, attempt.Request)
		}
		return p.Done(now, attempt, result)
	})
}

// serverError is the first status that counts as the minion's failure.
const serverError = 500

// begun tells whether the caller has some of the answer already, so that no
// other attempt may answer.
func begun(answer *api.Answer) bool { return answer != nil && answer.Streamed }

func outcomeOf(answer *api.Answer, err error) admission.Outcome {
	if err == nil {
		if answer.Status >= serverError || answer.Cut != nil {
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

func (d *desk) ask(to string, ask admission.Ask) {
	ctx, cancel := context.WithTimeout(d.context, askTimeout)
	defer cancel()
	reply, err := d.lenders.Ask(ctx, to, ask)
	if err != nil {
		reply = admission.Reply{Sequence: ask.Sequence}
	}
	asksSent.Add(1)
	d.event(func(p *admission.Policy, now time.Time) []admission.Action {
		return p.Replied(now, to, reply, err == nil)
	})
}

// asked answers another instance's ask; it may be held for a moment.
func (d *desk) asked(ctx context.Context, from string, ask admission.Ask) (admission.Reply, error) {
	w := &askWaiter{sequence: ask.Sequence, reply: make(chan admission.Reply, 1)}
	d.mu.Lock()
	d.replies[from] = w
	d.mu.Unlock()
	d.event(func(p *admission.Policy, now time.Time) []admission.Action { return p.Asked(now, from, ask) })
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	select {
	case reply := <-w.reply:
		return reply, nil
	case <-ctx.Done():
		return admission.Reply{}, failure.Wrap(failure.StaleSequence, ctx.Err(), "ask %d was replaced", ask.Sequence)
	}
}

func (d *desk) reply(to string, reply admission.Reply) {
	d.mu.Lock()
	w := d.replies[to]
	d.mu.Unlock()
	if w != nil && w.sequence == reply.Sequence {
		w.reply <- reply
	}
}

// run refreshes the view and ticks the policy until ctx ends.
func (d *desk) run(ctx context.Context, refresh func()) {
	refresh()
	ticker := time.NewTicker(refreshEvery)
	defer ticker.Stop()
	tick := time.NewTimer(tickEvery)
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
				tick.Reset(tickEvery)
				armed = true
			}
		case <-tick.C:
			armed = false
			d.event((*admission.Policy).Tick)
		}
	}
}
