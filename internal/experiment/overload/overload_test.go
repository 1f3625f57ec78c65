package overload

import (
	"errors"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
)

// load returns the example deployment reduced to about half of its workers, so that a
// day is quick to simulate.
func load(t *testing.T) *Deployment {
	t.Helper()
	d, err := Load("../../../examples/overload/coedlinell-85.ini")
	is.New(t).NoErr(err)
	d.Workers, d.Customers, d.Arrivals, d.Length, d.Tail = 40, 8, 2.2, 20*time.Second, 10*time.Second
	return d
}

// Comparing variants over the same seeds requires that a seed always gives the same day
// and the same result.
func TestReplayIsDeterministic(t *testing.T) {
	is, d := is.New(t), load(t)
	is.Equal(Replay(d.Day(5), Variant{}), Replay(d.Day(5), Variant{}))
	is.True(Replay(d.Day(5), Variant{}).Score() != Replay(d.Day(6), Variant{}).Score())
}

// Under overload on workers of three speeds, a gang that mixes speeds ends with its slowest
// member: urgent work is late, and the accelerators of the other members idle meanwhile.
func TestSpeedMatchedGangsMeetMoreObjectivesUnderOverload(t *testing.T) {
	is, d := is.New(t), load(t)
	variants := []Variant{{Name: "all"}, {Name: "without", Off: scheduling.MatchSpeed}}
	c := Compare(d, variants, 1, 12, 2, func() {})
	inTime := func(results []*Result) (share float64) {
		for _, q := range sumQueues(results) {
			if q.Name == "clearance" {
				share = float64(q.OnTime) / float64(q.Total)
			}
		}
		return share
	}
	lost := func(results []*Result) (sum float64) {
		for _, r := range results {
			sum += r.Lost
		}
		return sum
	}
	is.True(inTime(c.Results[0]) > inTime(c.Results[1]))
	is.True(lost(c.Results[0]) < lost(c.Results[1]))
}

// Plans must keep the invariants of the pass, whichever mechanisms are disabled.
func TestPlansKeepInvariants(t *testing.T) {
	is, d := is.New(t), load(t)
	for _, disabled := range []scheduling.Mechanisms{0, scheduling.KeepWarm, scheduling.DelayForLocality, scheduling.MatchSpeed, scheduling.ExtendLocalityWait, scheduling.StartStarved} {
		is.Equal(Replay(d.Day(3), Variant{Off: disabled}).Breaches, 0)
		is.Equal(Replay(d.Day(3), Variant{Off: disabled, On: scheduling.Features{ExpectedEnd: true}}).Breaches, 0)
	}
}

func TestLoadRejectsInvalidDescriptions(t *testing.T) {
	for name, text := range map[string]string{
		"no queue":       "[deployment]\nworkers = 4\nworkers_per_rack = 2\nspeeds = 1\n",
		"not a number":   "[deployment]\nworkers = many\n",
		"no description": "",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			path := filepath.Join(t.TempDir(), "d.ini")
			is.NoErr(os.WriteFile(path, []byte(text), 0o600))
			_, err := Load(path)
			var problem *DescriptionError
			is.True(errors.As(err, &problem))
			is.True(strings.Contains(err.Error(), "d.ini"))
		})
	}
}

func TestParseMechanisms(t *testing.T) {
	is := is.New(t)
	set, err := scheduling.ParseMechanisms("keep-warm,match-pace")
	is.NoErr(err)
	is.Equal(set, scheduling.KeepWarm|scheduling.MatchSpeed)
	_, err = scheduling.ParseMechanisms("luck")
	is.True(err != nil)
}
