package scheduling

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// UrgentWait says why an urgent job may have no place although urgent work may stop other work.
type UrgentWait struct {
	// Demand is the number of accelerators that all open urgent work of the job's customer asks
	// for, Disturbed the part of it that has lost a run with its worker, and Guaranteed the number
	// that the customer is guaranteed. Covered is set if the job counts as part of the guarantee.
	Demand, Disturbed, Guaranteed int64
	Covered                       bool
	// Workers is the number of workers that would hold a task of the job if they were empty. Of
	// these, Unavailable get no new work, KeptForOthers are kept for other jobs, and on HeldByUrgent
	// so much is used by urgent work that no task fits beside it.
	Workers, Unavailable, KeptForOthers, HeldByUrgent int
}

// DescribeUrgentWait describes the wait of an urgent unit in a snapshot. It looks at all jobs
// and workers and is meant for log lines.
func DescribeUrgentWait(snapshot *Snapshot, job *controlpb.Job) UrgentWait {
	p := &pass{snapshot: snapshot}
	wait := UrgentWait{
		Covered:    p.withinGuarantee(job),
		Guaranteed: int64(snapshot.Customers[job.Customer].GetGuaranteedAccelerators()),
	}
	demand := p.urgentDemand[job.Customer]
	wait.Demand, wait.Disturbed = demand.undisturbed+demand.disturbed, demand.disturbed
	urgent := urgentWorkByWorker(snapshot.Jobs)
	perTask := taskSize(job)
	for i := range snapshot.Workers {
		worker := &snapshot.Workers[i]
		if !runsOn(job, worker) || workerSize(worker).tasks(perTask) == 0 {
			continue
		}
		wait.Workers++
		switch {
		case worker.Unavailable:
			wait.Unavailable++
		case worker.OnlyFor != "" && worker.OnlyFor != job.Id:
			wait.KeptForOthers++
		case workerSize(worker).minus(urgent[worker.ID]).tasks(perTask) == 0:
			wait.HeldByUrgent++
		}
	}
	return wait
}

// urgentWorkByWorker sums up what placed urgent jobs hold of each worker.
func urgentWorkByWorker(jobs []*controlpb.Job) map[string]resources {
	held := map[string]resources{}
	for _, job := range jobs {
		if !job.Urgent {
			continue
		}
		for _, placement := range job.Placements {
			held[placement.Worker] = held[placement.Worker].plus(taskSize(job))
		}
	}
	return held
}
