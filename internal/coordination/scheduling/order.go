package scheduling

import (
	"cmp"
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// The ranks of waiting work; a lower rank goes first.
const (
	rankUrgent = iota
	rankDeadline
	rankNormal
)

// Weights of the order.
const (
	// slackShare is the slack, as a share of the expected run time, below which a
	// deadline counts as at risk. Run time estimates are rough, so it has to count
	// before it is too late.
	slackShare = 1.0
	// ageScale is the wait in seconds, beyond the expected run time, that halves the
	// service a job is ranked by.
	ageScale = 600
	// priorityScale is the declared priority that halves that service.
	priorityScale = 20
	// fairnessWeight is how many doublings of that service one fair share of borrowed
	// accelerators costs.
	fairnessWeight = 1.0
)

// queue returns the waiting jobs in order, except for fairness among customers, which
// depends on what the pass assigns. Jobs that are still in back-off are marked as
// waiting.
func (p *pass) queue() []*request {
	var queue []*request
	for _, job := range p.snapshot.Jobs {
		if job.State != controlpb.JobState_JOB_STATE_WAITING {
			continue
		}
		req := p.request(job)
		if job.NotBeforeMs > p.nowMs {
			p.markWaiting(req, ReasonBackoff)
			continue
		}
		if req.restricted && !p.hasKeptWorker(job) {
			p.markWaiting(req, ReasonIsolation)
			continue
		}
		p.rank(req)
		queue = append(queue, req)
	}
	slices.SortStableFunc(queue, compareRequests)
	return queue
}

// hasKeptWorker reports whether an available worker is kept for the job.
func (p *pass) hasKeptWorker(job *controlpb.Job) bool {
	return slices.ContainsFunc(p.cluster.nodes, func(n *node) bool {
		return n.worker.OnlyFor == job.Id && !n.worker.Unavailable
	})
}

func compareRequests(x, y *request) int {
	return cmp.Or(
		cmp.Compare(x.rank, y.rank),
		cmp.Compare(x.score, y.score),
		cmp.Compare(x.job.SubmittedMs, y.job.SubmittedMs),
		cmp.Compare(x.job.Id, y.job.Id),
	)
}

// rank sets a request's position in the queue: urgent work by age, deadlines at risk by
// slack, and all other work by expected service relative to the wait, the shortest
// first (highest response ratio next), so that every job reaches the front in time.
func (p *pass) rank(req *request) {
	wait := float64(max(p.nowMs-req.job.SubmittedMs, 0)) / 1000
	expected := p.remaining(req.job)
	if req.job.Workflow != "" {
		req.rank, req.score = rankDeadline, p.objectiveScore(req)
		if req.job.Urgent {
			req.rank = rankUrgent
		}
		return
	}
	if req.job.Urgent {
		req.rank, req.score = rankUrgent, -wait
		return
	}
	if slack, atRisk := p.slack(req.job, expected); atRisk {
		req.rank, req.score = rankDeadline, slack
		return
	}
	width := float64(max(req.size().accelerators, 1))
	service := expected * math.Pow(width, 1-p.fragmentationWeight())
	req.rank = rankNormal
	req.score = math.Log2(service) - math.Log2(1+wait/(ageScale+expected)) - float64(req.job.Priority)/priorityScale
}

// fragmentationWeight returns the declared weight as a share from 0 to 1. At 0, normal
// work is ranked by accelerator-seconds, which gives the lowest mean completion time.
// At 1 it is ranked by seconds alone, so that wide gangs start as early as narrow ones
// and small work isn't scattered over the racks that they wait for.
func (p *pass) fragmentationWeight() float64 {
	return float64(min(p.snapshot.Rules.GetFragmentationWeight(), 100)) / 100
}

// slack returns the seconds that a job can still wait and meet its deadline. A deadline
// already missed is not at risk: the work that it would delay can still meet its own.
func (p *pass) slack(job *controlpb.Job, expected float64) (slack float64, atRisk bool) {
	if job.DeadlineMs == 0 || job.DeadlineMs <= p.nowMs {
		return 0, false
	}
	slack = float64(job.DeadlineMs-p.nowMs)/1000 - expected
	return slack, slack < slackShare*expected
}

// fairQueue returns requests in order, with customers that borrow much moved back. It
// reads the current usage at each step.
type fairQueue struct {
	pass   *pass
	queues [][]*request
}

func (p *pass) fairQueue(queue []*request) *fairQueue {
	byCustomer := make([][]*request, len(p.cluster.names))
	for _, req := range queue {
		if !p.decided[req.job.Id] {
			byCustomer[req.customer] = append(byCustomer[req.customer], req)
		}
	}
	byCustomer = slices.DeleteFunc(byCustomer, func(q []*request) bool { return len(q) == 0 })
	return &fairQueue{p, byCustomer}
}

// next removes and returns the next request, or nil.
func (f *fairQueue) next() *request {
	best := -1
	var bestRank int
	var bestScore float64
	for i, q := range f.queues {
		if len(q) == 0 {
			continue
		}
		score := q[0].score
		if q[0].rank == rankNormal {
			score += f.pass.borrowedPenalty(q[0].customer)
		}
		if best < 0 || q[0].rank < bestRank || (q[0].rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = i, q[0].rank, score
		}
	}
	if best < 0 {
		return nil
	}
	req := f.queues[best][0]
	f.queues[best] = f.queues[best][1:]
	return req
}

// borrowedPenalty grows with the accelerators that a customer uses beyond its
// guarantee, relative to its weighted share of the cluster.
func (p *pass) borrowedPenalty(customer customerID) float64 {
	declared := p.snapshot.Customers[p.cluster.names[customer]]
	weight := max(float64(declared.GetWeight()), 1)
	borrowed := p.used[customer] - guaranteedAccelerators(declared)
	if borrowed <= 0 || p.weights == 0 {
		return 0
	}
	fair := float64(p.totalAccelerators) * weight / p.weights
	return fairnessWeight * float64(borrowed) / max(fair, 1)
}

func guaranteedAccelerators(customer *controlpb.Customer) int64 {
	var sum int64
	for _, shape := range customer.GetGuarantee() {
		sum += int64(shape.Sets) * int64(shape.Accelerators)
	}
	return sum
}
