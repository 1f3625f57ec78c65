package detector

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var config = Config{InitialDelay: 10 * time.Minute, MinDelay: 5 * time.Second, MaxDelay: 2 * time.Hour, RepairCost: time.Hour}

func addOutages(d *Detector, peer string, count int, outage time.Duration) {
	for range count {
		d.ObserveReturn(peer, outage)
	}
}

func TestDelay(t *testing.T) {
	tests := map[string]struct {
		record func(d *Detector)
		want   time.Duration
	}{
		"no history":            {func(*Detector) {}, 10 * time.Minute},
		"too few samples":       {func(d *Detector) { addOutages(d, "p", minSamples-1, time.Minute) }, 10 * time.Minute},
		"own history":           {func(d *Detector) { addOutages(d, "p", minSamples, time.Minute); addOutages(d, "q", 50, time.Hour) }, 75 * time.Second},
		"history of others":     {func(d *Detector) { addOutages(d, "q", minSamples, time.Minute) }, 75 * time.Second},
		"not below MinDelay":    {func(d *Detector) { addOutages(d, "p", minSamples, time.Millisecond) }, 5 * time.Second},
		"not above MaxDelay":    {func(d *Detector) { addOutages(d, "p", 60, 3*time.Hour) }, 2 * time.Hour},
		"some long among short": {func(d *Detector) { addOutages(d, "p", 59, time.Minute); addOutages(d, "p", 5, time.Hour) }, 75 * time.Minute},
		"losses raise cost of waiting": {func(d *Detector) {
			addOutages(d, "p", 59, time.Minute)
			addOutages(d, "p", 5, time.Hour)
			addLosses(d, 20)
		}, 75 * time.Second},
		"outages too long to wait for": {func(d *Detector) { addOutages(d, "p", 60, 100*time.Hour) }, 5 * time.Second},
		"loss discards history": {func(d *Detector) {
			addOutages(d, "p", 8, time.Minute)
			d.ObserveLoss("p")
			addOutages(d, "q", 60, time.Hour)
		}, 75 * time.Minute},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			d := New(config)
			test.record(d)
			is.New(t).Equal(d.Delay("p", 0, 3), test.want)
		})
	}
}

// While other replicas are missing already, a loss must be repaired sooner.
func TestMissingReplicasShortenTheDelay(t *testing.T) {
	for _, rule := range []Rule{Cost, Quantile} {
		is, d := is.New(t), New(config)
		d.config.Rule = rule
		addOutages(d, "p", 59, time.Minute)
		addOutages(d, "p", 5, time.Hour)
		addLosses(d, 1)
		is.Equal(d.Delay("p", 0, 5), 75*time.Minute)
		is.Equal(d.Delay("p", 5, 5), 75*time.Second)
	}
}

func addLosses(d *Detector, count int) {
	for range count {
		d.ObserveLoss("other")
	}
}

// Whatever the history, both rules keep delays within the limits and never lengthen
// them when more replicas are missing, and memory stays limited.
func TestModelBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(config)
		d.config.Rule = rapid.SampledFrom([]Rule{Cost, Quantile}).Draw(t, "rule")
		for range rapid.IntRange(0, 400).Draw(t, "silences") {
			d.ObserveReturn("p", time.Duration(rapid.Int64Range(0, int64(5*time.Hour)).Draw(t, "silence")))
		}
		addLosses(d, rapid.IntRange(0, 50).Draw(t, "lost"))
		noneMissing, oneMissing := d.Delay("p", 0, 5), d.Delay("p", 1, 5)
		if noneMissing < config.MinDelay || noneMissing > config.MaxDelay || oneMissing > noneMissing {
			t.Fatalf("delays %s and, with one missing, %s", noneMissing, oneMissing)
		}
		if len(d.peers["p"].outagesOrNil()) > peerWindow || len(d.pool.outages) > poolWindow {
			t.Fatal("history exceeds its limit")
		}
	})
}

func (h *history) outagesOrNil() []time.Duration {
	if h == nil {
		return nil
	}
	return h.outages
}
