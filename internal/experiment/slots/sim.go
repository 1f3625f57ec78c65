// Package slots compares policies that share the slots of minions among entry instances.
// It is a seeded discrete-event simulation without sockets or a real clock, so that every
// run gives the same figures. Credits run the real admission policy.
package slots

import (
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"pinewinch.example/pinewinch/internal/experiment/timeline"
)

// Config configures one run.
type Config struct {
	Seed      uint64
	Instances int
	Minions   int
	Slots     int
	// Mean is the mean service time, Variation its coefficient of variation. The
	// distribution is lognormal, or exponential if Variation is 1.
	Mean      time.Duration
	Variation float64
	// Hop is the one-way latency between two instances.
	Hop time.Duration
	// Load is the offered load relative to the capacity of all slots.
	Load     float64
	Requests int
	// Deadline of each request; 0 for none.
	Deadline time.Duration
	// Customers share the load evenly unless Guaranteed is set: then the first offers
	// that part of the capacity and the others the rest of the load.
	Customers  int
	Guaranteed float64
}

// Result holds the figures of one run. Latencies are those of answered requests.
type Result struct {
	Policy   string
	P50, P99 time.Duration
	Answered int
	Refused  int
	// Utilisation is the share of all slots that was busy in the middle half of the run.
	Utilisation float64
	// MaxQueued is the largest number of requests at a minion beyond its slots; 0 or less
	// if none ever queued.
	MaxQueued int
	// Messages is the number of messages between instances per request.
	Messages float64
	// Guaranteed is the share of the first customer's requests answered within the
	// deadline.
	Guaranteed float64
	// Goodput is the number of requests answered within the deadline relative to what
	// all slots could serve until the last answer.
	Goodput float64
}

// request is one request of a run.
type request struct {
	instance, customer int
	arrived            time.Duration
	service            time.Duration
}

// policy assigns requests to slots.
type policy interface {
	arrive(r *request)
}

// run is the event loop and its measurements.
type run struct {
	config    Config
	random    *rand.Rand
	now       time.Duration
	events    timeline.Queue[func()]
	load      []int
	queues    [][]func()
	busy      int
	busyFrom  time.Duration
	busyTime  time.Duration
	inWindow  bool
	latencies []time.Duration
	result    Result
	answered  []int
	arrived   []int
	length    time.Duration
	// onTime counts the answers within the deadline.
	onTime int
}

func newRun(config Config, name string) *run {
	return &run{
		config:   config,
		random:   rand.New(rand.NewPCG(config.Seed, 0)),
		load:     make([]int, config.Minions),
		queues:   make([][]func(), config.Minions),
		answered: make([]int, max(config.Customers, 1)),
		arrived:  make([]int, max(config.Customers, 1)),
		result:   Result{Policy: name},
	}
}

func (r *run) after(d time.Duration, do func()) {
	r.events.Add(r.now+d, do)
}

// simulate offers the requests to a policy and runs until all are answered or refused, or no
// events are left.
func (r *run) simulate(w policy) Result {
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

// serve runs a request at a minion, or queues it there if all slots are busy.
func (r *run) serve(minion int, req *request, done func()) {
	start := func() {
		r.occupy(1)
		r.after(req.service, func() {
			r.occupy(-1)
			r.load[minion]--
			done()
			if queue := r.queues[minion]; len(queue) > 0 {
				r.queues[minion] = queue[1:]
				queue[0]()
			}
		})
	}
	r.load[minion]++
	over := r.load[minion] - r.config.Slots
	r.result.MaxQueued = max(r.result.MaxQueued, over)
	if over > 0 {
		r.queues[minion] = append(r.queues[minion], start)
		return
	}
	start()
}

// answer records an answered request.
func (r *run) answer(req *request) {
	latency := r.now - req.arrived
	r.latencies = append(r.latencies, latency)
	r.result.Answered++
	if r.config.Deadline == 0 || latency <= r.config.Deadline {
		r.answered[req.customer]++
		r.onTime++
	}
}

func (r *run) occupy(change int) {
	r.accumulateUse()
	r.busy += change
}

func (r *run) accumulateUse() {
	if r.inWindow {
		r.busyTime += time.Duration(r.busy) * (r.now - r.busyFrom)
	}
	r.busyFrom = r.now
}

func (r *run) openWindow() {
	r.accumulateUse()
	r.inWindow = true
}

func (r *run) closeWindow() {
	r.accumulateUse()
	r.inWindow = false
}

func (r *run) finish(capacity float64) Result {
	sort.Slice(r.latencies, func(i, j int) bool { return r.latencies[i] < r.latencies[j] })
	r.result.P50 = quantile(r.latencies, 0.5)
	r.result.P99 = quantile(r.latencies, 0.99)
	slots := r.config.Minions * r.config.Slots
	r.result.Utilisation = r.busyTime.Seconds() / (float64(slots) * (r.length / 2).Seconds())
	r.result.Messages /= float64(r.config.Requests)
	r.result.Guaranteed = float64(r.answered[0]) / float64(max(r.arrived[0], 1))
	r.result.Goodput = float64(r.onTime) / (capacity * r.now.Seconds())
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

// lognormal draws a service time; with a variation of 1 it is exponential instead.
func lognormal(random *rand.Rand, mean time.Duration, variation float64) time.Duration {
	if variation == 1 {
		return exponential(random, mean.Seconds())
	}
	variance := math.Log(1 + variation*variation)
	return time.Duration(float64(mean) * math.Exp(random.NormFloat64()*math.Sqrt(variance)-variance/2))
}
