// Package report works out completion, waste and fragmentation from the control
// state. It is pure.
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

// State is what the report reads of the control state.
type State interface {
	Items() []*controlpb.Item
	Jobs() []*controlpb.Job
}

// Of reports on the state, with the live workers.
func Of(state State, workers []*peerpb.Upstream) *api.Status {
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
	held := map[string]uint32{}
	for _, job := range jobs {
		status.Jobs[StateName(job.State)]++
		for _, placement := range job.Placements {
			held[placement.Worker] += uint32(len(placement.Accelerators))
		}
	}
	counted := waste.Of(jobs, workers, total.guarantees)
	status.Accelerators = int(counted.Total)
	status.Idle = int(counted.Idle)
	status.Used = status.Accelerators - status.Idle
	status.Waste = total.waste(&counted)
	status.Completion = total.completion()
	status.Fragmentation = fragmentation.Of(idle(workers, held), demands(state.Items()))
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

// StateName is the name of a job's state in JSON and tables.
func StateName(state controlpb.JobState) string {
	return strings.ToLower(store.StateName(state))
}

// customer is what is known of one customer, or of all together. A customer
// whose declaration is gone may still have jobs.
type customer struct {
	declared   *controlpb.Customer
	guarantees []*controlpb.Customer
	jobs       []*controlpb.Job
}

func (c *customer) describe(name string, workers []*peerpb.Upstream) api.CustomerStatus {
	counted := waste.Of(c.jobs, workers, c.guarantees)
	described := api.CustomerStatus{
		Name:       name,
		Used:       int(counted.Total - counted.Idle),
		Completion: c.completion(),
		Waste:      c.waste(&counted),
	}
	for _, shape := range c.declared.GetGuarantee() {
		described.Guaranteed += int(shape.Sets * shape.Accelerators)
	}
	for _, job := range c.jobs {
		switch job.State {
		case controlpb.JobState_JOB_STATE_WAITING:
			described.Waiting++
		case controlpb.JobState_JOB_STATE_RUNNING:
			described.Running++
		}
	}
	return described
}

func (c *customer) waste(counted *waste.Waste) api.Waste {
	described := api.Waste{
		Reserved:        counted.ReservedSeconds,
		Preempted:       counted.LostToPreemptionSeconds,
		Retried:         counted.LostToRetriesSeconds,
		ReservedNow:     int(counted.ReservedUnused),
		IdleInGuarantee: int(counted.IdleInGuarantee),
	}
	for _, job := range c.jobs {
		described.Run += float64(job.RanMs) * float64(job.Tasks*job.Accelerators) / msPerSecond
	}
	return described
}

func (c *customer) completion() api.Completion {
	var done api.Completion
	var took []int64
	var sum int64
	for _, job := range c.jobs {
		if job.State != controlpb.JobState_JOB_STATE_COMPLETED {
			continue
		}
		took = append(took, job.EndedMs-job.SubmittedMs)
		sum += job.EndedMs - job.SubmittedMs
		if job.DeadlineMs != 0 && job.EndedMs <= job.DeadlineMs {
			done.DeadlinesMet++
		} else if job.DeadlineMs != 0 {
			done.DeadlinesMissed++
		}
	}
	if len(took) == 0 {
		return done
	}
	slices.Sort(took)
	done.Jobs = len(took)
	done.MeanSeconds = float64(sum) / float64(len(took)) / msPerSecond
	done.MedianSeconds = quantile(took, 0.5)
	done.P99Seconds = quantile(took, 0.99)
	return done
}

// quantile is the nearest-rank quantile of sorted milliseconds, in seconds.
func quantile(sorted []int64, q float64) float64 {
	rank := int(math.Ceil(q * float64(len(sorted))))
	return float64(sorted[rank-1]) / msPerSecond
}

func idle(workers []*peerpb.Upstream, held map[string]uint32) []fragmentation.Worker {
	parts := make([]fragmentation.Worker, 0, len(workers))
	for _, worker := range workers {
		free := worker.Accelerators - min(held[worker.Id], worker.Accelerators)
		parts = append(parts, fragmentation.Worker{DataCentre: worker.DataCentre, Rack: worker.Rack, Name: worker.Id, Idle: free})
	}
	return parts
}

// demands weighs each class by the entries that ask for it; a class that no
// entry names may still be submitted, and counts once.
func demands(items []*controlpb.Item) []fragmentation.Demand {
	weights := map[string]float64{}
	for _, item := range items {
		if entry := item.GetEntry(); entry != nil {
			weights[entry.WorkClass]++
		}
	}
	var wanted []fragmentation.Demand
	for _, item := range items {
		if class := item.GetWorkClass(); class != nil {
			wanted = append(wanted, fragmentation.Demand{
				Tasks:        class.Tasks,
				Accelerators: class.Accelerators,
				Adjacency:    class.Adjacency,
				Weight:       max(weights[class.Name], 1),
			})
		}
	}
	return wanted
}
