package replay

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Policies lists the two baselines and the scheduling pass of this project.
func Policies() []Policy {
	return []Policy{
		{"first-fit", firstFit},
		{"backfill", backfillPass},
		{"pinewinch", scheduling.Pass},
	}
}

// firstFit starts jobs strictly in the order of arrival, each on the first
// workers that have capacity for it; a job that does not fit blocks all later ones.
func firstFit(s *scheduling.Snapshot) *scheduling.Plan {
	f := newFreeCapacity(s, nil)
	plan := &scheduling.Plan{}
	for _, job := range waitingByArrival(s) {
		placements := f.fit(job)
		if placements == nil {
			break
		}
		f.allocate(job, placements)
		plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
	}
	return plan
}

// backfillPass is first-fit with EASY backfill on declared run times (Lifka,
// JSSPP 1995): the first job that does not fit gets a reservation at the time when
// enough running work has ended according to its declared run times. Later jobs may
// start if by their declared run times they end before that.
func backfillPass(s *scheduling.Snapshot) *scheduling.Plan {
	f := newFreeCapacity(s, nil)
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
		f.allocate(job, placements)
		plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
	}
	return plan
}

// shadowTime is the time in Unix milliseconds at which the job would fit if running work
// ended as declared.
func shadowTime(s *scheduling.Snapshot, job *controlpb.Job) int64 {
	var ends []int64
	for _, other := range s.Jobs {
		if len(other.Placements) > 0 {
			ends = append(ends, max(declaredEnd(other), s.Now.UnixMilli()+1))
		}
	}
	slices.Sort(ends)
	i, _ := slices.BinarySearchFunc(ends, true, func(end int64, _ bool) int {
		if newFreeCapacity(s, &end).fit(job) != nil {
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

// freeCapacity is the free capacity of each worker, indexed as workers.
type freeCapacity struct {
	workers      []scheduling.Worker
	cores        []int64
	memory       []int64
	accelerators [][]uint32
	index        map[string]int
}

// newFreeCapacity computes the capacity that is free now, or at the given time in Unix
// milliseconds if running work ends as declared.
func newFreeCapacity(s *scheduling.Snapshot, at *int64) *freeCapacity {
	f := &freeCapacity{workers: s.Workers, index: map[string]int{}}
	for i, worker := range s.Workers {
		f.index[worker.ID] = i
		f.cores = append(f.cores, int64(worker.Cores))
		f.memory = append(f.memory, int64(worker.MemoryMB))
		var accelerators []uint32
		for number := range worker.Accelerators {
			accelerators = append(accelerators, number)
		}
		f.accelerators = append(f.accelerators, accelerators)
	}
	for _, job := range s.Jobs {
		if at == nil || max(declaredEnd(job), s.Now.UnixMilli()+1) > *at {
			f.allocate(job, job.Placements)
		}
	}
	return f
}

func (f *freeCapacity) allocate(job *controlpb.Job, placements []*controlpb.Placement) {
	for _, placement := range placements {
		i := f.index[placement.Worker]
		f.cores[i] -= int64(job.Cores)
		f.memory[i] -= int64(job.MemoryMb)
		f.accelerators[i] = slices.DeleteFunc(slices.Clone(f.accelerators[i]), func(n uint32) bool { return slices.Contains(placement.Accelerators, n) })
	}
}

// fit places the tasks on the first workers, in order, that lie in one adjacency domain
// and have capacity for all; nil if there are none.
func (f *freeCapacity) fit(job *controlpb.Job) []*controlpb.Placement {
	var placements []*controlpb.Placement
	for i, worker := range f.workers {
		if i > 0 && !sameDomain(f.workers[i-1], worker, job.Adjacency) {
			placements = nil
		}
		for left := f.tasksThatFit(i, job); left > 0; left-- {
			from := (left - 1) * int64(job.Accelerators)
			placements = append(placements, &controlpb.Placement{
				Task: uint32(len(placements)), Worker: worker.ID, Accelerators: f.accelerators[i][from : from+int64(job.Accelerators)],
			})
			if len(placements) == int(job.Tasks) {
				return placements
			}
		}
	}
	return nil
}

func (f *freeCapacity) tasksThatFit(i int, job *controlpb.Job) int64 {
	if f.workers[i].Unavailable {
		return 0
	}
	tasks := int64(job.Tasks)
	if job.Accelerators > 0 {
		tasks = min(tasks, int64(len(f.accelerators[i]))/int64(job.Accelerators))
	}
	if job.Cores > 0 {
		tasks = min(tasks, f.cores[i]/int64(job.Cores))
	}
	if job.MemoryMb > 0 {
		tasks = min(tasks, f.memory[i]/int64(job.MemoryMb))
	}
	return max(tasks, 0)
}

func sameDomain(a, b scheduling.Worker, adjacency controlpb.Adjacency) bool {
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
