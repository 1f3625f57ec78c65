package replay

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
)

// interferenceDeployment is a day's part of short work that leaves some room.
func interferenceDeployment(load float64) Deployment {
	return Deployment{
		Name: "interference", Workers: 24, PerRack: 12, DataCentres: 2, Cores: 64, MemoryMB: 256 << 10,
		Accelerators: func(int) uint32 { return 8 }, Customers: 4, Load: load, Window: time.Hour,
		mix: []classMix{
			{name: "price", share: 30, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 4 * time.Minute},
			{name: "scan", share: 20, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 5 * time.Minute},
			{name: "blend", share: 20, tasks: 1, accelerators: 2, cores: 4, adjacency: onWorker, median: 5 * time.Minute},
			{name: "span", share: 15, tasks: 4, accelerators: 1, cores: 2, adjacency: inRack, median: 6 * time.Minute},
			{name: "call", share: 15, tasks: 1, accelerators: 1, cores: 2, adjacency: anywhere, median: 2 * time.Minute, urgent: true},
		},
	}
}

// With a pair that disturbs, work completes earlier if the classes are kept apart; without
// one, the estimate must not cost anything.
func TestInterferenceInReplay(t *testing.T) {
	is := is.New(t)
	for _, load := range []float64{0.5, 0.9} {
		var with, without time.Duration
		var changed, placed, pairs int
		for seed := range uint64(2) {
			run := func(slowdown map[scheduling.ClassPair]float64, separate bool) *Result {
				scenario := interferenceDeployment(load).Make(seed)
				scenario.BadWorker, scenario.Slowdown, scenario.SeparateClasses = "", slowdown, separate
				result := Replay(scenario, Policy{"pinewinch", func(s *scheduling.Snapshot) *scheduling.Plan {
					plan := scheduling.Pass(s)
					changed += len(plan.Separations)
					placed += len(plan.Assignments)
					pairs = max(pairs, len(s.Interference))
					return plan
				}})
				is.Equal(result.Breaches, 0)
				is.Equal(result.Unfinished, 0)
				return result
			}
			disturbed := map[scheduling.ClassPair]float64{{Victim: "price", Aggressor: "scan"}: 2}
			without += run(disturbed, false).Mean
			with += run(disturbed, true).Mean
			is.True(slices.Equal(run(nil, true).Completions, run(nil, false).Completions))
		}
		t.Logf("load %.2f: mean completion %s without, %s with (%.3f); %d of %d placements changed, at most %d pairs",
			load, without/2, with/2, with.Seconds()/without.Seconds(), changed, placed, pairs)
		is.True(changed > 0)
		is.True(float64(with) < 1.01*float64(without))
	}
}
