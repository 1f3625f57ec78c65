// Package report computes completion times, waste and fragmentation from the control
// state. Its functions are pure.
package report

import (
	"maps"
	"math"
	"slices"
	"strings"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/waste"
	"pinewinch.example/pinewinch/internal/coordination/fragmentation"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const msPerSecond = 1000

// State is the part of the control state that the report reads.
type State interface {
	Items() []*controlpb.Item
	Jobs() []*controlpb.Job
}

// Summarize returns the report on the state and the live workers.
func Summarize(state State, workers []*peerpb.Upstream) *api.Status {
	jobs := state.Jobs()
	customers := byCustomer(state.Items(), jobs)
	status := &api.Status{Jobs: map[string]int{}, Workers: len(workers), Customers: []api.CustomerStatus{}}
	total := &customer{jobs: jobs}
	for _, name := range slices.Sorted(maps.Keys(customers)) {
		c := customers[name]
		status.Customers = append(status.Customers, c.describe(name, workers))
		if c.declared != nil {
			total.guarantees = append(total.guarantees, c.declared)
		}
	}
	allocated := map[string]uint32{}
	for _, job := range jobs {
		status.Jobs[StateName(job.State)]++
		for _, placement := range job.Placements {
			allocated[placement.Worker] += uint32(len(placement.Accelerators))
		}
	}
	usage := waste.Of(jobs, workers, total.guarantees)
	status.Accelerators = int(usage.Total)
	status.Idle = int(usage.Idle)
	status.Used = status.Accelerators - status.Idle
	status.Waste = total.waste(&usage)
	status.Completion = total.completion()
	status.Fragmentation = fragmentation.Ratio(idleWorkers(workers, allocated), demands(state.Items()))
	return status
}

func byCustomer(items []*controlpb.Item, jobs []*controlpb.Job) map[string]*customer {
	customers := map[string]*customer{}
	for _, item := range items {
		if declared := item.GetCustomer(); declared != nil {
			customers[declared.Name] = &customer{declared: declared, guarantees: []*controlpb.Customer{declared}}
		}
	}
	for _, job := range jobs {
		if customers[job.Customer] == nil {
			customers[job.Customer] = &customer{}
		}
		customers[job.Customer].jobs = append(customers[job.Customer].jobs, job)
	}
	return customers
}

// StateName returns the name of a job's state in JSON and tables.
func StateName(state controlpb.JobState) string {
	return strings.ToLower(store.StateName(state))
}

// customer holds the guarantees and jobs of one customer, or of all customers. A
// customer whose declaration was removed may still have jobs.
type customer struct {
	declared   *controlpb.Customer
	guarantees []*controlpb.Customer
	jobs       []*controlpb.Job
}

func (c *customer) describe(name string, workers []*peerpb.Upstream) api.CustomerStatus {
	usage := waste.Of(c.jobs, workers, c.guarantees)
	status := api.CustomerStatus{
		Name:       name,
		Used:       int(usage.Total - usage.Idle),
		Completion: c.completion(),
		Waste:      c.waste(&usage),
	}
	for _, shape := range c.declared.GetGuarantee() {
		status.Guaranteed += int(shape.Sets * shape.Accelerators)
	}
	for _, job := range c.jobs {
		switch job.State {
		case controlpb.JobState_JOB_STATE_WAITING:
			status.Waiting++
		case controlpb.JobState_JOB_STATE_RUNNING:
			status.Running++
		}
	}
	return status
}

func (c *customer) waste(usage *waste.Waste) api.Waste {
	wasted := api.Waste{
		Reserved:        usage.ReservedSeconds,
		Preempted:       usage.LostToPreemptionSeconds,
		Retried:         usage.LostToRetriesSeconds,
		ReservedNow:     int(usage.ReservedUnused),
		IdleInGuarantee: int(usage.IdleInGuarantee),
	}
	for _, job := range c.jobs {
		wasted.Run += float64(job.RanMs) * float64(job.Tasks*job.Accelerators) / msPerSecond
	}
	return wasted
}

func (c *customer) completion() api.Completion {
	var done api.Completion
	var durations []int64
	var sum int64
	for _, job := range c.jobs {
		if job.State != controlpb.JobState_JOB_STATE_COMPLETED {
			continue
		}
		durations = append(durations, job.EndedMs-job.SubmittedMs)
		sum += job.EndedMs - job.SubmittedMs
		if job.DeadlineMs != 0 && job.EndedMs <= job.DeadlineMs {
			done.DeadlinesMet++
		} else if job.DeadlineMs != 0 {
			done.DeadlinesMissed++
		}
	}
	if len(durations) == 0 {
		return done
	}
	slices.Sort(durations)
	done.Jobs = len(durations)
	done.MeanSeconds = float64(sum) / float64(len(durations)) / msPerSecond
	done.MedianSeconds = quantile(durations, 0.5)
	done.P99Seconds = quantile(durations, 0.99)
	return done
}

// quantile returns the nearest-rank quantile, in seconds, of sorted milliseconds.
func quantile(sorted []int64, q float64) float64 {
	rank := int(math.Ceil(q * float64(len(sorted))))
	return float64(sorted[rank-1]) / msPerSecond
}

func idleWorkers(workers []*peerpb.Upstream, allocated map[string]uint32) []fragmentation.Worker {
	result := make([]fragmentation.Worker, 0, len(workers))
	for _, worker := range workers {
		free := worker.Accelerators - min(allocated[worker.Id], worker.Accelerators)
		result = append(result, fragmentation.Worker{DataCentre: worker.DataCentre, Rack: worker.Rack, Name: worker.Id, Idle: free})
	}
	return result
}

// demands weights each work class by the number of entries that use it. A class without
// entries may still be used by submitted jobs, so its weight is 1.
func demands(items []*controlpb.Item) []fragmentation.Demand {
	weights := map[string]float64{}
	for _, item := range items {
		if entry := item.GetEntry(); entry != nil {
			weights[entry.WorkClass]++
		}
	}
	var result []fragmentation.Demand
	for _, item := range items {
		if class := item.GetWorkClass(); class != nil {
			result = append(result, fragmentation.Demand{
				Tasks:        class.Tasks,
				Accelerators: class.Accelerators,
				Adjacency:    class.Adjacency,
				Weight:       max(weights[class.Name], 1),
			})
		}
	}
	return result
}
