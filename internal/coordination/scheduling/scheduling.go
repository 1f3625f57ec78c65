// Package scheduling decides where jobs run: from a snapshot to a plan, with
// reasons for every job left waiting. It is pure: no clock, socket or goroutine.
package scheduling

import (
	"sort"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Worker is one worker as scheduling sees it.
type Worker struct {
	ID           string
	DataCentre   string
	Rack         string
	Cores        uint32
	MemoryMB     uint64
	Accelerators uint32
	// Unavailable workers keep their tasks but get no new ones: leaving,
	// drained or quarantined.
	Unavailable bool
}

// Snapshot is what one pass decides from.
type Snapshot struct {
	Now       time.Time
	Workers   []Worker
	Jobs      []*controlpb.Job
	Customers map[string]*controlpb.Customer
	Rules     *controlpb.Rules
}

// ReasonCode says why a job waits.
type ReasonCode string

// The reasons.
const (
	ReasonNoCapacity ReasonCode = "no_free_capacity"
	ReasonBackoff    ReasonCode = "waiting_to_retry"
	ReasonGuarantee  ReasonCode = "kept_for_guarantee"
	ReasonLimit      ReasonCode = "customer_limit"
	ReasonReserved   ReasonCode = "kept_for_reservation"
	ReasonNever      ReasonCode = "never_fits"
	ReasonPreempting ReasonCode = "taking_back"
)

// Reason is why one job was left waiting.
type Reason struct {
	Job  string     `json:"job"`
	Code ReasonCode `json:"code"`
	// Wanted and Free count accelerators.
	Wanted uint32 `json:"wanted"`
	Free   uint32 `json:"free"`
}

// Plan is the outcome of one pass.
type Plan struct {
	Assignments []*controlpb.Assignment
	Preemptions []*controlpb.Preemption
	Waiting     []Reason
}

// Pass plans once over the snapshot.
func Pass(snapshot *Snapshot) *Plan {
	p := &pass{snapshot: snapshot, free: freeAccelerators(snapshot), plan: &Plan{}}
	for _, job := range waitingInOrder(snapshot.Jobs) {
		p.place(job)
	}
	return p.plan
}

type pass struct {
	snapshot *Snapshot
	free     map[string][]uint32
	plan     *Plan
}

func waitingInOrder(jobs []*controlpb.Job) []*controlpb.Job {
	var waiting []*controlpb.Job
	for _, job := range jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			waiting = append(waiting, job)
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool {
		a, b := waiting[i], waiting[j]
		if a.Urgent != b.Urgent {
			return a.Urgent
		}
		return a.SubmittedMs < b.SubmittedMs
	})
	return waiting
}

func freeAccelerators(snapshot *Snapshot) map[string][]uint32 {
	type accelerator struct {
		worker string
		number uint32
	}
	taken := map[accelerator]bool{}
	for _, job := range snapshot.Jobs {
		for _, placement := range job.Placements {
			for _, number := range placement.Accelerators {
				taken[accelerator{placement.Worker, number}] = true
			}
		}
	}
	free := make(map[string][]uint32, len(snapshot.Workers))
	for _, worker := range snapshot.Workers {
		if worker.Unavailable {
			continue
		}
		for number := range worker.Accelerators {
			if !taken[accelerator{worker.ID, number}] {
				free[worker.ID] = append(free[worker.ID], number)
			}
		}
	}
	return free
}

func (p *pass) place(job *controlpb.Job) {
	if job.NotBeforeMs > p.snapshot.Now.UnixMilli() {
		p.wait(job, ReasonBackoff)
		return
	}
	placements := p.fit(job)
	if placements == nil {
		p.wait(job, ReasonNoCapacity)
		return
	}
	for _, placement := range placements {
		p.free[placement.Worker] = p.free[placement.Worker][len(placement.Accelerators):]
	}
	p.plan.Assignments = append(p.plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
}

// fit gives a place to every task of the gang, or nothing.
func (p *pass) fit(job *controlpb.Job) []*controlpb.Placement {
	left := make(map[string][]uint32, len(p.free))
	for id, numbers := range p.free {
		left[id] = numbers
	}
	var placements []*controlpb.Placement
	for task := range job.Tasks {
		placement := p.fitTask(job, task, left)
		if placement == nil {
			return nil
		}
		placements = append(placements, placement)
	}
	return placements
}

func (p *pass) fitTask(job *controlpb.Job, task uint32, left map[string][]uint32) *controlpb.Placement {
	for _, worker := range p.snapshot.Workers {
		numbers := left[worker.ID]
		if worker.Unavailable || len(numbers) < int(job.Accelerators) {
			continue
		}
		left[worker.ID] = numbers[job.Accelerators:]
		return &controlpb.Placement{Task: task, Worker: worker.ID, Accelerators: numbers[:job.Accelerators]}
	}
	return nil
}

func (p *pass) wait(job *controlpb.Job, code ReasonCode) {
	var free uint32
	for _, numbers := range p.free {
		free += uint32(len(numbers))
	}
	p.plan.Waiting = append(p.plan.Waiting, Reason{Job: job.Id, Code: code, Wanted: job.Tasks * job.Accelerators, Free: free})
}
