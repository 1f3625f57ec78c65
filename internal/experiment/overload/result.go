package overload

import (
	"cmp"
	"math"
	"slices"
	"time"
)

// Result of one day.
type Result struct {
	Queues []QueueResult
	// EarnedShare is the value earned as a share of the possible value, WorstWindows the
	// same over the two worst arrival windows of 2 s, WorstQueue that of the worst queue.
	EarnedShare, WorstWindows, WorstQueue float64
	// Lost is the wasted accelerator time as a share of all accelerator time requested.
	Lost float64
	// Runs counts the runs that started, Done those that completed, Failed those that
	// failed, Stopped those preempted and StoppedEarly those preempted within 1 s of their
	// start.
	Runs, Done, Failed, Stopped, StoppedEarly int
	Passes, Breaches                          int
}

// QueueResult counts the workflows of one queue that were not cancelled. The fields with
// the prefix Large count only its largest workflows.
type QueueResult struct {
	Name                    string
	Total, OnTime, Late     int
	Earned, Value           float64
	LargeTotal, LargeOnTime int
}

const (
	// lateUntil is a multiple of the objective; a workflow that ends later earns nothing.
	lateUntil = 3.0
	// fixedValueShare and sizeValueShare split a workflow's value into a part that is the
	// same for all and a part proportional to its work; maxValue limits it as a multiple of
	// the queue's value.
	fixedValueShare, sizeValueShare, maxValue = 0.3, 0.7, 4.0
	// windowLength is the length of an arrival window, worstWindows how many of the worst
	// count.
	windowLength = 2 * time.Second
	worstWindows = 2
	// largeShare is the share of a queue's workflows, by work, that are counted as large.
	largeShare = 0.3
)

// Weights of Score.
const (
	weightEarned, weightWindows, weightWorst = 0.75, 0.15, 0.1
	// weightLost is the weight of wasted work.
	weightLost = 0.3
)

// Score is the weighted sum of the shares of a day, less its wasted work.
func (r *Result) Score() float64 {
	return weightEarned*r.EarnedShare + weightWindows*r.WorstWindows + weightWorst*r.WorstQueue - weightLost*r.Lost
}

func (r *Result) finish(day *Day) {
	var possible, earned, work float64
	windows := map[int]*earnings{}
	for i := range day.Queues {
		q := &day.Queues[i]
		all := uncancelledOf(day, q)
		if len(all) == 0 {
			continue
		}
		mean := 0.0
		for _, w := range all {
			mean += w.work / float64(len(all))
		}
		sums := QueueResult{Name: q.Name}
		large := len(all) - int(math.Ceil(largeShare*float64(len(all))))
		for rank, w := range all {
			value := min(fixedValueShare+sizeValueShare*w.work/mean, maxValue)
			earnedValue := valueEarned(w) * value
			sums.count(w, rank >= large)
			sums.Earned += earnedValue
			sums.Value += q.Value * value
			work += w.work
			at := int(w.at / windowLength)
			if windows[at] == nil {
				windows[at] = &earnings{}
			}
			windows[at].earned += earnedValue
			windows[at].possible += q.Value * value
		}
		possible += sums.Value
		earned += sums.Earned
		r.Queues = append(r.Queues, sums)
	}
	r.EarnedShare = earned / possible
	r.WorstQueue = 1
	for _, q := range r.Queues {
		r.WorstQueue = min(r.WorstQueue, q.Earned/q.Value)
	}
	r.WorstWindows = meanOfWorst(windows)
	r.Lost /= work
}

// uncancelledOf returns the queue's workflows that were not cancelled before they ended,
// smallest work first.
func uncancelledOf(day *Day, q *Queue) []*workflow {
	var all []*workflow
	for _, w := range day.workflows {
		cancelled := w.cancelAt > 0 && (!w.done || w.ended > w.cancelAt)
		if w.queue == q && !cancelled {
			all = append(all, w)
		}
	}
	slices.SortStableFunc(all, func(a, b *workflow) int { return cmp.Compare(a.work, b.work) })
	return all
}

func valueEarned(w *workflow) float64 {
	objective := w.due - w.at
	switch {
	case !w.done:
		return 0
	case w.ended <= w.due:
		return w.queue.Value
	case float64(w.ended-w.at) <= lateUntil*float64(objective):
		return w.queue.LateValue
	}
	return 0
}

func (c *QueueResult) count(w *workflow, large bool) {
	c.Total++
	onTime := w.done && w.ended <= w.due
	if onTime {
		c.OnTime++
	} else if valueEarned(w) > 0 {
		c.Late++
	}
	if large {
		c.LargeTotal++
		if onTime {
			c.LargeOnTime++
		}
	}
}

// earnings is the value earned by and possible for the workflows that arrived in one window.
type earnings struct{ earned, possible float64 }

func meanOfWorst(windows map[int]*earnings) float64 {
	var shares []float64
	for _, window := range windows {
		shares = append(shares, window.earned/window.possible)
	}
	slices.Sort(shares)
	shares = shares[:min(worstWindows, len(shares))]
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	return sum / float64(max(len(shares), 1))
}
