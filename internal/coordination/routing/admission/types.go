// Package admission decides about requests at one entry instance: which minion
// a request is sent to, and when it is queued, refused, retried or hedged. It is
// deterministic and does no I/O: it takes events and the current time as
// arguments and returns actions. A policy must be used by one goroutine at a
// time.
package admission

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
)

// Config configures a policy.
type Config struct {
	// Self is the name of this instance.
	Self string
	// QueueLength limits the queued requests of each customer and service.
	QueueLength int
}

// Minion is a live minion that accepts new requests.
type Minion struct {
	ID          string
	Incarnation int64
	Address     string
	Slots       int
	Services    []string
}

// Customer is the declared configuration of one customer.
type Customer struct {
	Name   string
	Weight uint32
	// MaxRequests limits the requests in flight across all instances; 0 means no
	// limit.
	MaxRequests int
	// Rate limits the requests per second across all instances; 0 means no limit.
	Rate int
}

// View is a policy's view of the system.
type View struct {
	// Epoch is the version of the member list; an epoch has the same members on
	// every instance.
	Epoch   uint64
	Members []string
	// Departed are removed members that may not know of their removal yet.
	Departed  []string
	Minions   []Minion
	Customers []Customer
	// CutOff is set while the control state is not confirmed as fresh: the
	// configuration may have changed, and this instance's credits may have been
	// given to others.
	CutOff bool
}

// Request is one request handled by the policy.
type Request struct {
	Customer   string
	Service    string
	Priority   uint32
	Deadline   time.Time
	Idempotent bool
	// Urgent requests may be hedged if they are idempotent.
	Urgent bool
	// Owner is data of the caller that the policy does not interpret.
	Owner any

	item     fairqueue.Item[*Request]
	attempts int
	inFlight []*Attempt
	tried    []string
	last     Result
	hedgeAt  time.Time
	ended    bool
	// waited is set if no credit was free when the request was queued.
	waited bool
	// callerLeft is set once the caller has left; no further attempt is made.
	callerLeft bool
}

// Attempt is one attempt to run a request on a minion.
type Attempt struct {
	Request *Request
	Minion  Minion
	// Number counts the attempts of the request from 1.
	Number int
	// Hedge marks a second attempt made while the first is still in flight.
	Hedge   bool
	started time.Time
	target  *target
	limit   *credit.Account
}

// Outcome is how an attempt ended.
type Outcome int

// The outcomes. An attempt that may have run is never NotRun or Refused.
const (
	Answered Outcome = iota
	// Refused means that the minion had no free slot and did not run the request.
	Refused
	// NotRun means that the request certainly did not run.
	NotRun
	Failed
	Unknown
)

// Result is the outcome of an attempt with its answer or error.
type Result struct {
	Outcome Outcome
	// Final forbids another attempt because the caller has part of the answer.
	Final bool
	// Owner is data of the caller, such as the answer or the error.
	Owner any
}

// Reason is the reason a request was refused. A refused request did not run.
type Reason string

// Refusal reasons.
const (
	ReasonNoMinion  Reason = "no_minion"
	ReasonDeadline  Reason = "deadline_cannot_be_met"
	ReasonQueueFull Reason = "queue_full"
	ReasonDisplaced Reason = "displaced_by_priority"
	ReasonLimit     Reason = "customer_limit"
	ReasonRate      Reason = "customer_rate"
	ReasonCutOff    Reason = "cut_off"
	// ReasonCallerLeft means that the caller cancelled, or its deadline passed,
	// before the request ran.
	ReasonCallerLeft Reason = "caller_left"
)

// Refusal is the final result of a request that was not run.
type Refusal struct {
	Reason Reason
	// RetryAfter is the time after which a retry may succeed; 0 if unknown.
	RetryAfter time.Duration
}

// Action is something that the user of a policy must carry out.
type Action interface{ action() }

// Start sends a request to a minion.
type Start struct{ Attempt *Attempt }

// Cancel cancels an attempt whose answer is no longer needed.
type Cancel struct{ Attempt *Attempt }

// Finish delivers the result of a request.
type Finish struct {
	Request *Request
	Result  Result
}

// Refuse delivers the refusal of a request.
type Refuse struct {
	Request *Request
	Refusal Refusal
}

// SendBorrowRequest sends a borrow request to another instance.
type SendBorrowRequest struct {
	To      string
	Request BorrowRequest
}

// SendBorrowReply sends the reply to another instance's borrow request.
type SendBorrowReply struct {
	To    string
	Reply BorrowReply
}

func (Start) action()             {}
func (Cancel) action()            {}
func (Finish) action()            {}
func (Refuse) action()            {}
func (SendBorrowRequest) action() {}
func (SendBorrowReply) action()   {}

// Want is a number of credits wanted on any minion of a service or, if Resource
// is set, on that resource.
type Want struct {
	Service  string
	Resource string
	Count    int
}

// BorrowRequest asks a lender for credits. It reports all credits held from the lender
// and the additional credits wanted.
type BorrowRequest struct {
	// Incarnation and Sequence order the borrow requests of an instance across restarts.
	Incarnation int64
	Sequence    uint64
	Wants       []Want
	Holding     []credit.Amount
}

// BorrowReply is the lender's reply to a BorrowRequest.
type BorrowReply struct {
	// Incarnation identifies the lender's process.
	Incarnation int64
	Sequence    uint64
	Granted     []credit.Amount
	// Owed lists the credits that the lender has itself borrowed from the
	// requesting instance.
	Owed []credit.Amount
	// Idle is the number of credits that the lender could still lend.
	Idle int
}
