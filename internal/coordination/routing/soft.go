package routing

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
	"pinewinch.example/pinewinch/internal/coordination/routing/credit"
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

// EncodeAmounts gives the wire form of amounts.
func EncodeAmounts(amounts []credit.Amount) []*peerpb.CreditAmount {
	encoded := make([]*peerpb.CreditAmount, len(amounts))
	for i, amount := range amounts {
		encoded[i] = &peerpb.CreditAmount{Resource: amount.Resource, Count: uint32(amount.Count)}
	}
	return encoded
}

// DecodeAmounts reads the wire form of amounts. Counts are bounded, so that a
// sum of them cannot overflow.
func DecodeAmounts(amounts []*peerpb.CreditAmount) []credit.Amount {
	decoded := make([]credit.Amount, len(amounts))
	for i, amount := range amounts {
		decoded[i] = credit.Amount{Resource: amount.Resource, Count: int(min(amount.Count, maxCount))}
	}
	return decoded
}

// maxCount bounds one count from the wire.
const maxCount = 1 << 20

// EncodeAsk gives the wire form of an ask.
func EncodeAsk(ask admission.Ask) *peerpb.CreditAsk {
	encoded := &peerpb.CreditAsk{Boot: ask.Boot, Sequence: ask.Sequence, Holding: EncodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		encoded.Wants = append(encoded.Wants, &peerpb.CreditWant{Service: want.Service, Resource: want.Resource, Count: uint32(want.Count)})
	}
	return encoded
}

// DecodeAsk reads the wire form of an ask.
func DecodeAsk(ask *peerpb.CreditAsk) admission.Ask {
	decoded := admission.Ask{Boot: ask.Boot, Sequence: ask.Sequence, Holding: DecodeAmounts(ask.Holding)}
	for _, want := range ask.Wants {
		decoded.Wants = append(decoded.Wants, admission.Want{Service: want.Service, Resource: want.Resource, Count: int(min(want.Count, maxCount))})
	}
	return decoded
}
