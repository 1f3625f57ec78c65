package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Bound is a lower bound of the mean completion time of any schedule, even one
// that knows every run time, ignores adjacency and preempts for free. It is the
// larger of two relaxations onto one machine as fast as all accelerators:
// shortest remaining work first, and mean busy time (Goemans, SODA 1997), where
// a job that runs for p ends at least p/2 after the middle of its work.
func Bound(s *Scenario) time.Duration {
	var capacity float64
	for _, worker := range s.Workers {
		capacity += float64(worker.Accelerators)
	}
	var jobs []*piece
	var longest float64
	for _, arrival := range s.Arrivals {
		if arrival.CancelAt > 0 || arrival.Job.Tasks >= impossibleTasks {
			continue
		}
		jobs = append(jobs, &piece{
			at: arrival.At.Seconds(), run: arrival.RunTime.Seconds(),
			area: arrival.RunTime.Seconds() * float64(arrival.Job.Tasks*arrival.Job.Accelerators) / capacity,
		})
		longest += arrival.RunTime.Seconds()
	}
	slices.SortFunc(jobs, func(a, b *piece) int { return cmp.Compare(a.at, b.at) })
	remaining, _ := squash(jobs, func(p *piece) float64 { return p.left })
	_, busy := squash(jobs, func(p *piece) float64 { return p.area })
	best := max(remaining, busy, longest) / float64(max(len(jobs), 1))
	return time.Duration(best * float64(time.Second))
}

type piece struct {
	at, run, area, left, middle float64
	rank                        float64
}

type pieceHeap []*piece

func (h pieceHeap) Len() int           { return len(h) }
func (h pieceHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }
func (h pieceHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *pieceHeap) Push(x any)        { *h = append(*h, x.(*piece)) }
func (h *pieceHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// squash runs the pieces on the one machine, the least rank first, and gives
// the summed completion time and the summed bound from mean busy time.
func squash(jobs []*piece, rank func(*piece) float64) (ends, busy float64) {
	ready := &pieceHeap{}
	var now float64
	for i := 0; i < len(jobs) || ready.Len() > 0; {
		if ready.Len() == 0 {
			now = max(now, jobs[i].at)
		}
		for i < len(jobs) && jobs[i].at <= now {
			jobs[i].left, jobs[i].middle = jobs[i].area, 0
			jobs[i].rank = rank(jobs[i])
			heap.Push(ready, jobs[i])
			i++
		}
		job := heap.Pop(ready).(*piece)
		spent := job.left
		if i < len(jobs) {
			spent = min(spent, jobs[i].at-now)
		}
		if job.area > 0 {
			job.middle += (now + spent/2) * spent / job.area
		}
		now += spent
		if job.left -= spent; job.left > 1e-9 {
			job.rank = rank(job)
			heap.Push(ready, job)
			continue
		}
		if job.area == 0 {
			ends += job.run
			busy += job.run
			continue
		}
		ends += now - job.at
		busy += job.middle - job.at + job.run/2
	}
	return ends, busy
}
