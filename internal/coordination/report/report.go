// Package report works out completion, waste and fragmentation from the control
// state. It is pure.
package report

import (
	"math"
	"slices"
	"sort"
	"strings"

	"pinewinch.example/pinewinch/internal/coordination/fragmentation"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const msPerSecond = 1000

// State is what the report reads of the control state.
type State interface {
	Items() []*controlpb.Item
	Jobs() []*controlpb.Job
}

// Of reports on the state, with the live workers.
func Of(state State, workers []*peerpb.Upstream) *api.Status {
	status := &api.Status{Jobs: map[string]int{}, Workers: len(workers)}
	for _, worker := range workers {
		status.Accelerators += int(worker.Accelerators)
	}
	customers := map[string]*customer{}
	total := &customer{}
	held := map[string]uint32{}
	for _, item := range state.Items() {
		if declared := item.GetCustomer(); declared != nil {
			customers[declared.Name] = &customer{guaranteed: guaranteed(declared)}
		}
	}
	for _, job := range state.Jobs() {
		status.Jobs[StateName(job.State)]++
		if customers[job.Customer] == nil {
			customers[job.Customer] = &customer{}
		}
		customers[job.Customer].add(job)
		total.add(job)
		for _, placement := range job.Placements {
			held[placement.Worker] += uint32(len(placement.Accelerators))
		}
	}
	status.Used = total.used
	status.Idle = max(status.Accelerators-status.Used, 0)
	status.Completion = total.completion()
	status.Waste = total.waste
	status.Customers = describe(customers)
	for _, c := range status.Customers {
		status.Waste.IdleInGuarantee += c.Waste.IdleInGuarantee
	}
	status.Waste.IdleInGuarantee = min(status.Waste.IdleInGuarantee, status.Idle)
	status.Fragmentation = fragmentation.Of(idle(workers, held), demands(state.Items()))
	return status
}

const statePrefix = "JOB_STATE_"

// StateName is the name of a job's state in JSON and tables.
func StateName(state controlpb.JobState) string {
	return strings.ToLower(strings.TrimPrefix(state.String(), statePrefix))
}

func guaranteed(customer *controlpb.Customer) int {
	sum := 0
	for _, shape := range customer.Guarantee {
		sum += int(shape.Sets * shape.Accelerators)
	}
	return sum
}

// customer sums up the jobs of one customer, or of all.
type customer struct {
	guaranteed int
	used       int
	waiting    int
	running    int
	met        int
	missed     int
	waste      api.Waste
	// took holds milliseconds from submission to the end.
	took []int64
}

func (c *customer) add(job *controlpb.Job) {
	switch job.State {
	case controlpb.JobState_JOB_STATE_WAITING:
		c.waiting++
	case controlpb.JobState_JOB_STATE_RUNNING:
		c.running++
	case controlpb.JobState_JOB_STATE_COMPLETED:
		c.took = append(c.took, job.EndedMs-job.SubmittedMs)
		c.countDeadline(job)
	}
	for _, placement := range job.Placements {
		c.used += len(placement.Accelerators)
	}
	accelerators := float64(job.Tasks) * float64(job.Accelerators) / msPerSecond
	c.waste.Run += float64(job.RanMs) * accelerators
	c.waste.Reserved += float64(job.ReservedMs) * accelerators
	c.waste.Preempted += float64(job.LostPreemptedMs) * accelerators
	c.waste.Retried += float64(job.LostMs-job.LostPreemptedMs) * accelerators
}

func (c *customer) countDeadline(job *controlpb.Job) {
	switch {
	case job.DeadlineMs == 0:
	case job.EndedMs <= job.DeadlineMs:
		c.met++
	default:
		c.missed++
	}
}

func (c *customer) completion() api.Completion {
	done := api.Completion{Jobs: len(c.took), DeadlinesMet: c.met, DeadlinesMissed: c.missed}
	if len(c.took) == 0 {
		return done
	}
	slices.Sort(c.took)
	var sum int64
	for _, ms := range c.took {
		sum += ms
	}
	done.MeanSeconds = float64(sum) / float64(len(c.took)) / msPerSecond
	done.MedianSeconds = quantile(c.took, 0.5)
	done.P99Seconds = quantile(c.took, 0.99)
	return done
}

// quantile is the nearest-rank quantile of sorted milliseconds, in seconds.
func quantile(sorted []int64, q float64) float64 {
	rank := int(math.Ceil(q * float64(len(sorted))))
	return float64(sorted[rank-1]) / msPerSecond
}

func describe(customers map[string]*customer) []api.CustomerStatus {
	described := make([]api.CustomerStatus, 0, len(customers))
	for name, c := range customers {
		c.waste.IdleInGuarantee = max(c.guaranteed-c.used, 0)
		described = append(described, api.CustomerStatus{
			Name:       name,
			Waiting:    c.waiting,
			Running:    c.running,
			Guaranteed: c.guaranteed,
			Used:       c.used,
			Completion: c.completion(),
			Waste:      c.waste,
		})
	}
	sort.Slice(described, func(i, j int) bool { return described[i].Name < described[j].Name })
	return described
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
