package gang_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// leaderLife is shorter than StopWait.
const leaderLife = 4 * time.Second

// stoppingGang is a gang that is being stopped since one of its workers is lost.
func stoppingGang(t *testing.T) *model {
	m := gangOf(3, &controlpb.Job{RunTimeMs: 60000, Idempotent: true})
	m.untilState(t, running)
	m.worker("w0").up = false
	m.untilState(t, stopping)
	return m
}

// A stop that no leader lives long enough to end: each counted the wait for a silent
// member's lease anew.
func TestStopEndsThoughLeadersAreLost(t *testing.T) {
	is := is.New(t)
	m := stoppingGang(t)
	stopped := m.real
	led := m.real
	m.until(t, "the end of the stop", func() bool {
		if m.real-led >= leaderLife {
			m.alternate()
			led = m.real
		}
		return m.job().State != stopping
	})
	is.True(m.real-stopped <= config.StopWait()+leaderLife)
}

// A leader that was not there when the stop was committed waits in full.
func TestLeaderThatHasJustStartedWaitsInFull(t *testing.T) {
	is := is.New(t)
	m := stoppingGang(t)
	for stopped := m.real; m.real-stopped < config.StopWait()/2; {
		m.round()
	}
	m.newLeader(steady())
	led := m.real
	m.until(t, "the end of the stop", func() bool { return m.job().State != stopping })
	is.True(m.real-led >= config.StopWait())
}

// A stop of a later epoch that takes over the wait of an earlier one, of which the end
// was never seen: its accelerators would be given away under runs that go on.
func TestStopOfALaterEpochIsWaitedForAnew(t *testing.T) {
	is := is.New(t)
	machine, now := gang.New(config), epochStart
	job := &controlpb.Job{
		Id: "j", Tasks: 1, Epoch: 1, Idempotent: true, StartedMs: 1, State: stopping, NextState: waiting,
		Placements: []*controlpb.Placement{{Worker: "w", Incarnation: 1}},
	}
	machine.Follow(now, []*controlpb.Job{job})
	later := proto.CloneOf(job)
	later.Epoch = 2
	now = now.Add(2 * config.StopWait())
	machine = machine.NextTerm()
	is.True(machine.Step(&gang.Input{Now: now, Jobs: []*controlpb.Job{later}}).Batch == nil)
	now = now.Add(config.StopWait())
	is.Equal(len(machine.Step(&gang.Input{Now: now, Jobs: []*controlpb.Job{later}}).Batch.GetMoves()), 1)
}
