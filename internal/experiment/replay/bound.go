package replay

import (
	"cmp"
	"container/heap"
	"slices"
	"time"
)

// Bound is a lower bound on the mean completion time of any schedule, even one
// that knows every run time, ignores adjacency and preempts at no cost. It is the
// largest of the mean run time and two relaxations to a single machine as fast as all
// accelerators together: shortest remaining work first, and mean busy time (Goemans,
// SODA 1997), where a job with run time p ends at least p/2 after its mean busy time.
func Bound(s *Scenario) time.Duration {
	var capacity float64
	for _, worker := range s.Workers {
		capacity += float64(worker.Accelerators)
	}
	var jobs []*fluidJob
	var longest float64
	for _, arrival := range s.Arrivals {
		if arrival.CancelAt > 0 || arrival.Job.Tasks >= impossibleTasks {
			continue
		}
		jobs = append(jobs, &fluidJob{
			at: arrival.At.Seconds(), run: arrival.RunTime.Seconds(),
			area: arrival.RunTime.Seconds() * float64(arrival.Job.Tasks*arrival.Job.Accelerators) / capacity,
		})
		longest += arrival.RunTime.Seconds()
	}
	slices.SortFunc(jobs, func(a, b *fluidJob) int { return cmp.Compare(a.at, b.at) })
	remaining, _ := runOnOneMachine(jobs, func(p *fluidJob) float64 { return p.left })
	_, busy := runOnOneMachine(jobs, func(p *fluidJob) float64 { return p.area })
	best := max(remaining, busy, longest) / float64(max(len(jobs), 1))
	return time.Duration(best * float64(time.Second))
}

// fluidJob is a job on the single machine; area is its work as seconds of that machine,
// left the part still to do and meanBusy its mean busy time.
type fluidJob struct {
	at, run, area, left, meanBusy float64
	rank                          float64
}

type fluidJobHeap []*fluidJob

func (h fluidJobHeap) Len() int           { return len(h) }
func (h fluidJobHeap) Less(i, j int) bool { return h[i].rank < h[j].rank }
func (h fluidJobHeap) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }
func (h *fluidJobHeap) Push(x any)        { *h = append(*h, x.(*fluidJob)) }
func (h *fluidJobHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

// runOnOneMachine runs the jobs preemptively on one machine, lowest rank first. It
// returns the sum of the completion times and the sum of the lower bounds from mean busy
// time, both in seconds.
func runOnOneMachine(jobs []*fluidJob, rank func(*fluidJob) float64) (ends, busy float64) {
	ready := &fluidJobHeap{}
	var now float64
	for i := 0; i < len(jobs) || ready.Len() > 0; {
		if ready.Len() == 0 {
			now = max(now, jobs[i].at)
		}
		for i < len(jobs) && jobs[i].at <= now {
			jobs[i].left, jobs[i].meanBusy = jobs[i].area, 0
			jobs[i].rank = rank(jobs[i])
			heap.Push(ready, jobs[i])
			i++
		}
		job := heap.Pop(ready).(*fluidJob)
		spent := job.left
		if i < len(jobs) {
			spent = min(spent, jobs[i].at-now)
		}
		if job.area > 0 {
			job.meanBusy += (now + spent/2) * spent / job.area
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
		busy += job.meanBusy - job.at + job.run/2
	}
	return ends, busy
}
