package replica

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
)

// A leader that was lost, with lines that leave open whether it fell silent, or this
// process stood still, or the disk did.
func TestLossOfTheLeaderSaysWhatHeldUp(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		leader := startAll(m)
		propose(is, leader, "before")
		other := m.other(leader)
		lines := test.NewLocal(other.config.Logger)
		m.freeze(leader.config.Instance)
		time.Sleep(2 * time.Second)
		lost := lines.AllEntries()[0]
		is.Equal(lost.Message, "control log")
		is.True(lost.Data["silent_ms"].(int64) >= electionTimeout.Milliseconds()/2)
		is.True(lost.Data["longest_turn_ms"].(int64) < electionTimeout.Milliseconds()/2)
		is.Equal(lost.Data["longest_sync_ms"], int64(0))
	})
}

func TestStrainForgetsWhatIsLongAgo(t *testing.T) {
	is := is.New(t)
	const window = time.Second
	at := time.Unix(1_800_000_000, 0)
	s := strain{}
	longest := func() logrus.Fields {
		return s.fields(consensus.Status{LeaderAge: 7, ElectionTicks: 10}, 40*time.Millisecond)
	}
	s.note(at, window, holdUps{turn: 300 * time.Millisecond})
	s.note(at.Add(window), window, holdUps{sync: 200 * time.Millisecond})
	is.Equal(longest(), logrus.Fields{"timeout_ms": int64(400), "silent_ms": int64(280), "longest_turn_ms": int64(300), "longest_sync_ms": int64(200)})
	s.note(at.Add(2*window), window, holdUps{})
	is.Equal(longest()["longest_turn_ms"], int64(0))
	is.Equal(longest()["longest_sync_ms"], int64(200))
}
