package scheduling

import (
	"math"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Weights of the order among units of workflows; each goes before all that follow.
const (
	// assuredFirst puts work that a customer's guarantee by count covers before all.
	assuredFirst = -1e12
	// priorityStep separates the priorities of queues.
	priorityStep = 1e9
	// missedPenalty puts work that misses its objective anyway behind what can
	// still meet it: late is late, by however much.
	missedPenalty = 1e8
	// farthest bounds a time until an objective, in seconds, to stay below these.
	farthest = 1e7
)

// objectiveScore orders units of workflows: guaranteed work first, then by the
// priority of the queue, then what can still meet its objective by how near that
// is. All units of a workflow have one objective, so workflows end one by one
// rather than all at half their work.
func (p *pass) objectiveScore(a *ask) float64 {
	left := float64(a.job.DeadlineMs-p.nowMs) / 1000
	score := priorityStep*float64(a.job.Priority) + math.Max(-farthest, math.Min(left, farthest))
	if left < p.remaining(a.job) {
		score += missedPenalty
	}
	if p.assured(a.job) {
		score += assuredFirst
	}
	return score
}

// worthTakingBack tells whether urgent work may stop other work: a unit that
// misses its objective all the same would only make others late too.
func (p *pass) worthTakingBack(a *ask) bool {
	if a.job.Workflow == "" || p.assured(a.job) {
		return true
	}
	return float64(a.job.DeadlineMs-p.nowMs)/1000 >= p.remaining(a.job)
}

const (
	// mostLossShare bounds the work that may be thrown away for a unit, as a share
	// of the work that it lets begin: short urgent work is worth several times as
	// much for its size as what it stops, but not any number of times.
	mostLossShare = 2.0
	// assuredAnyLoss is the wait after which guaranteed work may stop anything; a
	// stop and a start still fit in before it has to run.
	assuredAnyLoss = time.Second
)

// mayLose is the work that may be thrown away to let the ask begin.
func (p *pass) mayLose(a *ask) float64 {
	if a.job.Workflow == "" {
		return math.Inf(1)
	}
	waited := time.Duration(p.nowMs-a.job.SubmittedMs) * time.Millisecond
	if waited >= assuredAnyLoss && p.assured(a.job) {
		return math.Inf(1)
	}
	return mostLossShare * workWidth(a.job) * p.remaining(a.job)
}

// assured tells whether a job is covered by its customer's guarantee by count:
// that holds while all its urgent work together needs no more.
func (p *pass) assured(job *controlpb.Job) bool {
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
