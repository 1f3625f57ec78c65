package admission

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
)

// dispatch starts queued requests of a service while credits are free.
func (p *Policy) dispatch(now time.Time, s *service) {
	for s.queue.Len() > 0 && !p.view.CutOff {
		var chosen *target
		exhausted := false
		item := s.queue.Pop(func(item *fairqueue.Item[*Request]) bool {
			if exhausted {
				return false
			}
			if chosen = nil; s.cannotMeetDeadline(now, item.Value) {
				return true
			}
			c := p.customer(item.Customer)
			if c.limit != nil && c.limit.Free() <= 0 {
				c.limited++
				return false
			}
			chosen = s.pick(now, item.Value.tried)
			exhausted = chosen == nil && len(item.Value.tried) == 0
			return chosen != nil
		})
		if item == nil {
			return
		}
		if chosen == nil {
			p.endWaiting(item.Value, Refusal{Reason: ReasonDeadline, RetryAfter: max(s.estimate.expected(), minRetryAfter)})
			continue
		}
		p.start(now, s, item.Value, chosen)
	}
}

func (p *Policy) dispatchAll(now time.Time) {
	for _, s := range p.services {
		p.dispatch(now, s)
	}
	p.grantHeld(now)
	p.requestCredits(now)
}

// Upper bounds of the latency classes, as multiples of the usual service time.
// Within a class only the load decides, so that noise in the estimates does not
// concentrate requests on one minion.
const (
	usualRatio = 1.5
	slowRatio  = 3
)

func class(ratio float64) int {
	switch {
	case ratio < usualRatio:
		return 0
	case ratio < slowRatio:
		return 1
	}
	return 2
}

// pick returns a minion with a free credit that the request has not tried: one
// of the fastest latency class, and in it the one with the fewest requests in
// flight from this instance. It returns nil if there is none.
func (s *service) pick(now time.Time, tried []string) *target {
	var best *target
	bestClass, bestLoad := 0, 0
	n := len(s.targets)
	for i := range n {
		t := s.targets[(s.next+i)%n]
		if t.account.Free() <= 0 || !t.health.Allows(now, t.account.InUse()) {
			continue
		}
		if len(tried) > 0 && contains(tried, t.minion.ID) {
			continue
		}
		c, load := class(t.health.Ratio()), t.account.InUse()
		if best == nil || c < bestClass || (c == bestClass && load < bestLoad) {
			best, bestClass, bestLoad = t, c, load
		}
		if bestClass == 0 && bestLoad == 0 {
			break
		}
	}
	if n > 0 {
		s.next = (s.next + 1) % n
	}
	return best
}

func (p *Policy) start(now time.Time, s *service, r *Request, t *target) *Attempt {
	c := p.customer(r.Customer)
	t.account.Take()
	if c.limit != nil {
		c.limit.Take()
	}
	r.attempts++
	r.tried = append(r.tried, t.minion.ID)
	a := &Attempt{Request: r, Minion: t.minion, Number: r.attempts, started: now, target: t, limit: c.limit}
	r.inFlight = append(r.inFlight, a)
	p.scheduleHedge(now, s, r)
	p.emit(Start{Attempt: a})
	return a
}
