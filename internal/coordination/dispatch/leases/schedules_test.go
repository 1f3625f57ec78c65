package leases_test

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// turmoil is how long faults come, calm how long a schedule then has to end its
	// work: leases, late orders and retries fit in several times.
	turmoil = 30 * time.Second
	calm    = 60 * time.Second
	// schedulesPerPlant is in how many schedules a planted fault has to show.
	schedulesPerPlant = 300
)

var tellStory = flag.Bool("story", false, "log what happened in a schedule that breaks a promise")

// TestMain gives rapid one seed, so that a run draws the same schedules as the
// last one; -rapid.checks and -rapid.seed on the command line go before it.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261202", "rapid.checks": "200", "rapid.nofailfile": "true", "rapid.shrinktime": "20s"} {
		_ = flag.Set(name, value)
	}
	os.Exit(m.Run())
}

// schedule is all that is drawn of one run; the network's luck follows from seed.
type schedule struct {
	seed      uint64
	workflows int
	events    []event
	// turns and cancelAfter are the world's; zero and nil for orders that leave at once
	// and callers who stay.
	turns       time.Duration
	cancelAfter map[string]cancellation
}

func drawSchedule(t *rapid.T) schedule {
	s := schedule{seed: rapid.Uint64().Draw(t, "seed"), workflows: rapid.IntRange(1, 4).Draw(t, "workflows")}
	for range rapid.IntRange(0, 14).Draw(t, "events") {
		s.events = append(s.events, event{
			at:    time.Duration(rapid.IntRange(0, int(turmoil.Milliseconds())).Draw(t, "at")) * time.Millisecond,
			kind:  rapid.SampledFrom(eventKinds).Draw(t, "kind"),
			which: rapid.IntRange(0, 5).Draw(t, "which"),
		})
	}
	return s
}

// Two runs of a task, a run after its good end, or work that never ends, under any schedule.
func TestRunsAndLeasesUnderAnySchedule(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		s := drawSchedule(rt)
		if broken := playSchedule(t, s, noPlant); broken != "" {
			rt.Fatalf("%s", broken)
		}
	})
}

// Each safeguard of the leases is taken away in turn. If the checks let the world
// without it pass, they would let a mistake in it pass as well.
func TestPlantedFaultsAreCaught(t *testing.T) {
	plants := map[string]plant{
		"ends acknowledged before the log has them":    acknowledgeAtOnce,
		"a silent worker's runs taken for ended":       leaseOverAtOnce,
		"orders without leadership":                    neverStale,
		"the answer to a stop taken for the end":       stopIsReport,
		"leases longer than the wait for their ending": longLease,
	}
	for name, planted := range plants {
		t.Run(name, func(t *testing.T) {
			drawn := rapid.Custom(drawSchedule)
			for n := range schedulesPerPlant {
				if playSchedule(t, drawn.Example(n), planted) != "" {
					t.Logf("caught in schedule %d", n)
					return
				}
			}
			t.Fatal("not caught")
		})
	}
}

// playSchedule gives the first broken promise, or nothing.
func playSchedule(t *testing.T, s schedule, planted plant) (broken string) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(s.seed, planted)
		ctx, cancel := context.WithCancel(context.Background())
		w.begin(ctx, s)
		w.turmoil(s)
		w.heal()
		end := time.Now().Add(calm)
		for time.Now().Before(end) && w.unfinished() {
			time.Sleep(time.Second)
		}
		broken = w.verdict()
		if broken != "" && *tellStory {
			t.Log(strings.Join(w.story, "\n"))
		}
		cancel()
		// What is still on its way arrives before the world ends.
		time.Sleep(15 * time.Second)
	})
	return broken
}

func (w *world) begin(ctx context.Context, s schedule) {
	w.mu.Lock()
	w.term, w.leader, w.chaos = 1, w.instances[0], 3
	w.turns, w.cancelAfter = s.turns, s.cancelAfter
	for n := range s.workflows {
		w.submit(n)
	}
	w.mu.Unlock()
	for _, i := range w.instances {
		go i.keeper.Run(ctx)
		go func() {
			for ctx.Err() == nil {
				i.act(ctx)
				time.Sleep(100 * time.Millisecond)
			}
		}()
	}
}

// submit hands in a workflow of two steps: tasks by themselves and a gang.
func (w *world) submit(n int) {
	id := fmt.Sprint("f", n)
	size := 2 + n%2
	w.work[id] = []time.Duration{longWork, shortWork}[n%2]
	w.gangs[id+".0.1"] = size
	w.apply(&controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: &controlpb.Workflow{
		Id: id, Queue: "q", Specification: specificationOf(id), SharedEnds: true, MaxAttempts: 50,
		Steps: []*controlpb.Step{
			{Count: 2, RunTimeMs: w.work[id].Milliseconds()},
			{Count: uint32(size), RunTimeMs: w.work[id].Milliseconds(), Gang: true, After: []uint32{0}},
		},
	}}}})
}

func (w *world) unfinished() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(time.Now())
	if w.broken != "" {
		return false
	}
	for _, b := range w.boots {
		if !b.down && len(b.running) > 0 {
			return true
		}
	}
	return len(w.state.ActiveJobs()) > 0
}

func (w *world) verdict() string {
	if w.unfinished() {
		w.mu.Lock()
		defer w.mu.Unlock()
		return fmt.Sprintf("work has not ended %s after the last fault: %d jobs, first %v", calm, len(w.state.ActiveJobs()), w.state.ActiveJobs()[:min(1, len(w.state.ActiveJobs()))])
	}
	return w.broken
}
