package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var config = Config{First: 10 * time.Minute, Least: 5 * time.Second, Most: 2 * time.Hour, RepairCost: time.Hour}

func repeat(d *Detector, peer string, count int, silence time.Duration) {
	for range count {
		d.Returned(peer, silence)
	}
}

func TestDelay(t *testing.T) {
	tests := map[string]struct {
		learn func(d *Detector)
		want  time.Duration
	}{
		"nothing known":             {func(*Detector) {}, 10 * time.Minute},
		"too little known":          {func(d *Detector) { repeat(d, "p", fewest-1, time.Minute) }, 10 * time.Minute},
		"own history":               {func(d *Detector) { repeat(d, "p", fewest, time.Minute); repeat(d, "q", 50, time.Hour) }, 75 * time.Second},
		"history of others":         {func(d *Detector) { repeat(d, "q", fewest, time.Minute) }, 75 * time.Second},
		"never below the least":     {func(d *Detector) { repeat(d, "p", fewest, time.Millisecond) }, 5 * time.Second},
		"never above the most":      {func(d *Detector) { repeat(d, "p", 60, 3*time.Hour) }, 2 * time.Hour},
		"some long among short":     {func(d *Detector) { repeat(d, "p", 59, time.Minute); repeat(d, "p", 5, time.Hour) }, 75 * time.Minute},
		"losses make a wait dearer": {func(d *Detector) { repeat(d, "p", 59, time.Minute); repeat(d, "p", 5, time.Hour); lose(d, 20) }, 75 * time.Second},
		"always away is replaced":   {func(d *Detector) { repeat(d, "p", 60, 100*time.Hour) }, 5 * time.Second},
		"a lost peer starts anew":   {func(d *Detector) { repeat(d, "p", 8, time.Minute); d.Lost("p"); repeat(d, "q", 60, time.Hour) }, 75 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(config)
			test.learn(d)
			is.New(t).Equal(d.Delay("p", 0, 3), test.want)
		})
	}
}

// While other replicas are away already, a loss must be repaired sooner.
func TestMissingReplicasShortenTheDelay(t *testing.T) {
	for _, rule := range []Rule{Cost, Quantile} {
		is, d := is.New(t), New(config)
		d.config.Rule = rule
		repeat(d, "p", 59, time.Minute)
		repeat(d, "p", 5, time.Hour)
		lose(d, 1)
		is.Equal(d.Delay("p", 0, 5), 75*time.Minute)
		is.Equal(d.Delay("p", 5, 5), 75*time.Second)
	}
}

func lose(d *Detector, count int) {
	for range count {
		d.Lost("other")
	}
}

// Whatever the history, delays stay in their bounds, both rules shorten them or
// leave them as more replicas are missing, and memory stays bounded.
func TestModelBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(config)
		d.config.Rule = rapid.SampledFrom([]Rule{Cost, Quantile}).Draw(t, "rule")
		for range rapid.IntRange(0, 400).Draw(t, "silences") {
			d.Returned("p", time.Duration(rapid.Int64Range(0, int64(5*time.Hour)).Draw(t, "silence")))
		}
		lose(d, rapid.IntRange(0, 50).Draw(t, "lost"))
		whole, thin := d.Delay("p", 0, 5), d.Delay("p", 1, 5)
		if whole < config.Least || whole > config.Most || thin > whole {
			t.Fatalf("delays %s and, with one missing, %s", whole, thin)
		}
		if len(d.peers["p"].silencesOrNone()) > window || len(d.pool.silences) > poolWindow {
			t.Fatal("history over its bound")
		}
	})
}

func (h *history) silencesOrNone() []time.Duration {
	if h == nil {
		return nil
	}
	return h.silences
}
