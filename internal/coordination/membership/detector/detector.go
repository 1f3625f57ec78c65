// Package detector learns from the outages of each peer how long to wait for a peer
// that sends no messages before it counts as lost. An outage is a period without
// messages from a peer; it is transient if the peer returns. The package does no I/O
// and reads no clock: it takes durations and returns a delay.
//
// Two rules use the same history. Quantile is the rule of the paper on
// availability-based methods for distributed storage systems, section 5 (equations 3
// and 4): the delay of a peer is the duration that a transient outage of that peer
// exceeds with a tolerated probability. Cost weighs the same probability against the
// time for which the repair of a real loss is delayed, for each peer separately.
// docs/design/failure-detection.md has the measurement by which Cost was chosen.
package detector

import (
	"slices"
	"time"
)

const (
	// peerWindow is the number of most recent outages kept per peer.
	peerWindow = 64
	// poolWindow is the number of most recent outages kept of all peers together.
	poolWindow = 256
	// minSamples is the number of outages needed for an estimate. A peer with fewer
	// is estimated from those of all peers, and if these are fewer too,
	// Config.InitialDelay applies.
	minSamples = 8
)

// Config configures a Detector.
type Config struct {
	// InitialDelay is the delay while there are too few samples.
	InitialDelay time.Duration
	// MinDelay and MaxDelay are the limits of every delay computed from outages.
	MinDelay time.Duration
	MaxDelay time.Duration
	Rule     Rule
	// RepairCost is, for the rule Cost, how long the repair of a real loss may be
	// delayed to avoid one unnecessary repair.
	RepairCost time.Duration
}

// Rule selects how the delay is computed from a peer's outages.
type Rule int

// Cost takes the delay with the least expected cost, Quantile the delay at the
// tolerated probability of a false alarm.
const (
	Cost Rule = iota
	Quantile
)

// Detector keeps the outages of peers. It is not safe for concurrent use.
type Detector struct {
	config   Config
	peers    map[string]*history
	pool     history
	returned int
	lost     int
}

type history struct{ outages []time.Duration }

func (h *history) add(outage time.Duration, limit int) {
	h.outages = append(h.outages, outage)
	if len(h.outages) > limit {
		h.outages = h.outages[1:]
	}
}

// New returns a detector without history.
func New(config Config) *Detector {
	return &Detector{config: config, peers: map[string]*history{}}
}

// ObserveReturn records a transient outage: the peer answers again.
func (d *Detector) ObserveReturn(peer string, outage time.Duration) {
	h := d.peers[peer]
	if h == nil {
		h = &history{}
		d.peers[peer] = h
	}
	h.add(outage, peerWindow)
	d.pool.add(outage, poolWindow)
	d.returned++
}

// ObserveLoss records that a peer was given up, and discards its history.
func (d *Detector) ObserveLoss(peer string) {
	delete(d.peers, peer)
	d.lost++
}

// Delay returns the time since the last message after which the peer counts as lost.
// missing is the number of the wanted replicas that are unavailable now, not counting
// this one: the fewer are left, the more unnecessary repairs are acceptable.
func (d *Detector) Delay(peer string, missing, wanted int) time.Duration {
	outages := d.outagesFor(peer)
	if outages == nil {
		return d.config.InitialDelay
	}
	sorted := slices.Sorted(slices.Values(outages))
	delay := d.minCostDelay(sorted, missing)
	if d.config.Rule == Quantile {
		index := int(float64(len(sorted)) * (1 - d.tolerance(missing, wanted)))
		delay = withMargin(sorted[min(index, len(sorted)-1)])
	}
	return min(max(delay, d.config.MinDelay), d.config.MaxDelay)
}

// minCostDelay returns the delay with the least expected cost, which is the time that
// the repair of a permanent outage is delayed, plus RepairCost for each transient
// outage that lasts longer than the delay. Each replica that is missing already lowers
// the cost of a repair, so that waiting weighs more.
func (d *Detector) minCostDelay(sorted []time.Duration, missing int) time.Duration {
	returns := d.returnRate()
	repair := float64(d.config.RepairCost) / float64(1+missing)
	best, bestCost := time.Duration(0), returns*repair
	for i, outage := range sorted {
		delay := withMargin(outage)
		longer := float64(len(sorted)-1-i) / float64(len(sorted))
		cost := (1-returns)*float64(delay) + returns*longer*repair
		if cost < bestCost {
			best, bestCost = delay, cost
		}
	}
	return best
}

func withMargin(outage time.Duration) time.Duration { return outage + outage/marginDivisor }

// marginDivisor sets the margin added to the longest outage that is waited for, as its
// fraction 1/marginDivisor: a sample never contains the longest outage possible.
const marginDivisor = 4

func (d *Detector) outagesFor(peer string) []time.Duration {
	if h := d.peers[peer]; h != nil && len(h.outages) >= minSamples {
		return h.outages
	}
	if len(d.pool.outages) >= minSamples {
		return d.pool.outages
	}
	return nil
}

// tolerance returns the tolerated probability that a transient outage lasts longer than
// the delay. It is the paper's equation 4 with the false alarm probability that the
// paper proposes: half of the largest possible one, raised by a step for each missing
// replica.
func (d *Detector) tolerance(missing, wanted int) float64 {
	returns := d.returnRate()
	falseAlarm := returns/2 + float64(missing)*returns/float64(max(wanted, 1))
	falseAlarm = min(falseAlarm, returns)
	return min(1, falseAlarm*(1-returns)/(returns*(1-falseAlarm)))
}

// returnRate returns the share of outages that were transient. One outage of each kind
// is added, so that it is never 0 or 1.
func (d *Detector) returnRate() float64 {
	return float64(d.returned+1) / float64(d.returned+d.lost+2)
}
