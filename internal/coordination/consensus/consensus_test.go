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

// search plays schedules until one is violated; it gives that seed, or 0.
func search(count int, faults planted) (seed uint64, found outcome, committed, settled int64) {
	var next, commits, settles atomic.Int64
	var once sync.Once
	var stop atomic.Bool
	var workers sync.WaitGroup
	for range min(4, runtime.GOMAXPROCS(0)) {
		workers.Go(func() {
			for !stop.Load() {
				i := next.Add(1)
				if i > int64(count) {
					return
				}
				tried := *firstSeed + uint64(i) - 1
				o := runSchedule(tried, faults)
				commits.Add(int64(o.committed))
				if o.settled {
					settles.Add(1)
				}
				if o.violation != "" {
					once.Do(func() { seed, found = tried, o })
					stop.Store(true)
				}
			}
		})
	}
	workers.Wait()
	return seed, found, commits.Load(), settles.Load()
}

// Replicas lose messages, disks, links and time in every combination while
// clients write and read; whatever a client was told stays true, and the log
// moves on when the faults stop.
func TestSchedules(t *testing.T) {
	is := is.New(t)
	seed, found, committed, settled := search(*schedules, planted{})
	t.Logf("%d schedules, %d entries committed, liveness checked in %d", *schedules, committed, settled)
	if seed != 0 {
		t.Fatalf("seed %d: %s", seed, found.violation)
	}
	is.True(committed > int64(*schedules)) // the schedules do commit
	is.True(settled > int64(*schedules)/2)
}
