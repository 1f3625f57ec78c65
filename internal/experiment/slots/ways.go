package slots

import "time"

// Ways lists the ways that can be compared, by name.
var Ways = map[string]func(Config) Result{
	"single queue":      SingleQueue,
	"central allocator": CentralAllocator,
	"credits and loans": Credits,
	"credits, no loans": CreditsAlone,
	"two probes":        TwoProbes,
	"round robin":       RoundRobin,
	"random":            Random,
}

// Order is the order of the table.
var Order = []string{"single queue", "central allocator", "credits and loans", "credits, no loans", "two probes", "round robin", "random"}

// singleQueue is one queue that knows all slots: the bound for every way. With
// a hop it is a central allocator, asked for each request.
type singleQueue struct {
	*run
	hop   time.Duration
	queue []*request
	free  []int
}

// SingleQueue is the perfect queue.
func SingleQueue(c Config) Result { return playSingle(c, "single queue", 0) }

// CentralAllocator asks one instance for each request. A slot lies idle while
// its grant and its return travel.
func CentralAllocator(c Config) Result { return playSingle(c, "central allocator", c.Hop) }

func playSingle(c Config, name string, hop time.Duration) Result {
	q := &singleQueue{run: newRun(c, name), hop: hop}
	for minion := range c.Minions {
		for range c.Slots {
			q.free = append(q.free, minion)
		}
	}
	return q.play(q)
}

func (q *singleQueue) arrive(r *request) {
	if q.hop > 0 {
		q.result.Messages += 3
	}
	q.after(q.hop, func() {
		q.queue = append(q.queue, r)
		q.pump()
	})
}

func (q *singleQueue) pump() {
	for len(q.queue) > 0 && len(q.free) > 0 {
		r, minion := q.queue[0], q.free[len(q.free)-1]
		q.queue, q.free = q.queue[1:], q.free[:len(q.free)-1]
		q.after(q.hop, func() {
			q.serve(minion, r, func() {
				q.answer(r)
				q.after(q.hop, func() {
					q.free = append(q.free, minion)
					q.pump()
				})
			})
		})
	}
}

// chooser sends each request to a minion at once; it queues there.
type chooser struct {
	*run
	choose func(r *request) int
	delay  time.Duration
}

func (c *chooser) arrive(r *request) {
	c.after(c.delay, func() { c.serve(c.choose(r), r, func() { c.answer(r) }) })
}

// Random sends each request to any minion.
func Random(c Config) Result {
	w := &chooser{run: newRun(c, "random")}
	w.choose = func(*request) int { return w.random.IntN(c.Minions) }
	return w.play(w)
}

// RoundRobin lets each instance go round the minions on its own.
func RoundRobin(c Config) Result {
	w := &chooser{run: newRun(c, "round robin")}
	next := make([]int, c.Instances)
	for i := range next {
		next[i] = w.random.IntN(c.Minions)
	}
	w.choose = func(r *request) int {
		next[r.instance] = (next[r.instance] + 1) % c.Minions
		return next[r.instance]
	}
	return w.play(w)
}

// TwoProbes asks two minions for their load and takes the lesser (Mitzenmacher,
// 2001); the answers are a hop old when the request arrives.
func TwoProbes(c Config) Result {
	w := &chooser{run: newRun(c, "two probes"), delay: 2 * c.Hop}
	w.choose = func(*request) int {
		w.result.Messages += 4
		a, b := w.random.IntN(c.Minions), w.random.IntN(c.Minions)
		if w.atMinion[a] <= w.atMinion[b] {
			return a
		}
		return b
	}
	return w.play(w)
}
