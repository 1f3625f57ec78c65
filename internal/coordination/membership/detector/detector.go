// Package detector learns, for each peer, how long its silences are that end by
// themselves, and from that how long to wait before a silent peer counts as
// lost. It is pure: durations come in, a delay goes out.
//
// Two rules share the history. Quantile is that of the paper on
// availability-based methods for distributed storage systems that came with the
// brief, section 5 (equations 3 and 4): the delay of a peer is where the chance
// that a silence of that peer, which will end by itself, lasts longer falls to a
// tolerated one. Cost weighs the same chance against the time that a real loss
// waits, for each peer by itself. docs/design/failure-detection.md has the
// measurement by which Cost was chosen.
package detector

import (
	"slices"
	"time"
)

const (
	// window is how many silences of one peer are remembered.
	window = 64
	// poolWindow is how many silences of all peers together are remembered.
	poolWindow = 256
	// fewest is how many silences a peer's own history needs; a peer with less
	// is judged by all peers together, and those by the first delay.
	fewest = 8
)

// Config bounds the delays.
type Config struct {
	// First is the delay while too little is known.
	First time.Duration
	// Least and Most bound every delay.
	Least time.Duration
	Most  time.Duration
	Rule  Rule
	// RepairCost is, for Cost, how long a real loss may wait to save one
	// needless repair.
	RepairCost time.Duration
}

// Rule turns a peer's silences into a delay.
type Rule int

// The rules.
const (
	Cost Rule = iota
	Quantile
)

// Detector keeps the silences of peers. One goroutine uses it.
type Detector struct {
	config Config
	peers  map[string]*history
	pool   history
	ended  int
	lost   int
}

type history struct{ silences []time.Duration }

func (h *history) add(silence time.Duration, limit int) {
	h.silences = append(h.silences, silence)
	if len(h.silences) > limit {
		h.silences = h.silences[1:]
	}
}

// New makes a detector that knows nothing yet.
func New(config Config) *Detector {
	return &Detector{config: config, peers: map[string]*history{}}
}

// Returned notes that a peer's silence ended by itself.
func (d *Detector) Returned(peer string, silence time.Duration) {
	h := d.peers[peer]
	if h == nil {
		h = &history{}
		d.peers[peer] = h
	}
	h.add(silence, window)
	d.pool.add(silence, poolWindow)
	d.ended++
}

// Lost notes that a peer was given up and is no longer one.
func (d *Detector) Lost(peer string) {
	delete(d.peers, peer)
	d.lost++
}

// Delay is how long the peer may be silent before it counts as lost. Missing is
// how many of the wanted replicas are away now, this one not counted: the fewer
// are left, the more needless repairs are worth it.
func (d *Detector) Delay(peer string, missing, wanted int) time.Duration {
	silences := d.silences(peer)
	if silences == nil {
		return d.config.First
	}
	sorted := slices.Sorted(slices.Values(silences))
	delay := d.cheapest(sorted, missing)
	if d.config.Rule == Quantile {
		at := int(float64(len(sorted)) * (1 - d.tolerated(missing, wanted)))
		delay = stretch(sorted[min(at, len(sorted)-1)])
	}
	return min(max(delay, d.config.Least), d.config.Most)
}

// cheapest is the delay with the least expected cost: the time that a silence
// without end waits, and RepairCost for each that would have ended later. Each
// replica that is missing already makes a wait dearer.
func (d *Detector) cheapest(sorted []time.Duration, missing int) time.Duration {
	ends := d.endShare()
	repair := float64(d.config.RepairCost) / float64(1+missing)
	best, bestCost := time.Duration(0), ends*repair
	for i, silence := range sorted {
		delay := stretch(silence)
		later := float64(len(sorted)-1-i) / float64(len(sorted))
		cost := (1-ends)*float64(delay) + ends*later*repair
		if cost < bestCost {
			best, bestCost = delay, cost
		}
	}
	return best
}

func stretch(silence time.Duration) time.Duration { return silence + silence/margin }

// margin is the part added to the longest silence that is waited out, for a
// sample never shows the longest there is.
const margin = 4

func (d *Detector) silences(peer string) []time.Duration {
	if h := d.peers[peer]; h != nil && len(h.silences) >= fewest {
		return h.silences
	}
	if len(d.pool.silences) >= fewest {
		return d.pool.silences
	}
	return nil
}

// tolerated is the chance that a silence which will end by itself lasts longer
// than the delay: the paper's equation 4 with its proposed false alarm
// probability, half of what is possible, raised by a step for each replica that
// is missing.
func (d *Detector) tolerated(missing, wanted int) float64 {
	ends := d.endShare()
	falseAlarm := ends/2 + float64(missing)*ends/float64(max(wanted, 1))
	falseAlarm = min(falseAlarm, ends)
	return min(1, falseAlarm*(1-ends)/(ends*(1-falseAlarm)))
}

// endShare is the share of silences that ended by themselves, with one of each
// kind added so that it is never 0 or 1.
func (d *Detector) endShare() float64 {
	return float64(d.ended+1) / float64(d.ended+d.lost+2)
}
