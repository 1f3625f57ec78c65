package consensus

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

var adaptiveConfig = Config{ElectionTicks: 10, MaxElectionTicks: 40, HeartbeatTicks: 3, MaxAppendBytes: 1 << 20, MaxInflight: 32}

// pauseReplicas pauses one replica after another, for up to maxPause ticks each, and
// then makes up for the missed ticks as the driver does: all of them on a leader, at
// most HeartbeatTicks on the others.
func (sim *simulation) pauseReplicas(random *rand.Rand, ticks, maxPause int) {
	for at := 0; at < ticks; {
		for range 10 + random.IntN(30) {
			sim.round()
			at++
		}
		r := sim.replicas[random.IntN(len(sim.replicas))]
		length := 1 + random.IntN(maxPause)
		r.paused = true
		for range length {
			sim.round()
			at++
		}
		r.paused = false
		sim.drain()
		r.node.ObservePause(length)
		missed := length
		if r.node.role != Leader {
			missed = min(length, sim.config.HeartbeatTicks)
		}
		for range missed {
			sim.tick(r)
		}
		sim.drain()
	}
}

func newestTerm(sim *simulation) uint64 {
	var newest uint64
	for _, r := range sim.replicas {
		newest = max(newest, r.node.term)
	}
	return newest
}

// On a machine that pauses processes for longer than the minimum election timeout, a
// fixed timeout deposes leaders again and again before they make progress. The adaptive
// timeout must lose at most a tenth as many leaders.
func TestLeaderSurvivesProcessPauses(t *testing.T) {
	leadersLost := func(config Config) (terms uint64) {
		for seed := range uint64(20) {
			sim := newSimulation(seed, 3, config, injectedFaults{})
			random := rand.New(rand.NewPCG(seed, 9))
			sim.pauseReplicas(random, 300, 18)
			adapted := newestTerm(sim)
			sim.pauseReplicas(random, 1500, 18)
			terms += newestTerm(sim) - adapted
			if sim.violation != "" {
				t.Fatalf("seed %d: %s", seed, sim.violation)
			}
		}
		return terms
	}
	fixed := adaptiveConfig
	fixed.MaxElectionTicks = 0
	withFixed, withAdaptive := leadersLost(fixed), leadersLost(adaptiveConfig)
	t.Logf("leaders lost in 20 x 1500 ticks: %d with a fixed timeout, %d with an adaptive one", withFixed, withAdaptive)
	is.New(t).True(withAdaptive*10 <= withFixed)
}

// The adaptive timeout must neither exceed its maximum nor outlast the observation
// windows: otherwise the loss of a leader after a phase of pauses would leave the log
// without a leader for too long, even an hour after the last pause.
func TestElectionTimeoutIsBoundedAndDecays(t *testing.T) {
	is := is.New(t)
	timeout := newElectionTimeout(adaptiveConfig)
	is.Equal(timeout.ticks(), 10)
	timeout.observe(12)
	is.Equal(timeout.ticks(), 24)
	timeout.observe(30)
	is.Equal(timeout.ticks(), 40)
	timeout.tick(601)
	is.Equal(timeout.ticks(), 40)
	timeout.tick(1202)
	is.Equal(timeout.ticks(), 10)
	timeout.observe(41)
	is.Equal(timeout.ticks(), 10)
	timeout.observeLeader("a", 3, 1000)
	timeout.observeLeader("a", 4, 1015)
	is.Equal(timeout.ticks(), 10)
	timeout.observeLeader("a", 4, 1030)
	is.Equal(timeout.ticks(), 30)
}

// Without pauses, a failed leader must be replaced within the minimum election timeout
// and its jitter.
func TestFailedLeaderIsReplacedAfterShortestTimeout(t *testing.T) {
	is := is.New(t)
	sim := newSimulation(1, 3, adaptiveConfig, injectedFaults{})
	for range 100 {
		sim.round()
	}
	leader := sim.leader()
	leader.down = true
	rounds := 0
	for ; sim.leader() == nil && rounds < 100; rounds++ {
		sim.round()
	}
	is.True(rounds <= 2*adaptiveConfig.ElectionTicks+2)
}

// The model check with adaptive election timeouts: what was acknowledged to a client
// must remain true.
func TestSchedulesWithAdaptiveTimeouts(t *testing.T) {
	result := search(*schedules/2, injectedFaults{adaptiveTimeout: true})
	if result.violation != "" {
		t.Fatalf("seed %d: %s", result.seed, result.violation)
	}
}
