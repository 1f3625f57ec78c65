// Package leases runs tasks on workers whose leases the leader renews: it looks
// at each worker that has work, prolongs the one lease of everything that runs
// there, starts and stops runs under a fencing token, and turns what the workers
// list into the announcements that dispatch decides from.
//
// Ledger is pure: reports and commands in, what is known of one worker out.
// Keeper is the sockets and clocks around one ledger for each worker.
package leases

import (
	"context"
	"time"
)

// Target is one boot of a worker.
type Target struct {
	// Worker is the id of the boot; another boot at the address refuses.
	Worker  string
	Address string
}

// Look asks a worker what runs there.
type Look struct {
	// Token is the fencing token: the worker obeys no lower one after it.
	Token uint64
	// Acknowledged is the number of the newest end that may be forgotten.
	Acknowledged uint64
	// Deadline prolongs the lease to a time of the worker's clock in ms; 0 leaves it.
	Deadline int64
	// Wait is how long the worker may hold the answer until a run ends.
	Wait time.Duration
}

// Report is what a worker answers to a look.
type Report struct {
	// Clock is the worker's steady clock in ms when it answered.
	Clock   int64
	Running []Running
	Ends    []End
}

// Running is one run that is alive on a worker.
type Running struct {
	// Task is the name of a task: store.TaskName.
	Task       string
	Run        uint64
	Checkpoint string
	// Percent of the work that is done.
	Percent uint32
}

// How a run ended.
type How int

// The ways.
const (
	Done How = iota + 1
	// Failed through the task's own fault or the worker's.
	Failed
	Stopped
	// Lapsed runs lost their lease.
	Lapsed
	// Broken runs ended because another member of their gang did.
	Broken
	// Alone runs waited too long for the other members of their gang.
	Alone
)

// End is the end of one run. A worker lists it until it is acknowledged.
type End struct {
	// Number counts the ends of one boot from 1.
	Number     uint64
	Task       string
	Run        uint64
	How        How
	Checkpoint string
}

// Start is an order to begin a run.
type Start struct {
	Token         uint64
	Task          string
	Run           uint64
	Specification string
	// Checkpoint to go on from; empty for none.
	Checkpoint string
	// Deadline is the lease's end by the worker's clock in ms.
	Deadline int64
}

// Stop is an order to end a run, or never to begin it.
type Stop struct {
	Token uint64
	Task  string
	Run   uint64
}

// Client speaks to workers. Each call gives the worker's clock in ms, where it
// answered. A failure of code worker_vanished means that another boot answers at
// the address; stale_epoch that a newer token or run goes before this one.
type Client interface {
	Look(ctx context.Context, target Target, look Look) (*Report, error)
	Start(ctx context.Context, target Target, start Start) (clock int64, err error)
	Stop(ctx context.Context, target Target, stop Stop) (clock int64, err error)
}
