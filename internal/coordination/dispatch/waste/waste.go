// Package waste counts what accelerators were held or worked for without use to
// anybody. It is pure and reads only what the control state keeps, so any
// instance can show it; sums go back as far as ended jobs are kept.
package waste

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Waste is what there is now, in accelerators, and the sums so far, in seconds
// times accelerators.
type Waste struct {
	// Total accelerators of live workers, and how many of them no task holds.
	Total uint32
	Idle  uint32
	// ReservedUnused accelerators are held by a gang that has not started or by
	// members that have not stopped yet. Those of tasks that ended are idle.
	ReservedUnused uint32
	// IdleInGuarantee accelerators are idle, and customers could claim them for
	// their guarantees at once.
	IdleInGuarantee uint32
	// ReservedSeconds were held without running.
	ReservedSeconds float64
	// LostToPreemptionSeconds and LostToRetriesSeconds were worked and then not
	// kept by a checkpoint.
	LostToPreemptionSeconds float64
	LostToRetriesSeconds    float64
}

// Of counts the waste of the jobs that are kept on the workers that are live.
func Of(jobs []*controlpb.Job, workers []*peerpb.Upstream, customers []*controlpb.Customer) Waste {
	w := Waste{}
	for _, worker := range workers {
		w.Total += worker.Accelerators
	}
	held := map[string]uint32{}
	var all uint32
	for _, job := range jobs {
		w.add(job)
		held[job.Customer] += holding(job)
		all += holding(job)
	}
	w.Idle = w.Total - min(all, w.Total)
	w.IdleInGuarantee = min(unclaimed(customers, held), w.Idle)
	return w
}

func (w *Waste) add(job *controlpb.Job) {
	accelerators := float64(job.Tasks * job.Accelerators)
	w.ReservedSeconds += seconds(job.ReservedMs) * accelerators
	w.LostToPreemptionSeconds += seconds(job.LostPreemptedMs) * accelerators
	w.LostToRetriesSeconds += seconds(job.LostMs-job.LostPreemptedMs) * accelerators
	if job.State == controlpb.JobState_JOB_STATE_STARTING || job.State == controlpb.JobState_JOB_STATE_STOPPING {
		w.ReservedUnused += holding(job)
	}
}

func holding(job *controlpb.Job) uint32 {
	var held uint32
	for _, placement := range job.Placements {
		held += uint32(len(placement.Accelerators))
	}
	return held
}

// unclaimed is what the customers' guarantees promise beyond what they hold.
func unclaimed(customers []*controlpb.Customer, held map[string]uint32) uint32 {
	var sum uint32
	for _, customer := range customers {
		var promised uint32
		for _, shape := range customer.Guarantee {
			promised += shape.Sets * shape.Accelerators
		}
		sum += promised - min(held[customer.Name], promised)
	}
	return sum
}

func seconds(ms int64) float64 {
	const msPerSecond = 1000
	return float64(ms) / msPerSecond
}
