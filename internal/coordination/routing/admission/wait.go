package admission

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
)

const (
	// sweepSlack is the factor by which the estimated wait of a queued request must
	// be too long before it is refused, so that noise in the estimate does not
	// refuse requests that were admitted.
	sweepSlack = 1.5
	// sweepInterval is how often queued requests are re-evaluated.
	sweepInterval = 10 * time.Millisecond
)

// rate estimates how many requests per second this instance can start for a
// service. An instance with few credits of its own can borrow, so at least its
// even share of all slots is counted.
func (p *Policy) rate(s *service) float64 {
	usable, slots := 0, 0
	for _, t := range s.targets {
		usable += t.account.Usable()
		slots += t.minion.Slots
	}
	if !p.view.CutOff && len(p.view.Members) > 0 {
		usable = max(usable, slots/len(p.view.Members), 1)
	}
	return float64(usable) / s.estimate.mean
}

// wait estimates the time until an item starts. It returns false while there is
// no estimate of the service time.
func (p *Policy) wait(s *service, item *fairqueue.Item[*Request]) (time.Duration, bool) {
	if s.estimate.samples == 0 {
		return 0, false
	}
	position := s.queue.Position(item)
	return p.waitAt(s, position.Ahead, position.Share), true
}

func (p *Policy) waitAt(s *service, ahead int, share float64) time.Duration {
	rate := p.rate(s) * share
	if rate <= 0 {
		return noMinionRetry
	}
	return min(seconds(float64(ahead+1)/rate), time.Hour)
}

// refuseUnmeetable refuses a request at once if its deadline cannot be met, so
// that its caller need not wait for the deadline.
func (p *Policy) refuseUnmeetable(now time.Time, s *service, r *Request) {
	if r.ended || len(r.inFlight) > 0 {
		return
	}
	wait, known := p.wait(s, &r.item)
	if !known {
		return
	}
	r.waited = true
	if over := now.Add(wait + s.estimate.expected()).Sub(r.Deadline); over > 0 {
		s.queue.Remove(&r.item)
		p.endWaiting(r, Refusal{Reason: ReasonDeadline, RetryAfter: max(over, minRetryAfter)})
	}
}

// sweep ends every queued request that can no longer be served in time, for
// example after the loss of minions.
func (p *Policy) sweep(now time.Time) {
	p.nextSweep = now.Add(sweepInterval)
	for _, s := range p.services {
		if s.queue.Len() == 0 {
			continue
		}
		if p.view.CutOff {
			p.endAllWaiting(s, Refusal{Reason: ReasonCutOff, RetryAfter: noMinionRetry})
			continue
		}
		if len(s.targets) == 0 {
			p.endAllWaiting(s, Refusal{Reason: ReasonNoMinion, RetryAfter: noMinionRetry})
			continue
		}
		p.sweepService(now, s)
	}
}

func (p *Policy) endAllWaiting(s *service, refusal Refusal) {
	all := s.queue.RemoveFunc(func(*fairqueue.Item[*Request], fairqueue.Position) bool { return true })
	for _, item := range all {
		p.endWaiting(item.Value, refusal)
	}
}

// cannotMeetDeadline reports whether a request that waited in the queue has too
// little time left for an answer. A request that found a free slot on arrival is
// tried whatever its deadline.
func (s *service) cannotMeetDeadline(now time.Time, r *Request) bool {
	return r.waited && s.estimate.samples > 0 && r.Deadline.Sub(now) < s.estimate.expected()
}

func (p *Policy) sweepService(now time.Time, s *service) {
	known := s.estimate.samples > 0
	unmeetable := s.queue.RemoveFunc(func(item *fairqueue.Item[*Request], position fairqueue.Position) bool {
		left := item.Deadline.Sub(now)
		if left <= 0 {
			return true
		}
		if !known {
			return false
		}
		wait := p.waitAt(s, position.Ahead, position.Share)
		return left < time.Duration(float64(wait)/sweepSlack)+s.estimate.expected()
	})
	for _, item := range unmeetable {
		wait, _ := p.wait(s, item)
		p.endWaiting(item.Value, Refusal{Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)})
	}
}
