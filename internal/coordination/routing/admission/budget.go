package admission

import "time"

const (
	// retryRatio is the number of retries that each success adds to the budget.
	retryRatio = 0.1
	// maxBudget is the capacity of the budget and its initial value, in retries.
	maxBudget = 10
)

// budget is a customer's token bucket for retries and hedges. It limits retries
// to a fraction of the successes, so that they add at most a tenth to the load
// of a failing service.
type budget struct{ tokens float64 }

func newBudget() budget { return budget{tokens: maxBudget} }

func (b *budget) succeeded() { b.tokens = min(b.tokens+retryRatio, maxBudget) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// burst is the capacity of the token bucket in seconds of the permitted rate.
const burst = 0.5

// rateShare is the token bucket for this instance's part of a customer's limit
// on requests per second.
type rateShare struct {
	// share is this instance's fraction of the limit, from 0 to 1.
	share      float64
	tokens     float64
	refilledAt time.Time
	// arrivals counts requests since the last demand report.
	arrivals int
}

// take consumes one token. If none is available, it returns false and the time
// until the next one. A rate of 0 or less is no limit.
func (r *rateShare) take(now time.Time, rate int) (wait time.Duration, ok bool) {
	r.arrivals++
	if rate <= 0 {
		return 0, true
	}
	perSecond := float64(rate) * r.share
	if perSecond <= 0 {
		return noMinionRetry, false
	}
	capacity := max(1, perSecond*burst)
	if r.refilledAt.IsZero() {
		r.tokens = capacity
	} else {
		r.tokens = min(capacity, r.tokens+now.Sub(r.refilledAt).Seconds()*perSecond)
	}
	r.refilledAt = now
	if r.tokens < 1 {
		return seconds((1 - r.tokens) / perSecond), false
	}
	r.tokens--
	return 0, true
}
