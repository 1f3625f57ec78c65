package replay

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Policies lists ours and the baselines.
func Policies() []Policy {
	return []Policy{
		{"first-fit", firstFit},
		{"backfill", backfillPass},
		{"pinewinch", scheduling.Pass},
	}
}

// firstFit starts jobs strictly in the order of arrival, each on the first
// workers that take it; a job without room holds back all later ones.
func firstFit(s *scheduling.Snapshot) *scheduling.Plan {
	f := newFree(s, nil)
	plan := &scheduling.Plan{}
	for _, job := range waitingByArrival(s) {
		placements := f.fit(job)
		if placements == nil {
			break
		}
		f.take(job, placements)
		plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
	}
	return plan
}

// backfillPass is first-fit with EASY backfill on declared run times (Lifka,
// JSSPP 1995): the first job without room gets a start time, when enough of the
// running work has ended by its declaration, and later jobs may start that end
// before it by theirs.
func backfillPass(s *scheduling.Snapshot) *scheduling.Plan {
	f := newFree(s, nil)
	plan := &scheduling.Plan{}
	var shadow int64
	for _, job := range waitingByArrival(s) {
		if shadow > 0 && s.Now.UnixMilli()+job.RunTimeMs > shadow {
			continue
		}
		placements := f.fit(job)
		if placements == nil {
			if shadow == 0 {
				shadow = shadowTime(s, job)
			}
			continue
		}
		f.take(job, placements)
		plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
	}
	return plan
}

// shadowTime is when the job would fit if running work ended as declared.
func shadowTime(s *scheduling.Snapshot, job *controlpb.Job) int64 {
	var ends []int64
	for _, other := range s.Jobs {
		if len(other.Placements) > 0 {
			ends = append(ends, max(declaredEnd(other), s.Now.UnixMilli()+1))
		}
	}
	slices.Sort(ends)
	i, _ := slices.BinarySearchFunc(ends, true, func(end int64, _ bool) int {
		if newFree(s, &end).fit(job) != nil {
			return 0
		}
		return -1
	})
	if i == len(ends) {
		return s.Now.Add(24 * time.Hour).UnixMilli()
	}
	return ends[i]
}

func declaredEnd(job *controlpb.Job) int64 { return job.StartedMs + job.RunTimeMs }

func waitingByArrival(s *scheduling.Snapshot) []*controlpb.Job {
	var waiting []*controlpb.Job
	for _, job := range s.Jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING && job.NotBeforeMs <= s.Now.UnixMilli() {
			waiting = append(waiting, job)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *controlpb.Job) int { return int(a.SubmittedMs - b.SubmittedMs) })
	return waiting
}

// free is what each worker has free.
type free struct {
	workers []scheduling.Worker
	cores   []int64
	memory  []int64
	numbers [][]uint32
	index   map[string]int
}

// newFree counts what is free now, or at a time, by declared ends.
func newFree(s *scheduling.Snapshot, at *int64) *free {
	f := &free{workers: s.Workers, index: map[string]int{}}
	for i, worker := range s.Workers {
		f.index[worker.ID] = i
		f.cores = append(f.cores, int64(worker.Cores))
		f.memory = append(f.memory, int64(worker.MemoryMB))
		var numbers []uint32
		for number := range worker.Accelerators {
			numbers = append(numbers, number)
		}
		f.numbers = append(f.numbers, numbers)
	}
	for _, job := range s.Jobs {
		if at == nil || max(declaredEnd(job), s.Now.UnixMilli()+1) > *at {
			f.take(job, job.Placements)
		}
	}
	return f
}

func (f *free) take(job *controlpb.Job, placements []*controlpb.Placement) {
	for _, placement := range placements {
		i := f.index[placement.Worker]
		f.cores[i] -= int64(job.Cores)
		f.memory[i] -= int64(job.MemoryMb)
		f.numbers[i] = slices.DeleteFunc(slices.Clone(f.numbers[i]), func(n uint32) bool { return slices.Contains(placement.Accelerators, n) })
	}
}

// fit walks the workers in order and starts over at each new domain.
func (f *free) fit(job *controlpb.Job) []*controlpb.Placement {
	var placements []*controlpb.Placement
	for i, worker := range f.workers {
		if i > 0 && !together(f.workers[i-1], worker, job.Adjacency) {
			placements = nil
		}
		for room := f.room(i, job); room > 0; room-- {
			from := (room - 1) * int64(job.Accelerators)
			placements = append(placements, &controlpb.Placement{
				Task: uint32(len(placements)), Worker: worker.ID, Accelerators: f.numbers[i][from : from+int64(job.Accelerators)],
			})
			if len(placements) == int(job.Tasks) {
				return placements
			}
		}
	}
	return nil
}

func (f *free) room(i int, job *controlpb.Job) int64 {
	if f.workers[i].Unavailable {
		return 0
	}
	room := int64(job.Tasks)
	if job.Accelerators > 0 {
		room = min(room, int64(len(f.numbers[i]))/int64(job.Accelerators))
	}
	if job.Cores > 0 {
		room = min(room, f.cores[i]/int64(job.Cores))
	}
	if job.MemoryMb > 0 {
		room = min(room, f.memory[i]/int64(job.MemoryMb))
	}
	return max(room, 0)
}

func together(a, b scheduling.Worker, adjacency controlpb.Adjacency) bool {
	switch adjacency {
	case onWorker:
		return false
	case inRack:
		return a.Rack == b.Rack && a.DataCentre == b.DataCentre
	case inDataCentre:
		return a.DataCentre == b.DataCentre
	}
	return true
}
