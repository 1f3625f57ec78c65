package admission

import "time"

const (
	// retryShare is how much of a retry each success earns.
	retryShare = 0.1
	// maxBudget bounds what can be saved up, and is what a customer starts with.
	maxBudget = 10
)

// budget is a customer's token bucket of retries and hedges. Retries stay a
// share of the successes, so a failing service sees at most a tenth more.
type budget struct{ tokens float64 }

func newBudget() budget { return budget{tokens: maxBudget} }

func (b *budget) succeeded() { b.tokens = min(b.tokens+retryShare, maxBudget) }

func (b *budget) spend() bool {
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// burst is how much of a second's requests may come at once.
const burst = 0.5

// rateShare is this instance's part of a customer's limit of requests per second.
type rateShare struct {
	// share is the part of the limit that falls to this instance, 0 to 1.
	share  float64
	tokens float64
	at     time.Time
	// seen counts arrivals since the last report of demand.
	seen int
}

// take uses one token of the limit; where there is none it gives the time until
// there is one.
func (r *rateShare) take(now time.Time, rate int) (wait time.Duration, ok bool) {
	r.seen++
	if rate <= 0 {
		return 0, true
	}
	perSecond := float64(rate) * r.share
	if perSecond <= 0 {
		return noMinionRetry, false
	}
	most := max(1, perSecond*burst)
	if r.at.IsZero() {
		r.tokens = most
	} else {
		r.tokens = min(most, r.tokens+now.Sub(r.at).Seconds()*perSecond)
	}
	r.at = now
	if r.tokens < 1 {
		return seconds((1 - r.tokens) / perSecond), false
	}
	r.tokens--
	return 0, true
}
