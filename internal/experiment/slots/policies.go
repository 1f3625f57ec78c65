package slots

import "time"

// Policies holds the policies that can be compared, by name.
var Policies = map[string]func(Config) Result{
	"single queue":      SingleQueue,
	"central allocator": CentralAllocator,
	"credits and loans": Credits,
	"credits, no loans": CreditsWithoutLoans,
	"two probes":        TwoProbes,
	"round robin":       RoundRobin,
	"random":            Random,
}

// Order is the order of the policies in the table.
var Order = []string{"single queue", "central allocator", "credits and loans", "credits, no loans", "two probes", "round robin", "random"}

// singleQueue is one queue that knows all slots: a lower bound on latency for every
// policy. With a hop it is a central allocator that is asked for each request.
type singleQueue struct {
	*run
	hop   time.Duration
	queue []*request
	free  []int
}

// SingleQueue simulates the ideal single queue, without communication.
func SingleQueue(c Config) Result { return runSingleQueue(c, "single queue", 0) }

// CentralAllocator simulates one instance that grants a slot for each request. A slot is
// idle while its grant and its release are in transit.
func CentralAllocator(c Config) Result { return runSingleQueue(c, "central allocator", c.Hop) }

func runSingleQueue(c Config, name string, hop time.Duration) Result {
	q := &singleQueue{run: newRun(c, name), hop: hop}
	for minion := range c.Minions {
		for range c.Slots {
			q.free = append(q.free, minion)
		}
	}
	return q.simulate(q)
}

func (q *singleQueue) arrive(r *request) {
	if q.hop > 0 {
		q.result.Messages += 3
	}
	q.after(q.hop, func() {
		q.queue = append(q.queue, r)
		q.dispatch()
	})
}

func (q *singleQueue) dispatch() {
	for len(q.queue) > 0 && len(q.free) > 0 {
		r, minion := q.queue[0], q.free[len(q.free)-1]
		q.queue, q.free = q.queue[1:], q.free[:len(q.free)-1]
		q.after(q.hop, func() {
			q.serve(minion, r, func() {
				q.answer(r)
				q.after(q.hop, func() {
					q.free = append(q.free, minion)
					q.dispatch()
				})
			})
		})
	}
}

// immediate sends each request at once to a minion, where it queues if need be.
type immediate struct {
	*run
	choose func(r *request) int
	delay  time.Duration
}

func (c *immediate) arrive(r *request) {
	c.after(c.delay, func() { c.serve(c.choose(r), r, func() { c.answer(r) }) })
}

// Random sends each request to a random minion.
func Random(c Config) Result {
	w := &immediate{run: newRun(c, "random")}
	w.choose = func(*request) int { return w.random.IntN(c.Minions) }
	return w.simulate(w)
}

// RoundRobin lets each instance cycle through the minions independently of the others.
func RoundRobin(c Config) Result {
	w := &immediate{run: newRun(c, "round robin")}
	next := make([]int, c.Instances)
	for i := range next {
		next[i] = w.random.IntN(c.Minions)
	}
	w.choose = func(r *request) int {
		next[r.instance] = (next[r.instance] + 1) % c.Minions
		return next[r.instance]
	}
	return w.simulate(w)
}

// TwoProbes asks two random minions for their load and takes the less loaded one
// (Mitzenmacher, 2001). Probing delays each request by two hops; the model compares the
// loads at the end of that delay.
func TwoProbes(c Config) Result {
	w := &immediate{run: newRun(c, "two probes"), delay: 2 * c.Hop}
	w.choose = func(*request) int {
		w.result.Messages += 4
		a, b := w.random.IntN(c.Minions), w.random.IntN(c.Minions)
		if w.load[a] <= w.load[b] {
			return a
		}
		return b
	}
	return w.simulate(w)
}
