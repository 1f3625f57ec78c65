package consensus

import (
	"flag"
	"runtime"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"
)

var (
	schedules = flag.Int("schedules", 400, "number of seeded schedules that the model check runs")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// searchResult accumulates the results of the schedules run.
type searchResult struct {
	sync.Mutex
	schedules int
	coverage  coverage
	// violation is the first one found, in the schedule of this seed.
	violation string
	seed      uint64
}

func (s *searchResult) add(seed uint64, seen coverage, violation string) {
	s.Lock()
	defer s.Unlock()
	s.schedules++
	s.coverage.add(seen)
	if violation != "" && s.violation == "" {
		s.violation, s.seed = violation, seed
	}
}

func (s *searchResult) violated() bool {
	s.Lock()
	defer s.Unlock()
	return s.violation != ""
}

// search runs schedules until one of them finds a violation.
func search(count int, faults injectedFaults) *searchResult {
	var next atomic.Int64
	var workers sync.WaitGroup
	result := &searchResult{}
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for !result.violated() {
				i := next.Add(1)
				if i > int64(count) {
					return
				}
				seed := *firstSeed + uint64(i) - 1
				seen, violation := runSchedule(seed, faults)
				result.add(seed, seen, violation)
			}
		})
	}
	workers.Wait()
	return result
}

// Replicas lose messages, disks, links and time in random combinations while clients
// write and read. Everything that was acknowledged to a client must remain true, and
// the log must make progress once the faults stop.
func TestSchedules(t *testing.T) {
	is := is.New(t)
	s := search(*schedules, injectedFaults{})
	t.Logf("%d schedules: %+v", s.schedules, s.coverage)
	if s.violated() {
		t.Fatalf("seed %d: %s", s.seed, s.violation)
	}
	is.True(s.coverage.committed > 10**schedules) // the schedules exercise what they check
	is.True(s.coverage.configurations > *schedules)
	is.True(s.coverage.installed*4 > *schedules)
	is.True(s.coverage.recovered*2 > *schedules)
}

// With one safeguard disabled, the checker must find a schedule that violates an
// invariant; otherwise it would not detect a defect in that safeguard either.
// TestScenarios covers the safeguards for which random schedules take too long.
func TestInjectedFaultsAreDetected(t *testing.T) {
	cases := []struct {
		name   string
		faults injectedFaults
	}{
		{"messages are sent before the sync", injectedFaults{sendBeforeSync: true}},
		{"a replica with a lost disk keeps its identity", injectedFaults{reuseIdentity: true}},
		{"a minority is a quorum", injectedFaults{safeguards: safeguards{majority: true}}},
		{"reads do not wait for their round", injectedFaults{safeguards: safeguards{readRounds: true}}},
		{"a leader without a quorum does not step down", injectedFaults{safeguards: safeguards{checkQuorum: true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := search(max(*schedules, 400)*20, c.faults)
			t.Logf("after %d schedules, seed %d: %s", s.schedules, s.seed, s.violation)
			is.New(t).True(s.violated())
		})
	}
}
