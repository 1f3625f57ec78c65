package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/recent"
)

// delayTracker tracks the longest recent delays of this replica. When the leader is
// lost, they distinguish a pause of this process, or a slow disk, from a leader that
// stopped sending.
type delayTracker struct {
	// began is the start of the newer of the two windows.
	began         time.Time
	tickGap, sync recent.Max[time.Duration]
}

// delays are observed together.
type delays struct {
	// tickGap is the time between two clock readings, sync the duration of one append to
	// the log.
	tickGap, sync time.Duration
}

// delayWindow, in election timeouts, exceeds the longest randomised timeout after which
// an election starts, as long as the timeout has not adapted to pauses.
const delayWindow = 3

func (d *delayTracker) record(now time.Time, window time.Duration, observed delays) {
	if now.Sub(d.began) >= window {
		d.tickGap.Rotate()
		d.sync.Rotate()
		d.began = now
	}
	d.tickGap.Observe(observed.tickGap)
	d.sync.Observe(observed.sync)
}

// fields returns the log fields with the longest delays of the newest one to two windows
// and the time since the last contact with the leader or, on a leader, with its quorum.
func (d *delayTracker) fields(previous consensus.Status, tick time.Duration) logrus.Fields {
	sinceContact := previous.LeaderAge
	if previous.Role == consensus.Leader {
		sinceContact = previous.QuorumAge
	}
	return logrus.Fields{
		"timeout_ms":      (time.Duration(previous.ElectionTicks) * tick).Milliseconds(),
		"silent_ms":       (time.Duration(sinceContact) * tick).Milliseconds(),
		"longest_turn_ms": d.tickGap.Value().Milliseconds(),
		"longest_sync_ms": d.sync.Value().Milliseconds(),
	}
}
