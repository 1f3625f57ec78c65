package scheduling

import (
	"cmp"
	"math"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// The ranks of waiting work: a lower one goes first.
const (
	rankUrgent = iota
	rankDeadline
	rankPatient
)

// Weights of the order.
const (
	// slackShare of the expected run time is the slack under which a deadline
	// presses: estimates are rough, so it counts before it is too late.
	slackShare = 1.0
	// ageScale is the wait in seconds, beyond the expected run time, that
	// halves the service a job is ranked by.
	ageScale = 600
	// priorityScale is the declared priority that halves it.
	priorityScale = 20
	// fairnessWeight is how many halvings one fair share of borrowed
	// accelerators costs.
	fairnessWeight = 1.0
)

// queue lists the waiting jobs in order, but for fairness among customers,
// which depends on what the pass gives out. Jobs still backing off are settled.
func (p *pass) queue() []*ask {
	var queue []*ask
	for _, job := range p.snapshot.Jobs {
		if job.State != controlpb.JobState_JOB_STATE_WAITING {
			continue
		}
		a := p.ask(job)
		if job.NotBeforeMs > p.nowMs {
			p.wait(a, ReasonBackoff)
			continue
		}
		p.rank(a)
		queue = append(queue, a)
	}
	slices.SortStableFunc(queue, compareAsks)
	return queue
}

func compareAsks(x, y *ask) int {
	return cmp.Or(
		cmp.Compare(x.rank, y.rank),
		cmp.Compare(x.score, y.score),
		cmp.Compare(x.job.SubmittedMs, y.job.SubmittedMs),
		cmp.Compare(x.job.Id, y.job.Id),
	)
}

// rank sets where a job stands: urgent work by age, pressing deadlines by
// slack, and patient work by service per wait, the shortest first (highest
// response ratio next), so that waiting moves every job to the front in time.
func (p *pass) rank(a *ask) {
	wait := float64(max(p.nowMs-a.job.SubmittedMs, 0)) / 1000
	expected := p.remaining(a.job)
	if a.job.Workflow != "" {
		a.rank, a.score = rankDeadline, p.objectiveScore(a)
		if a.job.Urgent {
			a.rank = rankUrgent
		}
		return
	}
	if a.job.Urgent {
		a.rank, a.score = rankUrgent, -wait
		return
	}
	if slack, pressing := p.slack(a.job, expected); pressing {
		a.rank, a.score = rankDeadline, slack
		return
	}
	width := float64(max(a.size().accelerators, 1))
	service := expected * math.Pow(width, 1-p.fragmentationWeight())
	a.rank = rankPatient
	a.score = math.Log2(service) - math.Log2(1+wait/(ageScale+expected)) - float64(a.job.Priority)/priorityScale
}

// fragmentationWeight is the declared one as a share. At 0 patient work is
// ranked by accelerator seconds, which gives the least mean completion time; at
// 1 by seconds alone, so that wide gangs go as early as narrow ones and small
// work does not scatter over the racks that they wait for.
func (p *pass) fragmentationWeight() float64 {
	return float64(min(p.snapshot.Rules.GetFragmentationWeight(), 100)) / 100
}

// slack is the seconds that a job could still wait and meet its deadline. A
// deadline already missed does not press: the work it would delay can still
// meet its own.
func (p *pass) slack(job *controlpb.Job, expected float64) (slack float64, pressing bool) {
	if job.DeadlineMs == 0 || job.DeadlineMs <= p.nowMs {
		return 0, false
	}
	slack = float64(job.DeadlineMs-p.nowMs)/1000 - expected
	return slack, slack < slackShare*expected
}

// fairQueue hands out asks in order, with customers that borrow much moved
// back. It reads what is used at each step.
type fairQueue struct {
	pass   *pass
	queues [][]*ask
}

func (p *pass) fairQueue(queue []*ask) *fairQueue {
	byCustomer := make([][]*ask, len(p.cluster.names))
	for _, a := range queue {
		if !p.settled[a.job.Id] {
			byCustomer[a.customer] = append(byCustomer[a.customer], a)
		}
	}
	byCustomer = slices.DeleteFunc(byCustomer, func(q []*ask) bool { return len(q) == 0 })
	return &fairQueue{p, byCustomer}
}

// next gives the ask that is due, or nil.
func (f *fairQueue) next() *ask {
	best := -1
	var bestRank int
	var bestScore float64
	for i, q := range f.queues {
		if len(q) == 0 {
			continue
		}
		score := q[0].score
		if q[0].rank == rankPatient {
			score += f.pass.borrowedPenalty(q[0].customer)
		}
		if best < 0 || q[0].rank < bestRank || (q[0].rank == bestRank && score < bestScore) {
			best, bestRank, bestScore = i, q[0].rank, score
		}
	}
	if best < 0 {
		return nil
	}
	a := f.queues[best][0]
	f.queues[best] = f.queues[best][1:]
	return a
}

// borrowedPenalty grows with the accelerators that a customer uses beyond its
// guarantee, against its weighted share of the cluster.
func (p *pass) borrowedPenalty(customer customerID) float64 {
	declared := p.snapshot.Customers[p.cluster.names[customer]]
	weight := max(float64(declared.GetWeight()), 1)
	borrowed := p.used[customer] - guaranteed(declared)
	if borrowed <= 0 || p.weights == 0 {
		return 0
	}
	fair := float64(p.capacity) * weight / p.weights
	return fairnessWeight * float64(borrowed) / max(fair, 1)
}

func guaranteed(customer *controlpb.Customer) int64 {
	var sum int64
	for _, shape := range customer.GetGuarantee() {
		sum += int64(shape.Sets) * int64(shape.Accelerators)
	}
	return sum
}
