package scheduling

import (
	"math"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Weights of the order among units of workflows; each outweighs all that follow.
const (
	// guaranteedScore puts work within its customer's guaranteed number of accelerators
	// first.
	guaranteedScore = -1e12
	// priorityStep separates the priorities of queues.
	priorityStep = 1e9
	// missedPenalty puts work that will miss its objective in any case behind work that
	// can still meet it: how late it ends makes no difference.
	missedPenalty = 1e8
	// maxObjectiveSeconds limits the time until an objective, so that it stays below
	// the weights above.
	maxObjectiveSeconds = 1e7
)

// objectiveScore orders units of workflows: guaranteed work first, then by the priority
// of the queue, then work that can still meet its objective, the nearest objective
// first. All units of a workflow share one objective, so workflows complete one after
// another rather than all being half done at the same time.
func (p *pass) objectiveScore(req *request) float64 {
	secondsLeft := float64(req.job.DeadlineMs-p.nowMs) / 1000
	score := priorityStep*float64(req.job.Priority) + math.Max(-maxObjectiveSeconds, math.Min(secondsLeft, maxObjectiveSeconds))
	if secondsLeft < p.remaining(req.job) {
		score += missedPenalty
	}
	if p.withinGuarantee(req.job) {
		score += guaranteedScore
	}
	return score
}

// worthPreempting reports whether urgent work may preempt other work: a unit that
// misses its objective in any case would only make others late as well.
func (p *pass) worthPreempting(req *request) bool {
	if req.job.Workflow == "" || p.withinGuarantee(req.job) {
		return true
	}
	return float64(req.job.DeadlineMs-p.nowMs)/1000 >= p.remaining(req.job)
}

const (
	// maxLossRatio limits the work that may be discarded for a unit, relative to the
	// work that it allows to start. Short urgent work is worth several times as much
	// for its size as the work it preempts, but not any multiple.
	maxLossRatio = 2.0
	// unlimitedLossAfter is the wait after which guaranteed work may preempt whatever
	// the loss; that leaves time for a stop and a start before the work has to run.
	unlimitedLossAfter = time.Second
)

// lossBudget returns how much work may be discarded to start the request, in
// accelerator-seconds.
func (p *pass) lossBudget(req *request) float64 {
	if req.job.Workflow == "" {
		return math.Inf(1)
	}
	waited := time.Duration(p.nowMs-req.job.SubmittedMs) * time.Millisecond
	if waited >= unlimitedLossAfter && p.withinGuarantee(req.job) {
		return math.Inf(1)
	}
	return maxLossRatio * weightedSize(req.job) * p.remaining(req.job)
}

// withinGuarantee reports whether a job is covered by its customer's guaranteed number
// of accelerators, which holds while all urgent work of the customer together needs no
// more.
func (p *pass) withinGuarantee(job *controlpb.Job) bool {
	if !job.Urgent || job.Workflow == "" {
		return false
	}
	if p.urgentDemand == nil {
		p.urgentDemand = map[string]int64{}
		for _, other := range p.snapshot.Jobs {
			if other.Urgent && other.Workflow != "" {
				p.urgentDemand[other.Customer] += int64(other.Tasks) * int64(other.Accelerators)
			}
		}
	}
	guarantee := p.snapshot.Customers[job.Customer].GetGuaranteedAccelerators()
	return p.urgentDemand[job.Customer] <= int64(guarantee)
}
