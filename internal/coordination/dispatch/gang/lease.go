package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Config of the decisions. Every instance must have the same Lease,
// FreshnessBound and AnnounceEvery: StopWait is derived from them.
type Config struct {
	// Lease is how long a worker may run a task after it sent the announcement
	// that was answered with a renewal.
	Lease time.Duration
	// FreshnessBound is the oldest control state on which an instance renews a
	// lease, and the oldest confirmation on which a leader sends a command.
	FreshnessBound time.Duration
	// AnnounceEvery is how often a worker announces itself.
	AnnounceEvery time.Duration
	// StallAfter is how long the work of a running task may stand still; 0 where
	// workers report no progress.
	StallAfter time.Duration
	// CommandTimeout bounds one command to a worker.
	CommandTimeout time.Duration
}

const (
	// maxDrift is how much faster or slower than real time a clock may run: 1%,
	// twenty times what clock discipline allows itself (500 parts per million).
	maxDrift = 0.01
	// delivery is how long a batch of the followed log may be on its way after its
	// age was written into it.
	delivery = time.Second
	// enforcement is how long a worker may take from the end of a lease to the end
	// of the task.
	enforcement = 500 * time.Millisecond
)

// StopWait is how long after the commit of STOPPING, by the leader's clock, the
// lease of a member that did not acknowledge has surely run out. Who led at the
// commit plays no part, so a replica that had applied it by then may count from there.
//
// Let c be the commit. An instance that renews at e holds a state without the
// stop, and that state was confirmed no more than FreshnessBound before e by the
// instance's clock; what was confirmed after c has the stop. So
// e < c + FreshnessBound/(1-maxDrift) + delivery. A renewal answers an
// announcement that was sent before e, and the worker counts the lease from its
// sending, so the last lease ends before e + Lease/(1-maxDrift) + enforcement.
// How late the answer arrives does not matter.
//
// A command of this leader before c, or of a deposed one, is bounded alike: the
// sender notes the worker's newest announcement first, then checks that its
// leadership was confirmed within FreshnessBound, then sends; the worker counts
// the lease from that announcement. A command held back by a frozen sender or by
// the network arrives with its lease spent.
//
// The leader's own clock may run fast, so it waits (1+maxDrift) times the sum.
func (c Config) StopWait() time.Duration {
	held := float64(c.FreshnessBound+c.Lease)/(1-maxDrift) + float64(delivery+enforcement)
	return time.Duration((1 + maxDrift) * held)
}

// grace is how long a member may be unheard of without being taken as vanished,
// when the leader cannot tell an absent worker from one it has not heard yet:
// the life of an announcement.
func (c Config) grace() time.Duration { return api.AnnouncementsMissed * c.AnnounceEvery }

// startTimeout bounds a gang's start: each member gets two commands, and a new
// leader may have to hear of the workers first.
func (c Config) startTimeout() time.Duration { return 2*c.CommandTimeout + c.grace() }
