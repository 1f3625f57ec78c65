package workerspeed_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/workerspeed"
)

// Speeds must be estimated from gangs on random workers, or a gang would wait for one slow
// worker among fast ones.
func TestSpeedsAreEstimatedFromGangs(t *testing.T) {
	is := is.New(t)
	random := rand.New(rand.NewPCG(1, 1))
	speeds := []float64{0.8, 1, 1.25}
	estimator := &workerspeed.Estimator{}
	for gang := range 40 {
		work := 1.5 + 2*random.Float64()
		for _, worker := range random.Perm(60)[:8] {
			span := 0.5 + random.Float64()
			percent := math.Round(100 * span * speeds[worker%3] / work)
			rate := percent / span
			estimator.Observe(workerspeed.Run{Job: fmt.Sprint(gang)}, fmt.Sprint(worker), rate)
		}
	}
	estimated := estimator.Speeds()
	is.True(len(estimated) > 50)
	for worker, speed := range estimated {
		var number int
		_, err := fmt.Sscan(worker, &number)
		is.NoErr(err)
		is.True(math.Abs(speed-speeds[number%3]) < 0.1)
	}
}

// Workers without observations, or only with gangs of one member, have no speed: a single
// rate doesn't separate the work of the run from the speed of the worker.
func TestSingleMemberGangsGiveNoSpeeds(t *testing.T) {
	is := is.New(t)
	estimator := &workerspeed.Estimator{}
	is.Equal(len(estimator.Speeds()), 0)
	estimator.Observe(workerspeed.Run{Job: "a"}, "w", 3)
	is.Equal(len(estimator.Speeds()), 0)
}

// A worker becomes four times slower. Its earlier runs must be discarded as newer ones are
// observed, or urgent work would still be placed on it.
func TestSlowedWorkerIsDetected(t *testing.T) {
	is := is.New(t)
	estimator := &workerspeed.Estimator{}
	for gang := range 600 {
		for worker := range 8 {
			rate := 1.0
			if worker == 3 && gang >= 300 {
				rate = 0.25
			}
			estimator.Observe(workerspeed.Run{Job: fmt.Sprint(gang)}, fmt.Sprint(worker), rate)
		}
	}
	is.True(estimator.Speeds()["3"] < 0.35)
	is.True(math.Abs(estimator.Speeds()["4"]-1) < 0.05)
}
