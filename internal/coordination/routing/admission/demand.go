package admission

import (
	"sort"
	"time"
)

// evenFraction is the fraction of a rate limit that is divided evenly, so that
// an instance without recent demand can admit its first requests at once. The
// rest is divided in proportion to the demand that the instances report.
const evenFraction = 0.2

// Demand is the arrival rate of one customer at one instance, in requests per
// second.
type Demand struct {
	Customer string
	Rate     float64
}

// demands holds the last reported demand by member, this instance included, and
// customer, in requests per second.
type demands map[string]map[string]float64

// Demands returns the arrival rates since the last call, to be reported to the
// other instances; since is the time passed. The same figures are used for this
// instance's own shares, so that all members divide a limit by the same numbers.
func (p *Policy) Demands(since time.Duration) []Demand {
	var own []Demand
	for name, c := range p.customers {
		if c.rules.Rate > 0 && c.rate.arrivals > 0 {
			own = append(own, Demand{Customer: name, Rate: float64(c.rate.arrivals) / since.Seconds()})
		}
		c.rate.arrivals = 0
	}
	sort.Slice(own, func(i, j int) bool { return own[i].Customer < own[j].Customer })
	p.SetDemands(p.config.Self, own)
	return own
}

// SetDemands records the demand reported by a member and recomputes the shares.
func (p *Policy) SetDemands(member string, reported []Demand) {
	rates := make(map[string]float64, len(reported))
	for _, demand := range reported {
		rates[demand.Customer] = demand.Rate
	}
	p.demands[member] = rates
	for name, c := range p.customers {
		c.rate.share = p.rateShare(name)
	}
}

// rateShare returns this instance's fraction of a customer's limit on requests
// per second. The fractions of members with the same view add up to 1.
func (p *Policy) rateShare(customer string) float64 {
	if len(p.view.Members) == 0 || !contains(p.view.Members, p.config.Self) {
		return 0
	}
	even := 1 / float64(len(p.view.Members))
	total := 0.0
	for _, member := range p.view.Members {
		total += p.demands[member][customer]
	}
	if total <= 0 {
		return even
	}
	return evenFraction*even + (1-evenFraction)*p.demands[p.config.Self][customer]/total
}
