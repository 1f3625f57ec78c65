package scheduling

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	anywhere     = controlpb.Adjacency_ADJACENCY_ANY
	onWorker     = controlpb.Adjacency_ADJACENCY_WORKER
	inRack       = controlpb.Adjacency_ADJACENCY_RACK
	inDataCentre = controlpb.Adjacency_ADJACENCY_DATA_CENTRE
)

var start = time.UnixMilli(1_800_000_000_000)

// testWorkers returns racks of workers with 32 cores, 128 GB and size accelerators
// each.
func testWorkers(dataCentres, racks, perRack int, size uint32) []Worker {
	var workers []Worker
	for d := range dataCentres {
		for r := range racks {
			for w := range perRack {
				workers = append(workers, Worker{
					ID:         fmt.Sprintf("d%d-r%d-w%d", d, r, w),
					DataCentre: fmt.Sprintf("d%d", d),
					Rack:       fmt.Sprintf("r%d", r),
					Cores:      32, MemoryMB: 128 << 10, Accelerators: size,
				})
			}
		}
	}
	return workers
}

type jobOption func(*controlpb.Job)

func waitingJob(id, customer string, tasks, accelerators uint32, options ...jobOption) *controlpb.Job {
	job := &controlpb.Job{
		Id: id, Customer: customer, WorkClass: "class", Tasks: tasks, Accelerators: accelerators,
		Adjacency: inRack, Cores: 1, MemoryMb: 1, RunTimeMs: time.Hour.Milliseconds(),
		SubmittedMs: start.UnixMilli(), State: controlpb.JobState_JOB_STATE_WAITING,
	}
	for _, option := range options {
		option(job)
	}
	return job
}

func checkpointable(j *controlpb.Job) { j.Checkpointable = true }
func idempotent(j *controlpb.Job)     { j.Idempotent = true }
func urgent(j *controlpb.Job)         { j.Urgent = true }

func adjacency(a controlpb.Adjacency) jobOption {
	return func(j *controlpb.Job) { j.Adjacency = a }
}

func cores(n uint32) jobOption { return func(j *controlpb.Job) { j.Cores = n } }

// running sets the placements of a running job directly: one task for each worker, each
// on consecutive accelerators from first on.
func running(since time.Duration, first uint32, workers ...string) jobOption {
	return func(j *controlpb.Job) {
		j.State = controlpb.JobState_JOB_STATE_RUNNING
		j.Epoch = 1
		j.StartedMs = start.Add(-since).UnixMilli()
		for task, worker := range workers {
			placement := &controlpb.Placement{Task: uint32(task), Worker: worker}
			for number := range j.Accelerators {
				placement.Accelerators = append(placement.Accelerators, first+number)
			}
			j.Placements = append(j.Placements, placement)
		}
	}
}

func guarantee(name string, sets, accelerators uint32, where controlpb.Adjacency) *controlpb.Customer {
	return &controlpb.Customer{Name: name, Weight: 1, Guarantee: []*controlpb.Shape{
		{Sets: sets, Accelerators: accelerators, Adjacency: where},
	}}
}

func snapshotOf(workers []Worker, customers []*controlpb.Customer, jobs ...*controlpb.Job) *Snapshot {
	s := &Snapshot{Now: start, Workers: workers, Jobs: jobs, Customers: map[string]*controlpb.Customer{}, Rules: &controlpb.Rules{}}
	for _, customer := range customers {
		s.Customers[customer.Name] = customer
	}
	return s
}
