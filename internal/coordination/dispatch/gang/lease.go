package gang

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Config holds the timing parameters of a Machine. Lease, FreshnessBound and
// AnnounceEvery must be the same on every instance: StopWait is derived from them.
type Config struct {
	// Lease is how long a worker may run a task, counted from when it sent the
	// announcement that was answered with the renewal.
	Lease time.Duration
	// FreshnessBound is the maximum age of the control state from which an instance
	// renews a lease, and of the leadership confirmation on which a leader sends a
	// command.
	FreshnessBound time.Duration
	// AnnounceEvery is the interval between the announcements of a worker.
	AnnounceEvery time.Duration
	// StallAfter is how long the progress of a running task may stay unchanged before
	// the task counts as stalled; 0 turns the check off, for workers that report no
	// progress.
	StallAfter time.Duration
	// ResumeAtOnce places a gang again without a delay after the loss of a member.
	ResumeAtOnce bool
	// CommandTimeout is the time limit of one command to a worker.
	CommandTimeout time.Duration
}

const (
	// maxDrift is the largest assumed rate error of a clock: 1%, which is twenty
	// times the frequency correction that clock discipline allows, 500 ppm.
	maxDrift = 0.01
	// maxLogDelay limits the time in transit of a batch of the replicated log after
	// its age was written into it.
	maxLogDelay = time.Second
	// maxEnforcementDelay limits the time a worker takes to end a task after the
	// task's lease has expired.
	maxEnforcementDelay = 500 * time.Millisecond
)

// StopWait is the time after the commit of STOPPING, on the leader's clock, by which
// the lease of a member that did not acknowledge the stop has certainly expired. It
// does not depend on which instance led at the commit, so a replica may count it from
// when it applied the commit.
//
// Let c be the time of the commit. An instance that renews a lease at time e has a
// state without the stop, confirmed at most FreshnessBound before e on that
// instance's clock; any state confirmed after c contains the stop. Hence
// e < c + FreshnessBound/(1-maxDrift) + maxLogDelay. The renewal answers an
// announcement sent before e, and the worker counts the lease from when it sent the
// announcement, so the last lease ends before
// e + Lease/(1-maxDrift) + maxEnforcementDelay, however late the answer arrives.
//
// A command sent before c by this leader or by a deposed one has the same bound: the
// sender first reads the worker's newest announcement, then checks that its
// leadership was confirmed within FreshnessBound, then sends; the worker counts the
// lease from that announcement. A command delayed by a paused sender or by the
// network arrives with its lease expired.
//
// The leader's clock may run fast, so the sum is multiplied by 1+maxDrift.
func (c Config) StopWait() time.Duration {
	leaseBound := float64(c.FreshnessBound+c.Lease)/(1-maxDrift) + float64(maxLogDelay+maxEnforcementDelay)
	return time.Duration((1 + maxDrift) * leaseBound)
}

// announcementTTL is how long an announcement stays valid. A member counts as vanished
// only after it was missing for this long, because a leader cannot tell an absent
// worker from one whose announcement has not reached it yet.
func (c Config) announcementTTL() time.Duration { return api.MaxMissedAnnouncements * c.AnnounceEvery }

// startTimeout is the time limit of the start of a gang: two commands to each member (reserve and
// start), plus the time in which a new leader receives the workers' announcements.
func (c Config) startTimeout() time.Duration { return 2*c.CommandTimeout + c.announcementTTL() }
