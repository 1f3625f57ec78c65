package admission

import "time"

// enqueue makes a connection wait for bytes; the caller holds the mutex.
func (g *Gate) enqueue(c *Conn, bytes int64) {
	c.waiting = make(chan struct{})
	g.queue = append(g.queue, c)
	g.wanted[c] = bytes
	// While it waits it is unfinished.
	if c.entry.phase == Idle {
		g.budget.Enter(&c.entry, Head, time.Now())
	}
}

// awaitGrant waits up to waitLimit. An answer may block for longer than patience meanwhile, so
// it asks again every waitStep.
func (g *Gate) awaitGrant(granted chan struct{}) {
	ticker := time.NewTicker(waitStep)
	defer ticker.Stop()
	for range waitLimit / waitStep {
		select {
		case <-granted:
			return
		case <-ticker.C:
			g.mu.Lock()
			evicted := g.grant()
			g.mu.Unlock()
			g.closeAll(evicted)
		}
	}
}

// wait returns nil once the connection was granted what it asks for.
func (g *Gate) wait(c *Conn, granted chan struct{}, phase Phase) error {
	if granted != nil {
		g.awaitGrant(granted)
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	_, waits := g.wanted[c]
	g.abandon(c)
	if waits {
		g.count(noBytesLeft)
	}
	if waits || !c.entry.admitted() {
		return errNoBytes
	}
	g.budget.Enter(&c.entry, phase, time.Now())
	return nil
}

// abandon removes a connection from those that wait.
func (g *Gate) abandon(c *Conn) {
	if c.waiting == nil {
		return
	}
	for i, waiting := range g.queue {
		if waiting == c {
			g.queue = append(g.queue[:i], g.queue[i+1:]...)
			break
		}
	}
	if _, waits := g.wanted[c]; waits {
		delete(g.wanted, c)
		close(c.waiting)
	}
	c.waiting = nil
}

// grant gives what was returned to the connections that wait, and returns those that were
// evicted for them.
func (g *Gate) grant() (evicted []*Entry) {
	for len(g.queue) > 0 {
		first := g.queue[0]
		more, ok := g.budget.Charge(&first.entry, g.wanted[first], time.Now())
		g.abandonAll(more)
		evicted = append(evicted, more...)
		if !ok {
			return evicted
		}
		g.queue = g.queue[1:]
		delete(g.wanted, first)
		close(first.waiting)
	}
	return evicted
}

// abandonAll makes evicted connections wait no longer.
func (g *Gate) abandonAll(evicted []*Entry) {
	for _, e := range evicted {
		g.abandon(e.Owner.(*Conn))
	}
}
