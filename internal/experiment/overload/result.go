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
	// Whole is the share earned of what was owed, Windows that of the two worst spans
	// of 2 s, Worst that of the worst queue.
	Whole, Windows, Worst float64
	// Lost is accelerator seconds of work thrown away, as a share of all that was owed.
	Lost float64
	// Runs that began, ended well, failed, were stopped, and within 1 s of their start.
	Runs, Done, Failed, Stopped, StoppedAtOnce int
	Passes, Breaches                           int
}

// QueueResult counts the workflows of one queue whose users stayed.
type QueueResult struct {
	Name                string
	Owed, InAim, Late   int
	Earned, Worth       float64
	WideOwed, WideInAim int
}

const (
	// lateUntil is in objectives; a workflow that ends after is of no use.
	lateUntil = 3.0
	// fixedWorth and sizeWorth share a workflow's worth between all alike and by its
	// work; mostWorth bounds it, in a queue's own.
	fixedWorth, sizeWorth, mostWorth = 0.3, 0.7, 4.0
	// windowLength of the worst windows, and how many count.
	windowLength = 2 * time.Second
	worstWindows = 2
	// wideShare is that of a queue's largest workflows that are counted apart.
	wideShare = 0.3
)

// Weights of Score.
const (
	weightWhole, weightWindows, weightWorst = 0.75, 0.15, 0.1
	// weightLost is the price of work thrown away.
	weightLost = 0.3
)

// Score sums a day up as one figure, less the work thrown away.
func (r *Result) Score() float64 {
	return weightWhole*r.Whole + weightWindows*r.Windows + weightWorst*r.Worst - weightLost*r.Lost
}

func (r *Result) finish(day *Day) {
	var owed, earned, work float64
	windows := map[int]*earnings{}
	for i := range day.Queues {
		q := &day.Queues[i]
		all := ofQueue(day, q)
		if len(all) == 0 {
			continue
		}
		mean := 0.0
		for _, w := range all {
			mean += w.work / float64(len(all))
		}
		counted := QueueResult{Name: q.Name}
		wide := len(all) - int(math.Ceil(wideShare*float64(len(all))))
		for rank, w := range all {
			worth := min(fixedWorth+sizeWorth*w.work/mean, mostWorth)
			got := earnedBy(w) * worth
			counted.count(w, rank >= wide)
			counted.Earned += got
			counted.Worth += q.Worth * worth
			work += w.work
			at := int(w.at / windowLength)
			if windows[at] == nil {
				windows[at] = &earnings{}
			}
			windows[at].earned += got
			windows[at].owed += q.Worth * worth
		}
		owed += counted.Worth
		earned += counted.Earned
		r.Queues = append(r.Queues, counted)
	}
	r.Whole = earned / owed
	r.Worst = 1
	for _, q := range r.Queues {
		r.Worst = min(r.Worst, q.Earned/q.Worth)
	}
	r.Windows = worst(windows)
	r.Lost /= work
}

// ofQueue lists the queue's workflows whose users stayed, the smallest first.
func ofQueue(day *Day, q *Queue) []*workflow {
	var all []*workflow
	for _, w := range day.workflows {
		left := w.cancelAt > 0 && (!w.done || w.ended > w.cancelAt)
		if w.queue == q && !left {
			all = append(all, w)
		}
	}
	slices.SortStableFunc(all, func(a, b *workflow) int { return cmp.Compare(a.work, b.work) })
	return all
}

func earnedBy(w *workflow) float64 {
	objective := w.due - w.at
	switch {
	case !w.done:
		return 0
	case w.ended <= w.due:
		return w.queue.Worth
	case float64(w.ended-w.at) <= lateUntil*float64(objective):
		return w.queue.LateWorth
	}
	return 0
}

func (c *QueueResult) count(w *workflow, wide bool) {
	c.Owed++
	inAim := w.done && w.ended <= w.due
	if inAim {
		c.InAim++
	} else if earnedBy(w) > 0 {
		c.Late++
	}
	if wide {
		c.WideOwed++
		if inAim {
			c.WideInAim++
		}
	}
}

// earnings of the workflows that came in one window.
type earnings struct{ earned, owed float64 }

func worst(windows map[int]*earnings) float64 {
	var shares []float64
	for _, window := range windows {
		shares = append(shares, window.earned/window.owed)
	}
	slices.Sort(shares)
	shares = shares[:min(worstWindows, len(shares))]
	sum := 0.0
	for _, share := range shares {
		sum += share
	}
	return sum / float64(max(len(shares), 1))
}
