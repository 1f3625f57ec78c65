package admission

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/fairqueue"
)

const (
	// sweepSlack keeps a request that was let in from being given up for noise
	// in the estimate: its wait must be too long by this factor.
	sweepSlack = 1.5
	// sweepEvery is how often waiting requests are judged again.
	sweepEvery = 10 * time.Millisecond
)

// rate is how many requests a second this instance can start for a service.
// An instance that has few credits of its own can borrow, so it counts at
// least its even part of all the slots.
func (p *Policy) rate(s *service) float64 {
	usable, slots := 0, 0
	for _, t := range s.targets {
		usable += t.account.Usable()
		slots += t.minion.Slots
	}
	if !p.view.CutOff && len(p.view.Members) > 0 {
		usable = max(usable, slots/len(p.view.Members), 1)
	}
	return float64(usable) / s.learned.mean
}

// wait estimates how long an item waits until it starts; false while nothing
// has been learned of the service.
func (p *Policy) wait(s *service, item *fairqueue.Item[*Request]) (time.Duration, bool) {
	if s.learned.samples == 0 {
		return 0, false
	}
	standing := s.queue.Standing(item)
	return p.waitAt(s, standing.Ahead, standing.Share), true
}

func (p *Policy) waitAt(s *service, ahead int, share float64) time.Duration {
	rate := p.rate(s) * share
	if rate <= 0 {
		return noMinionRetry
	}
	return min(seconds(float64(ahead+1)/rate), time.Hour)
}

// refuseUnmeetable refuses a request at once when its deadline can't be met.
// Holding it until then would take the caller's time for nothing.
func (p *Policy) refuseUnmeetable(now time.Time, s *service, r *Request) {
	if r.ended || len(r.inFlight) > 0 {
		return
	}
	wait, known := p.wait(s, &r.item)
	if !known {
		return
	}
	r.waited = true
	if over := now.Add(wait + s.learned.likely()).Sub(r.Deadline); over > 0 {
		s.queue.Remove(&r.item)
		p.giveUp(r, Refusal{Reason: ReasonDeadline, RetryAfter: max(over, minRetryAfter)})
	}
}

// sweep gives up, at once, every waiting request that has lost its chance
// since it was let in, such as after the loss of minions.
func (p *Policy) sweep(now time.Time) {
	p.nextSweep = now.Add(sweepEvery)
	for _, s := range p.services {
		if s.queue.Len() == 0 {
			continue
		}
		if p.view.CutOff {
			p.giveUpAll(s, Refusal{Reason: ReasonCutOff, RetryAfter: noMinionRetry})
			continue
		}
		if len(s.targets) == 0 {
			p.giveUpAll(s, Refusal{Reason: ReasonNoMinion, RetryAfter: noMinionRetry})
			continue
		}
		p.sweepService(now, s)
	}
}

func (p *Policy) giveUpAll(s *service, refusal Refusal) {
	all := s.queue.Review(func(*fairqueue.Item[*Request], fairqueue.Standing) bool { return true })
	for _, item := range all {
		p.giveUp(item.Value, refusal)
	}
}

// tooLate tells whether a request that waited has too little time left to be
// worth its slot. One that found a slot free is tried whatever its deadline.
func (s *service) tooLate(now time.Time, r *Request) bool {
	return r.waited && s.learned.samples > 0 && r.Deadline.Sub(now) < s.learned.likely()
}

func (p *Policy) sweepService(now time.Time, s *service) {
	known := s.learned.samples > 0
	hopeless := s.queue.Review(func(item *fairqueue.Item[*Request], standing fairqueue.Standing) bool {
		left := item.Deadline.Sub(now)
		if left <= 0 {
			return true
		}
		if !known {
			return false
		}
		wait := p.waitAt(s, standing.Ahead, standing.Share)
		return left < time.Duration(float64(wait)/sweepSlack)+s.learned.likely()
	})
	for _, item := range hopeless {
		wait, _ := p.wait(s, item)
		p.giveUp(item.Value, Refusal{Reason: ReasonDeadline, RetryAfter: max(wait, minRetryAfter)})
	}
}
