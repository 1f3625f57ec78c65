package gang_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// leaderLifetime is shorter than StopWait.
const leaderLifetime = 4 * time.Second

// newStoppingGangModel returns a model with a gang that is being stopped because one of
// its workers was lost.
func newStoppingGangModel(t *testing.T) *model {
	m := newGangModel(3, &controlpb.Job{RunTimeMs: 60000, Idempotent: true})
	m.untilState(t, running)
	m.worker("w0").up = false
	m.untilState(t, stopping)
	return m
}

// A stop must end even if every leader is lost before StopWait has passed. It would not
// if each leader restarted the wait for the lease of an unreachable member.
func TestStopCompletesAcrossLeaderChanges(t *testing.T) {
	is := is.New(t)
	m := newStoppingGangModel(t)
	stoppedAt := m.elapsed
	electedAt := m.elapsed
	m.until(t, "the end of the stop", func() bool {
		if m.elapsed-electedAt >= leaderLifetime {
			m.promoteStandby()
			electedAt = m.elapsed
		}
		return m.job().State != stopping
	})
	is.True(m.elapsed-stoppedAt <= config.StopWait()+leaderLifetime)
}

// A leader that was not running when the stop was committed waits for the full StopWait.
func TestNewlyStartedLeaderWaitsFullStopWait(t *testing.T) {
	is := is.New(t)
	m := newStoppingGangModel(t)
	for stoppedAt := m.elapsed; m.elapsed-stoppedAt < config.StopWait()/2; {
		m.round()
	}
	m.replaceLeader(exactClock())
	electedAt := m.elapsed
	m.until(t, "the end of the stop", func() bool { return m.job().State != stopping })
	is.True(m.elapsed-electedAt >= config.StopWait())
}

// The stop of a later epoch must not inherit the wait of an earlier epoch whose end this
// instance never saw: accelerators would be released while tasks still run on them.
func TestStopOfLaterEpochRestartsWait(t *testing.T) {
	is := is.New(t)
	machine, now := gang.New(config), epochStart
	job := &controlpb.Job{
		Id: "j", Tasks: 1, Epoch: 1, Idempotent: true, StartedMs: 1, State: stopping, NextState: waiting,
		Placements: []*controlpb.Placement{{Worker: "w", Incarnation: 1}},
	}
	machine.ObserveStops(now, []*controlpb.Job{job})
	later := proto.CloneOf(job)
	later.Epoch = 2
	now = now.Add(2 * config.StopWait())
	machine = machine.NextTerm()
	is.True(machine.Step(&gang.Input{Now: now, Jobs: []*controlpb.Job{later}}).Batch == nil)
	now = now.Add(config.StopWait())
	is.Equal(len(machine.Step(&gang.Input{Now: now, Jobs: []*controlpb.Job{later}}).Batch.GetMoves()), 1)
}
