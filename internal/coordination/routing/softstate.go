package routing

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// hearWindow is how old the word of another instance may be that still
	// counts for shares.
	hearWindow = 5 * time.Second
	// demandEvery is how often the demand of this instance is counted.
	demandEvery = time.Second
)

// Describe adds to this instance's soft state what the others need to know to
// share out credits.
func (r *Router) Describe(state *peerpb.InstanceState) {
	d := r.desk
	d.mu.Lock()
	defer d.mu.Unlock()
	book := d.policy.Book()
	state.CreditEpoch = book.Epoch()
	state.CreditOverhang = EncodeAmounts(book.Overhang())
	for _, demand := range d.demands {
		state.Demands = append(state.Demands, &peerpb.CustomerDemand{Customer: demand.Customer, Rate: demand.Rate})
	}
}

// hear takes what the other instances told of themselves.
func (r *Router) hear() {
	for _, state := range r.registry.Instances(hearWindow) {
		if state.Name == r.config.Instance {
			continue
		}
		r.desk.hear(state)
	}
}

func (d *desk) hear(state *peerpb.InstanceState) {
	told := make([]admission.Demand, len(state.Demands))
	for i, demand := range state.Demands {
		told[i] = admission.Demand{Customer: demand.Customer, Rate: demand.Rate}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Book().Confirm(state.Name, state.CreditEpoch, DecodeAmounts(state.CreditOverhang))
	d.policy.SetDemands(state.Name, told)
}

// countDemand closes one period of counting demand.
func (d *desk) countDemand() {
	now := d.now()
	passed := now.Sub(d.demandsAt)
	if passed < demandEvery {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demandsAt = now
	d.demands = d.policy.Demands(passed)
}
