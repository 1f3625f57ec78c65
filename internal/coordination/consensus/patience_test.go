package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

var patientConfig = Config{ElectionTicks: 10, MostElectionTicks: 40, HeartbeatTicks: 3, MaxAppendBytes: 1 << 20, MaxInflight: 32}

// standstills freezes one replica after the other, for up to most ticks each, and lets it
// make up for the ticks as the driver does: a leader for all, the others for a few.
func (w *world) standstills(random *rand.Rand, ticks, most int) {
	for at := 0; at < ticks; {
		for range 10 + random.IntN(30) {
			w.round()
			at++
		}
		r := w.replicas[random.IntN(len(w.replicas))]
		stood := 1 + random.IntN(most)
		r.frozen = true
		for range stood {
			w.round()
			at++
		}
		r.frozen = false
		w.drain()
		r.node.StoodStill(stood)
		missed := stood
		if r.node.role != Leader {
			missed = min(stood, w.config.HeartbeatTicks)
		}
		for range missed {
			w.tick(r)
		}
		w.drain()
	}
}

func termOf(w *world) uint64 {
	var newest uint64
	for _, r := range w.replicas {
		newest = max(newest, r.node.term)
	}
	return newest
}

// Leaders are lost again and again on a machine whose processes stand still for longer than
// the shortest election timeout, and no leader lives for long enough to do anything.
func TestLeaderLivesWhereReplicasStandStill(t *testing.T) {
	lost := func(config Config) (terms uint64) {
		for seed := range uint64(20) {
			w := newWorld(seed, 3, config, planted{})
			random := rand.New(rand.NewPCG(seed, 9))
			w.standstills(random, 300, 18)
			learnt := termOf(w)
			w.standstills(random, 1500, 18)
			terms += termOf(w) - learnt
			if w.violation != "" {
				t.Fatalf("seed %d: %s", seed, w.violation)
			}
		}
		return terms
	}
	impatient := patientConfig
	impatient.MostElectionTicks = 0
	before, after := lost(impatient), lost(patientConfig)
	t.Logf("leaders lost in 20 x 1500 ticks: %d with a fixed timeout, %d with one that follows", before, after)
	is.New(t).True(after*10 <= before)
}

// A leader that dies where replicas had stood still leaves the log without a leader for
// longer than the longest timeout allows, or a calm hour later for as long still.
func TestPatienceIsBoundedAndForgotten(t *testing.T) {
	is := is.New(t)
	p := newPatience(patientConfig)
	is.Equal(p.ticks(), 10)
	p.learn(12)
	is.Equal(p.ticks(), 24)
	p.learn(30)
	is.Equal(p.ticks(), 40)
	p.pass(601)
	is.Equal(p.ticks(), 40)
	p.pass(1202)
	is.Equal(p.ticks(), 10)
	p.learn(41)
	is.Equal(p.ticks(), 10)
	p.hearLeader("a", 3, 1000)
	p.hearLeader("a", 4, 1015)
	is.Equal(p.ticks(), 10)
	p.hearLeader("a", 4, 1030)
	is.Equal(p.ticks(), 30)
}

// The loss of a leader is borne for the shortest timeout where nothing stood still.
func TestCalmLeaderIsReplacedSoon(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 3, patientConfig, planted{})
	for range 100 {
		w.round()
	}
	leader := w.leader()
	leader.down = true
	rounds := 0
	for ; w.leader() == nil && rounds < 100; rounds++ {
		w.round()
	}
	is.True(rounds <= 2*patientConfig.ElectionTicks+2)
}

// What a client was told does not stay true where election timeouts follow silences.
func TestSchedulesWithTimeoutsThatFollow(t *testing.T) {
	sums := search(*schedules/2, planted{patient: true})
	if sums.violation != "" {
		t.Fatalf("seed %d: %s", sums.seed, sums.violation)
	}
}
