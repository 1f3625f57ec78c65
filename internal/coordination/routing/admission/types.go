// Package admission decides about requests at one entry instance: which minion
// a request goes to, when it waits, when it is refused and when it is tried
// again. It is pure: events in, actions out, time as an argument; one caller at
// a time.
package admission

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
)

// Config of a policy.
type Config struct {
	Self string
	// QueueLength bounds the waiting requests of each customer and service.
	QueueLength int
}

// Minion is one live minion that takes new work.
type Minion struct {
	ID          string
	Incarnation int64
	Address     string
	Slots       int
	Services    []string
}

// Customer is what the rules say of one customer.
type Customer struct {
	Name   string
	Weight uint32
	// MaxRequests bounds the requests in flight over all instances; 0 is no bound.
	MaxRequests int
	// Rate bounds the requests per second over all instances; 0 is no bound.
	Rate int
}

// View is what a policy knows of the system.
type View struct {
	// Epoch numbers the members; the same epoch has the same members everywhere.
	Epoch   uint64
	Members []string
	// Departed were members, and may not know yet that they are none.
	Departed  []string
	Minions   []Minion
	Customers []Customer
	// CutOff is set while the control state is not confirmed: the rules may have
	// been replaced, and others may have this instance's credits by now.
	CutOff bool
}

// Request is one request on its way through the policy.
type Request struct {
	Customer   string
	Service    string
	Priority   uint32
	Deadline   time.Time
	Idempotent bool
	// Urgent requests may be hedged if they are idempotent.
	Urgent bool
	// Owner is the caller's own; the policy does not look at it.
	Owner any

	item     fairqueue.Item[*Request]
	attempts int
	inFlight []*Attempt
	tried    []string
	last     Result
	hedgeAt  time.Time
	ended    bool
	// waited is set when no credit was free as the request came.
	waited bool
	// gone is set when the caller has left; no attempt follows then.
	gone bool
}

// Attempt is one sending of a request to a minion.
type Attempt struct {
	Request *Request
	Minion  Minion
	// Number counts the attempts of the request from 1.
	Number int
	// Hedge marks a second sending while the first is still out.
	Hedge   bool
	started time.Time
	target  *target
	limit   *credit.Account
}

// Outcome is what became of an attempt.
type Outcome int

// The outcomes. A request that may have run is Unknown, never NotRun.
const (
	Answered Outcome = iota
	// Refused means that the minion had no slot and surely ran nothing.
	Refused
	// NotRun means that the request surely did not reach the minion's work.
	NotRun
	Failed
	Unknown
)

// Result is the outcome of an attempt with what belongs to it.
type Result struct {
	Outcome Outcome
	// Final forbids another attempt: the caller has part of the answer.
	Final bool
	// Owner is the caller's own, such as the answer or the error.
	Owner any
}

// Reason says why a request was refused; a refused request surely did not run.
type Reason string

// The reasons.
const (
	ReasonNoMinion  Reason = "no_minion"
	ReasonDeadline  Reason = "deadline_cannot_be_met"
	ReasonQueueFull Reason = "queue_full"
	ReasonDisplaced Reason = "displaced_by_priority"
	ReasonLimit     Reason = "customer_limit"
	ReasonRate      Reason = "customer_rate"
	ReasonCutOff    Reason = "cut_off"
	// ReasonLeft means that the caller left, or its time ran out, before the
	// request was sent.
	ReasonLeft Reason = "caller_left"
)

// Refusal is a final answer without a run.
type Refusal struct {
	Reason Reason
	// RetryAfter is when the request would have a chance.
	RetryAfter time.Duration
}

// Action is what the caller of a policy must do.
type Action interface{ action() }

// Start sends a request to a minion.
type Start struct{ Attempt *Attempt }

// Cancel ends an attempt whose answer nobody needs any more.
type Cancel struct{ Attempt *Attempt }

// Finish gives a request its result.
type Finish struct {
	Request *Request
	Result  Result
}

// Refuse gives a request its refusal.
type Refuse struct {
	Request *Request
	Refusal Refusal
}

// SendAsk asks another instance for credits.
type SendAsk struct {
	To  string
	Ask Ask
}

// SendReply answers another instance's ask.
type SendReply struct {
	To    string
	Reply Reply
}

func (Start) action()     {}
func (Cancel) action()    {}
func (Finish) action()    {}
func (Refuse) action()    {}
func (SendAsk) action()   {}
func (SendReply) action() {}

// Want asks for credits on any minion of a service, or on one resource.
type Want struct {
	Service  string
	Resource string
	Count    int
}

// Ask tells a lender all that is held of it, and what more is wanted.
type Ask struct {
	// Boot and Sequence order the asks of one process and of its successors.
	Boot     int64
	Sequence uint64
	Wants    []Want
	Holding  []credit.Amount
}

// Reply grants credits.
type Reply struct {
	// Boot is the lender's process.
	Boot     int64
	Sequence uint64
	Granted  []credit.Amount
	// Owed is what the lender has itself borrowed from the asker.
	Owed []credit.Amount
	// Idle is what the lender has left to lend.
	Idle int
}
