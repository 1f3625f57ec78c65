package admission

import "time"

// watchForHedge notes when an urgent idempotent request counts as late.
func (p *Policy) watchForHedge(now time.Time, s *service, r *Request) {
	if !r.Urgent || !r.Idempotent || r.attempts > 1 || s.learned.samples == 0 {
		return
	}
	r.hedgeAt = now.Add(s.learned.late())
	s.hedged = append(s.hedged, r)
}

// hedge sends late urgent requests to a second minion. It spends from the
// customer's retry budget, and only credits that nobody waits for.
func (p *Policy) hedge(now time.Time) {
	for _, s := range p.services {
		kept := s.hedged[:0]
		for _, r := range s.hedged {
			if r.ended || r.attempts > 1 {
				continue
			}
			if now.Before(r.hedgeAt) {
				kept = append(kept, r)
				continue
			}
			p.hedgeOne(now, s, r)
		}
		clear(s.hedged[len(kept):])
		s.hedged = kept
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
