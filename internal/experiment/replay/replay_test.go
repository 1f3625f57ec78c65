package replay

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Half a day of a current deployment with every fault of the workload: no plan breaks
// an invariant, no guarantee is broken, every job ends, no policy beats the lower
// bound, and the same seed gives the same result.
func TestReplayKeepsInvariantsAndBounds(t *testing.T) {
	is := is.New(t)
	deployment := Deployments()[0]
	deployment.Window = 12 * time.Hour
	scenario := deployment.Make(3)
	bound := Bound(scenario)
	for _, policy := range Policies() {
		result := Replay(scenario, policy)
		is.Equal(result.Unfinished, 0)
		is.Equal(result.Breaches, 0)
		is.True(result.Mean >= bound)
		if policy.Name == "pinewinch" {
			is.Equal(result.BrokenGuarantees, 0)
			is.True(result.Completed > 100)
			again := Replay(deployment.Make(3), policy)
			is.Equal(result.Completions, again.Completions)
		}
	}
}
