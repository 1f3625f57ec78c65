package admission

import "time"

// scheduleHedge sets the time after which an urgent idempotent request counts
// as late and may be hedged.
func (p *Policy) scheduleHedge(now time.Time, s *service, r *Request) {
	if !r.Urgent || !r.Idempotent || r.attempts > 1 || s.estimate.samples == 0 {
		return
	}
	r.hedgeAt = now.Add(s.estimate.lateThreshold())
	s.hedgeCandidates = append(s.hedgeCandidates, r)
}

// hedge sends late urgent requests to a second minion. A hedge is charged to
// the customer's retry budget and uses only credits that no queued request
// needs.
func (p *Policy) hedge(now time.Time) {
	for _, s := range p.services {
		kept := s.hedgeCandidates[:0]
		for _, r := range s.hedgeCandidates {
			if r.ended || r.attempts > 1 {
				continue
			}
			if now.Before(r.hedgeAt) {
				kept = append(kept, r)
				continue
			}
			p.hedgeOne(now, s, r)
		}
		clear(s.hedgeCandidates[len(kept):])
		s.hedgeCandidates = kept
	}
}

func (p *Policy) hedgeOne(now time.Time, s *service, r *Request) {
	c := p.customer(r.Customer)
	if p.view.CutOff || s.queue.Len() > 0 || (c.limit != nil && c.limit.Free() <= 0) {
		return
	}
	t := s.pick(now, r.tried)
	if t == nil || !c.budget.spend() {
		return
	}
	p.start(now, s, r, t).Hedge = true
}
