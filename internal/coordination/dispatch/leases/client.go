// Package leases runs tasks on workers under leases that the leader renews. The leader
// polls each worker that has work, renews the single lease that covers all runs on that
// worker, sends start and stop commands that carry a fencing token, and turns worker
// reports into the announcements on which dispatch bases its decisions.
//
// Tracker is pure: it takes reports and commands and derives what is known about one
// worker. Manager owns the connections and clocks, with one Tracker per worker.
package leases

import (
	"context"
	"time"
)

// Target identifies one incarnation of a worker, that is, one start of its process.
type Target struct {
	// Worker is the ID of the incarnation. A later incarnation at the same address
	// rejects the request.
	Worker  string
	Address string
}

// Poll is a poll request: it asks a worker what is running there.
type Poll struct {
	// Token is the fencing token. Once the worker has seen it, it rejects lower tokens.
	Token uint64
	// Acknowledged is the number of the newest end that the worker may discard.
	Acknowledged uint64
	// Deadline extends the lease to a time in ms on the worker's clock; 0 leaves the
	// lease unchanged.
	Deadline int64
	// Wait is how long the worker may delay its response while no run ends (long poll).
	Wait time.Duration
}

// Report is a worker's response to a poll.
type Report struct {
	// Clock is the worker's monotonic clock in ms at the time of the response.
	Clock int64
	// Incarnation identifies the incarnation that answered; 0 if the worker doesn't say.
	// Incarnations of one worker differ, but their numbers don't tell which was first.
	Incarnation int64
	Running     []Running
	Ends        []End
}

// Running is one active run on a worker.
type Running struct {
	// Task is the task name as given by store.TaskName.
	Task       string
	Run        uint64
	Checkpoint string
	// Percent is the share of the work that is done, from 0 to 100.
	Percent uint32
	// CPUMilli is the cpu in use lately, in thousandths of a core. It is valid only if
	// HasCPU is set.
	CPUMilli int64
	HasCPU   bool
}

// Outcome is the way in which a run ended.
type Outcome int

// The ways in which a run can end.
const (
	Done Outcome = iota + 1
	// Failed runs ended through a fault of the task or of the worker.
	Failed
	Stopped
	// LeaseExpired runs ended because their lease expired.
	LeaseExpired
	// GangBroken runs ended because another member of their gang ended.
	GangBroken
	// GangTimedOut runs timed out waiting for the other members of their gang.
	GangTimedOut
)

// End records how one run ended. A worker keeps it in its reports until it is
// acknowledged.
type End struct {
	// Number is the sequence number of the end within one incarnation, starting at 1.
	Number     uint64
	Task       string
	Run        uint64
	Outcome    Outcome
	Checkpoint string
}

// Start is a command to begin a run.
type Start struct {
	Token         uint64
	Task          string
	Run           uint64
	Specification string
	// Checkpoint is the checkpoint to resume from; empty for none.
	Checkpoint string
	// Deadline is when the lease expires, in ms on the worker's clock.
	Deadline int64
}

// Stop is a command to end a run, or to reject it if its start arrives later.
type Stop struct {
	Token uint64
	Task  string
	Run   uint64
}

// Client sends requests to workers. Each call returns the worker's clock in ms at the
// time of the response. The failure code worker_vanished means that another incarnation
// answers at the address; stale_epoch means that a newer token or run supersedes the
// request.
type Client interface {
	Poll(ctx context.Context, target Target, request Poll) (*Report, error)
	Start(ctx context.Context, target Target, start Start) (clock int64, err error)
	Stop(ctx context.Context, target Target, stop Stop) (clock int64, err error)
}
