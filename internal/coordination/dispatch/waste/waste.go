// Package waste computes accelerator capacity that is idle or was held without running, and
// accelerator time whose results were lost. It is free of side effects and reads only the
// control state, so any instance can report it; sums cover the ended jobs that are still
// kept.
package waste

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Waste holds the current values, in accelerators, and the sums over all kept jobs, in
// accelerator-seconds.
type Waste struct {
	// Total is the number of accelerators of live workers, Idle the number of those that no
	// task holds.
	Total uint32
	Idle  uint32
	// ReservedUnused is the number of accelerators held by gangs that have not started or
	// members that have not stopped yet. Accelerators of ended tasks count as idle.
	ReservedUnused uint32
	// IdleInGuarantee is the number of idle accelerators that customers could claim
	// immediately under their guarantees.
	IdleInGuarantee uint32
	// ReservedSeconds is the time for which accelerators were held without running.
	ReservedSeconds float64
	// LostToPreemptionSeconds and LostToRetriesSeconds are running time whose results were
	// not saved by a checkpoint.
	LostToPreemptionSeconds float64
	LostToRetriesSeconds    float64
}

// Of computes the waste of the kept jobs on the live workers.
func Of(jobs []*controlpb.Job, workers []*peerpb.Upstream, customers []*controlpb.Customer) Waste {
	w := Waste{}
	for _, worker := range workers {
		w.Total += worker.Accelerators
	}
	held := map[string]uint32{}
	var all uint32
	for _, job := range jobs {
		w.add(job)
		held[job.Customer] += heldBy(job)
		all += heldBy(job)
	}
	w.Idle = w.Total - min(all, w.Total)
	w.IdleInGuarantee = min(unusedGuarantees(customers, held), w.Idle)
	return w
}

func (w *Waste) add(job *controlpb.Job) {
	accelerators := float64(job.Tasks * job.Accelerators)
	w.ReservedSeconds += seconds(job.ReservedMs) * accelerators
	w.LostToPreemptionSeconds += seconds(job.LostPreemptedMs) * accelerators
	w.LostToRetriesSeconds += seconds(job.LostMs-job.LostPreemptedMs) * accelerators
	if job.State == controlpb.JobState_JOB_STATE_STARTING || job.State == controlpb.JobState_JOB_STATE_STOPPING {
		w.ReservedUnused += heldBy(job)
	}
}

func heldBy(job *controlpb.Job) uint32 {
	var held uint32
	for _, placement := range job.Placements {
		held += uint32(len(placement.Accelerators))
	}
	return held
}

// unusedGuarantees returns the number of guaranteed accelerators that the customers don't
// hold.
func unusedGuarantees(customers []*controlpb.Customer, held map[string]uint32) uint32 {
	var sum uint32
	for _, customer := range customers {
		var guaranteed uint32
		for _, shape := range customer.Guarantee {
			guaranteed += shape.Sets * shape.Accelerators
		}
		sum += guaranteed - min(held[customer.Name], guaranteed)
	}
	return sum
}

func seconds(ms int64) float64 {
	const msPerSecond = 1000
	return float64(ms) / msPerSecond
}
