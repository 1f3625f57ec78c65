package admission

import (
	"sort"
	"time"
)

// evenPart is the part of a rate limit that is divided evenly, so that an
// instance without recent demand can admit its first requests at once. The
// rest follows the demand that the instances tell each other.
const evenPart = 0.2

// Demand is the arrivals of one customer at one instance, in requests a second.
type Demand struct {
	Customer string
	Rate     float64
}

// demands is what the members, this one included, last told of their demand.
type demands map[string]map[string]float64

// Demands gives the arrivals since the last call, for the other instances. The
// same figures go into this instance's own shares, so that all members divide
// a limit by the same numbers.
func (p *Policy) Demands(since time.Duration) []Demand {
	var own []Demand
	for name, c := range p.customers {
		if c.rules.Rate > 0 && c.rate.seen > 0 {
			own = append(own, Demand{Customer: name, Rate: float64(c.rate.seen) / since.Seconds()})
		}
		c.rate.seen = 0
	}
	sort.Slice(own, func(i, j int) bool { return own[i].Customer < own[j].Customer })
	p.SetDemands(p.config.Self, own)
	return own
}

// SetDemands takes what a member tells of its demand.
func (p *Policy) SetDemands(member string, told []Demand) {
	rates := make(map[string]float64, len(told))
	for _, demand := range told {
		rates[demand.Customer] = demand.Rate
	}
	p.demands[member] = rates
	for name, c := range p.customers {
		c.rate.share = p.rateShare(name)
	}
}

// rateShare is this instance's part of a customer's limit of requests a second.
// Over members with the same view the parts add up to 1.
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
	return evenPart*even + (1-evenPart)*p.demands[p.config.Self][customer]/total
}
