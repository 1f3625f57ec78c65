// Package slots measures ways to share minions' slots among entry instances in
// a seeded event loop: no socket, no clock, the same figures on every run. The
// way that is built runs its real policy.
package slots

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"pinewinch.example/pinewinch/internal/experiment/timeline"
)

// Config of one run.
type Config struct {
	Seed      uint64
	Instances int
	Minions   int
	Slots     int
	// Mean service time and its coefficient of variation (lognormal; 1 is
	// exponential).
	Mean      time.Duration
	Variation float64
	// Hop is the one-way time between two instances.
	Hop time.Duration
	// Load is the offered load relative to all slots.
	Load     float64
	Requests int
	// Deadline of each request; 0 for none.
	Deadline time.Duration
	// Customers share the load evenly unless Guaranteed is set: then the first
	// brings this part of the capacity and the others the rest of the load.
	Customers  int
	Guaranteed float64
}

// Result of one run. Times are those of requests that were answered.
type Result struct {
	Way      string
	P50, P99 time.Duration
	Answered int
	Refused  int
	// Use is the part of all slots that was busy in the middle half of the run.
	Use float64
	// MaxOver is the most requests at one minion beyond its slots.
	MaxOver int
	// Messages between instances for each request.
	Messages float64
	// Guaranteed is the share of the first customer's requests answered in time.
	Guaranteed float64
	// Goodput is the requests answered in time relative to what all slots could
	// serve until the last answer.
	Goodput float64
}

// request is one request of a run.
type request struct {
	instance, customer int
	arrived            time.Duration
	service            time.Duration
}

// way shares out the slots.
type way interface {
	arrive(r *request)
}

// run is the event loop and what it measures.
type run struct {
	config    Config
	random    *rand.Rand
	now       time.Duration
	events    timeline.Queue[func()]
	atMinion  []int
	waiting   [][]func()
	busy      int
	busyFrom  time.Duration
	busyTime  time.Duration
	windowed  bool
	latencies []time.Duration
	result    Result
	answered  []int
	arrived   []int
	length    time.Duration
	// inTime counts the answers within the deadline.
	inTime int
}

func newRun(config Config, name string) *run {
	return &run{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		atMinion: make([]int, config.Minions),
		waiting:  make([][]func(), config.Minions),
		answered: make([]int, max(config.Customers, 1)),
		arrived:  make([]int, max(config.Customers, 1)),
		result:   Result{Way: name},
	}
}

func (r *run) after(d time.Duration, do func()) {
	r.events.Add(r.now+d, do)
}

// play offers the requests to a way and runs until all events are done.
func (r *run) play(w way) Result {
	c := r.config
	capacity := float64(c.Minions*c.Slots) / c.Mean.Seconds()
	rate := capacity * c.Load
	r.length = time.Duration(float64(c.Requests) / rate * float64(time.Second))
	r.after(r.length/4, r.openWindow)
	r.after(r.length*3/4, r.closeWindow)
	left := c.Requests
	var next func()
	next = func() {
		left--
		w.arrive(r.request())
		if left > 0 {
			r.after(exponential(r.random, 1/rate), next)
		}
	}
	r.after(0, next)
	for r.events.Len() > 0 && r.result.Answered+r.result.Refused < c.Requests {
		at, do := r.events.Next()
		r.now = at
		do()
	}
	return r.finish(capacity)
}

func (r *run) request() *request {
	c := r.config
	req := &request{
		instance: r.random.IntN(c.Instances),
		customer: r.customer(),
		arrived:  r.now,
		service:  lognormal(r.random, c.Mean, c.Variation),
	}
	r.arrived[req.customer]++
	return req
}

func (r *run) customer() int {
	n := max(r.config.Customers, 1)
	if r.config.Guaranteed == 0 || n == 1 {
		return r.random.IntN(n)
	}
	if r.random.Float64() < r.config.Guaranteed/r.config.Load {
		return 0
	}
	return 1 + r.random.IntN(n-1)
}

// serve runs a request at a minion, queueing there where its slots are taken.
func (r *run) serve(minion int, req *request, done func()) {
	start := func() {
		r.occupy(1)
		r.after(req.service, func() {
			r.occupy(-1)
			r.atMinion[minion]--
			done()
			if queue := r.waiting[minion]; len(queue) > 0 {
				r.waiting[minion] = queue[1:]
				queue[0]()
			}
		})
	}
	r.atMinion[minion]++
	over := r.atMinion[minion] - r.config.Slots
	r.result.MaxOver = max(r.result.MaxOver, over)
	if over > 0 {
		r.waiting[minion] = append(r.waiting[minion], start)
		return
	}
	start()
}

// answer ends a request well.
func (r *run) answer(req *request) {
	latency := r.now - req.arrived
	r.latencies = append(r.latencies, latency)
	r.result.Answered++
	if r.config.Deadline == 0 || latency <= r.config.Deadline {
		r.answered[req.customer]++
		r.inTime++
	}
}

func (r *run) occupy(change int) {
	r.settleUse()
	r.busy += change
}

func (r *run) settleUse() {
	if r.windowed {
		r.busyTime += time.Duration(r.busy) * (r.now - r.busyFrom)
	}
	r.busyFrom = r.now
}

func (r *run) openWindow() {
	r.settleUse()
	r.windowed = true
}

func (r *run) closeWindow() {
	r.settleUse()
	r.windowed = false
}

func (r *run) finish(capacity float64) Result {
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	r.result.P50 = quantile(r.latencies, 0.5)
	r.result.P99 = quantile(r.latencies, 0.99)
	slots := r.config.Minions * r.config.Slots
	r.result.Use = r.busyTime.Seconds() / (float64(slots) * (r.length / 2).Seconds())
	r.result.Messages /= float64(r.config.Requests)
	r.result.Guaranteed = float64(r.answered[0]) / float64(max(r.arrived[0], 1))
	r.result.Goodput = float64(r.inTime) / (capacity * r.now.Seconds())
	return r.result
}

func quantile(sorted []time.Duration, q float64) time.Duration {
	if len(sorted) == 0 {
		return 0
	}
	return sorted[int(q*float64(len(sorted)-1))]
}

func exponential(random *rand.Rand, mean float64) time.Duration {
	return time.Duration(random.ExpFloat64() * mean * float64(time.Second))
}

// lognormal draws a service time; a variation of 1 draws it exponential.
func lognormal(random *rand.Rand, mean time.Duration, variation float64) time.Duration {
	if variation == 1 {
		return exponential(random, mean.Seconds())
	}
	variance := math.Log(1 + variation*variation)
	return time.Duration(float64(mean) * math.Exp(random.NormFloat64()*math.Sqrt(variance)-variance/2))
}
