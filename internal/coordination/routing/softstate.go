package routing

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// peerStateWindow is the maximum age of another instance's soft state for it
	// to be used in computing shares.
	peerStateWindow = 5 * time.Second
	// demandInterval is the period over which this instance measures its demand.
	demandInterval = time.Second
)

// AddSoftState adds to this instance's soft state the data that other instances
// need to share credits and rate limits: epoch, overhang and demands.
func (r *Router) AddSoftState(state *peerpb.InstanceState) {
	d := r.dispatcher
	d.mu.Lock()
	defer d.mu.Unlock()
	ledger := d.policy.Ledger()
	state.CreditEpoch = ledger.Epoch()
	state.CreditOverhang = EncodeAmounts(ledger.Overhang())
	for _, demand := range d.demands {
		state.Demands = append(state.Demands, &peerpb.CustomerDemand{Customer: demand.Customer, Rate: demand.Rate})
	}
}

// updatePeers passes the soft state of the other instances to the dispatcher.
func (r *Router) updatePeers() {
	for _, state := range r.registry.Instances(peerStateWindow) {
		if state.Name == r.config.Instance {
			continue
		}
		r.dispatcher.updatePeer(state)
	}
}

func (d *dispatcher) updatePeer(state *peerpb.InstanceState) {
	reported := make([]admission.Demand, len(state.Demands))
	for i, demand := range state.Demands {
		reported[i] = admission.Demand{Customer: demand.Customer, Rate: demand.Rate}
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.policy.Ledger().Confirm(state.Name, state.CreditEpoch, DecodeAmounts(state.CreditOverhang))
	d.policy.SetDemands(state.Name, reported)
}

// countDemand ends a period of demand measurement once demandInterval has
// passed.
func (d *dispatcher) countDemand() {
	now := d.now()
	passed := now.Sub(d.demandsAt)
	if passed < demandInterval {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.demandsAt = now
	d.demands = d.policy.Demands(passed)
}
