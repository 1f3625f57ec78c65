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
	schedules = flag.Int("schedules", 400, "seeded schedules of the model check")
	firstSeed = flag.Uint64("first-seed", 1, "seed of the first schedule")
)

// totals of the schedules that were played.
type totals struct {
	sync.Mutex
	played int
	seen   counts
	// violation is the first one, found at seed.
	violation string
	seed      uint64
}

func (s *totals) add(seed uint64, seen counts, violation string) {
	s.Lock()
	defer s.Unlock()
	s.played++
	s.seen.add(seen)
	if violation != "" && s.violation == "" {
		s.violation, s.seed = violation, seed
	}
}

func (s *totals) violated() bool {
	s.Lock()
	defer s.Unlock()
	return s.violation != ""
}

// search plays schedules until one is violated.
func search(count int, faults planted) *totals {
	var next atomic.Int64
	var workers sync.WaitGroup
	sums := &totals{}
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for !sums.violated() {
				i := next.Add(1)
				if i > int64(count) {
					return
				}
				seed := *firstSeed + uint64(i) - 1
				seen, violation := runSchedule(seed, faults)
				sums.add(seed, seen, violation)
			}
		})
	}
	workers.Wait()
	return sums
}

// Replicas lose messages, disks, links and time in every combination while
// clients write and read; whatever a client was told stays true, and the log
// moves on when the faults stop.
func TestSchedules(t *testing.T) {
	is := is.New(t)
	s := search(*schedules, planted{})
	t.Logf("%d schedules: %+v", s.played, s.seen)
	if s.violated() {
		t.Fatalf("seed %d: %s", s.seed, s.violation)
	}
	is.True(s.seen.committed > 10**schedules) // the schedules do reach what they check
	is.True(s.seen.configurations > *schedules)
	is.True(s.seen.installed*4 > *schedules)
	is.True(s.seen.settled*2 > *schedules)
}

// One safeguard is taken away; the checker must then find a schedule that
// breaks a promise, or it would not notice that safeguard breaking either.
// TestScenarios has those that random schedules need too long for.
func TestPlantedFaults(t *testing.T) {
	cases := []struct {
		name   string
		faults planted
	}{
		{"messages leave before the sync", planted{sendBeforeSync: true}},
		{"a lost disk keeps its identity", planted{oldIdentity: true}},
		{"a minority is a quorum", planted{safeguards: safeguards{majority: true}}},
		{"reads skip the round", planted{safeguards: safeguards{readRounds: true}}},
		{"a leader stays without its quorum", planted{safeguards: safeguards{quorumContact: true}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := search(max(*schedules, 400)*20, c.faults)
			t.Logf("after %d schedules, seed %d: %s", s.played, s.seed, s.violation)
			is.New(t).True(s.violated())
		})
	}
}
