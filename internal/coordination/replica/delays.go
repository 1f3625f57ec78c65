package replica

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/recent"
)

// strain is what held this replica up lately. When a leader is lost it tells a process
// that stood still, or waited for its disk, from a leader that fell silent.
type strain struct {
	// began is when the newer of two windows did.
	began      time.Time
	turn, sync recent.Max[time.Duration]
}

// holdUps are those that are seen at one time.
type holdUps struct {
	// turn lies between two looks at the clock, sync is one append to the log.
	turn, sync time.Duration
}

// strainWindow, in election timeouts, is longer than the longest of them, after which an
// election begins.
const strainWindow = 3

func (s *strain) note(now time.Time, window time.Duration, seen holdUps) {
	if now.Sub(s.began) >= window {
		s.turn.Rotate()
		s.sync.Rotate()
		s.began = now
	}
	s.turn.Observe(seen.turn)
	s.sync.Observe(seen.sync)
}

// fields are the longest hold-ups of the newest one to two windows, and for how long the
// leader, or on a leader its quorum, had not been heard.
func (s *strain) fields(before consensus.Status, tick time.Duration) logrus.Fields {
	silent := before.LeaderAge
	if before.Role == consensus.Leader {
		silent = before.QuorumAge
	}
	return logrus.Fields{
		"timeout_ms":      (time.Duration(before.ElectionTicks) * tick).Milliseconds(),
		"silent_ms":       (time.Duration(silent) * tick).Milliseconds(),
		"longest_turn_ms": s.turn.Value().Milliseconds(),
		"longest_sync_ms": s.sync.Value().Milliseconds(),
	}
}
