package scheduling

import (
	"math"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
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
	// UnlimitedLossAfter is the wait after which guaranteed work may preempt whatever
	// the loss; that leaves time for a stop and a start before the work has to run.
	UnlimitedLossAfter = time.Second
)

// lossBudget returns how much work may be discarded to start the request, in
// accelerator-seconds.
func (p *pass) lossBudget(req *request) float64 {
	if req.job.Workflow == "" {
		return math.Inf(1)
	}
	if p.unlimitedLoss(req) {
		return math.Inf(1)
	}
	return maxLossRatio * weightedSize(req.job) * p.remaining(req.job)
}

// unlimitedLoss reports whether a unit is guaranteed work that has waited so long that it may discard
// any work.
func (p *pass) unlimitedLoss(req *request) bool {
	waited := time.Duration(p.nowMs-req.job.SubmittedMs) * time.Millisecond
	return waited >= UnlimitedLossAfter && p.withinGuarantee(req.job)
}

// withinGuarantee reports whether a job is covered by its customer's guaranteed number of
// accelerators, which holds while the customer's urgent work needs no more. Work that has lost a
// run with its worker counts last: it may wait for long, and as part of the demand it would take the
// guarantee from all urgent work that comes after it.
func (p *pass) withinGuarantee(job *controlpb.Job) bool {
	if !job.Urgent || job.Workflow == "" {
		return false
	}
	if p.urgentDemand == nil {
		p.countUrgentDemand()
	}
	demand := p.urgentDemand[job.Customer]
	needed := demand.undisturbed
	if hasLostRun(job) {
		needed += demand.disturbed
	}
	return needed <= int64(p.snapshot.Customers[job.Customer].GetGuaranteedAccelerators())
}

// urgentDemand is the number of accelerators that a customer's open urgent units ask for: those
// that have lost a run with its worker, and the others.
type urgentDemand struct{ undisturbed, disturbed int64 }

func (p *pass) countUrgentDemand() {
	p.urgentDemand = map[string]urgentDemand{}
	for _, job := range p.snapshot.Jobs {
		if !job.Urgent || job.Workflow == "" {
			continue
		}
		demand := p.urgentDemand[job.Customer]
		size := int64(job.Tasks) * int64(job.Accelerators)
		if hasLostRun(job) {
			demand.disturbed += size
		} else {
			demand.undisturbed += size
		}
		p.urgentDemand[job.Customer] = demand
	}
}

// hasLostRun reports whether a run of the job, or of a member of its gang, has ended with its worker, or
// could not start for it.
func hasLostRun(job *controlpb.Job) bool {
	return slices.ContainsFunc(job.Failures, func(f *controlpb.TaskFailure) bool {
		return failure.Code(f.Code).Infrastructure()
	})
}
