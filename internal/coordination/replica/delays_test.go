package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
)

// Guards against log lines that, after the loss of a leader, leave open whether the
// leader stopped sending, this process was paused, or the disk was slow.
func TestLeaderLossLogsLongestDelays(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		propose(is, leader, "before")
		follower := m.other(leader)
		hook := test.NewLocal(follower.config.Logger)
		m.pause(leader.config.Instance)
		time.Sleep(2 * time.Second)
		entry := hook.AllEntries()[0]
		is.Equal(entry.Message, "control log")
		is.True(entry.Data["silent_ms"].(int64) >= electionTimeout.Milliseconds()/2)
		is.True(entry.Data["longest_turn_ms"].(int64) < electionTimeout.Milliseconds()/2)
		is.Equal(entry.Data["longest_sync_ms"], int64(0))
	})
}

func TestDelayTrackerForgetsOldDelays(t *testing.T) {
	is := is.New(t)
	const window = time.Second
	at := time.Unix(1_800_000_000, 0)
	s := delayTracker{}
	longest := func() logrus.Fields {
		return s.fields(consensus.Status{LeaderAge: 7, ElectionTicks: 10}, 40*time.Millisecond)
	}
	s.record(at, window, delays{tickGap: 300 * time.Millisecond})
	s.record(at.Add(window), window, delays{sync: 200 * time.Millisecond})
	is.Equal(longest(), logrus.Fields{"timeout_ms": int64(400), "silent_ms": int64(280), "longest_turn_ms": int64(300), "longest_sync_ms": int64(200)})
	s.record(at.Add(2*window), window, delays{})
	is.Equal(longest()["longest_turn_ms"], int64(0))
	is.Equal(longest()["longest_sync_ms"], int64(200))
}
