package scheduling

import (
	"math"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// RunFactor returns the work that a run does in one second of its time, in seconds of a
// worker of the usual speed: the speed of its slowest member, less what it loses away from
// its data or over several racks. workerOf returns nil for an unknown worker, which
// counts as one of the usual speed near the data.
func RunFactor(job *controlpb.Job, workerOf func(id string) *Worker) float64 {
	slowest, severalRacks := 0.0, false
	var first *Worker
	for _, placement := range job.Placements {
		worker, speed := workerOf(placement.Worker), 1.0
		if worker != nil {
			speed = usableSpeed(worker.Speed)
			if first == nil {
				first = worker
			}
			// Racks are named within a data centre.
			severalRacks = severalRacks || worker.Rack != first.Rack || worker.DataCentre != first.DataCentre
		}
		if slowest == 0 || speed < slowest {
			slowest = speed
		}
	}
	if slowest == 0 {
		return 1
	}
	rack := ""
	if first != nil {
		rack = first.Rack
	}
	return slowest / remoteFactor(job, rack, severalRacks)
}

// Limits of a speed that estimates use: an estimate outside is an error of the observation.
const (
	minSpeed = 0.05
	maxSpeed = 4.0
)

func usableSpeed(speed float64) float64 {
	if speed == 0 {
		return 1
	}
	return min(max(speed, minSpeed), maxSpeed)
}

// remoteFactor is the factor by which a job runs longer on workers of one rack, or of
// several, than close to its data.
func remoteFactor(job *controlpb.Job, rack string, severalRacks bool) float64 {
	away := job.DataRack != "" && rack != "" && rack != job.DataRack
	if away || severalRacks && (job.TightlyCoupled || job.DataRack != "") {
		return remoteSlowdown
	}
	return 1
}

// estimateWork sets the work that a request still has, and the time to its objective.
func (p *pass) estimateWork(req *request) {
	req.work = p.workLeft(req.job, 0)
	req.secondsLeft = math.Inf(1)
	if req.job.DeadlineMs > 0 {
		req.secondsLeft = float64(req.job.DeadlineMs-p.nowMs) / 1000
	}
}

// workLeft returns the work that a job still has after that many seconds' worth of it in
// its current run, in seconds of a worker of the usual speed. Work that has outlived its
// estimate is expected to take as long again, as in remaining.
func (p *pass) workLeft(job *controlpb.Job, done float64) float64 {
	total := p.snapshot.RunTimes.Estimate(job.WorkClass, time.Duration(job.RunTimeMs)*time.Millisecond)
	if done += float64(job.CheckpointedMs) / 1000; done >= total {
		return done
	}
	return max(total-done, minRunTime.Seconds())
}

// restoreSeconds is the time that a start of the job takes to restore its checkpoint.
func (p *pass) restoreSeconds(job *controlpb.Job) float64 {
	if job.CheckpointedMs == 0 {
		return 0
	}
	return p.snapshot.Features.RestoreTime.Seconds()
}

// expectedSeconds returns the expected seconds that a waiting job runs at the given speed;
// its lateness is judged at the usual speed, 1.
func (p *pass) expectedSeconds(job *controlpb.Job, speed float64) float64 {
	return p.restoreSeconds(job) + p.workLeft(job, 0)/speed
}

// remainingOf returns the expected seconds that a job with workers still runs.
func (p *pass) remainingOf(g *gang) float64 {
	if !p.snapshot.Features.ExpectedEnd || len(g.allocations) == 0 || g.job.StartedMs == 0 {
		return p.remaining(g.job)
	}
	speed := g.speed()
	ran := float64(max(p.nowMs-g.job.StartedMs, 0))/1000 - p.restoreSeconds(g.job)
	return p.workLeft(g.job, max(ran, 0)*speed) / speed
}

// speed returns the work that the gang does in a second, like RunFactor.
func (g *gang) speed() float64 {
	slowest := g.allocations[0].node.relativeSpeed
	for _, a := range g.allocations[1:] {
		slowest = min(slowest, a.node.relativeSpeed)
	}
	return slowest / g.remoteFactor()
}

// remoteFactor is that of the gang's job on its workers.
func (g *gang) remoteFactor() float64 {
	first := g.allocations[0].node.rack
	several := slices.ContainsFunc(g.allocations, func(a allocation) bool { return a.node.rack != first })
	return remoteFactor(g.job, first.name, several)
}

func (g *gang) rackCount() int {
	racks := map[*rack]bool{}
	for _, a := range g.allocations {
		racks[a.node.rack] = true
	}
	return len(racks)
}

// placedGang is a gang as a placement would start it.
func placedGang(job *controlpb.Job, placement []nodeTasks) *gang {
	g := &gang{job: job}
	for _, part := range placement {
		g.allocations = append(g.allocations, allocation{node: part.node})
	}
	return g
}

// Bands of speed, by their number, limited to the speeds that workers have. A band is as
// wide as a step of ranks, since estimates are no better: bands of 0.2 refused workers up
// to 22% faster than needed. Narrower ones would let fewer requests share a count.
const (
	bandWidth = rankStep
	firstBand = -60
	lastBand  = 28
)

// limitsPreemption reports whether work may be stopped for a request only where the request
// then ends in time.
func (p *pass) limitsPreemption(req *request, grounds preemptionGrounds) bool {
	return p.cluster.expectedEnd && grounds == groundsUrgency && req.job.Workflow != "" && !p.withinGuarantee(req.job)
}

// speedLimit limits the workers on which work may be stopped for a request to those on
// which the request ends in time; the zero value is no limit. Requests with equal limits
// share counts, so everything that the limit depends on is part of it.
type speedLimit struct {
	limited bool
	// band is the number of the slowest band of speed.
	band int
	// dataRack is where this band holds, workers elsewhere have to be faster by the remote
	// slowdown; empty if the band holds everywhere.
	dataRack string
}

// speedLimitInTime is the limit at which the request ends in time, restore included. A gang
// that may be placed in several racks is taken to be.
func (p *pass) speedLimitInTime(req *request) speedLimit {
	needed := math.Log(max(req.work, minSpeed) / max(req.secondsLeft-p.restoreSeconds(req.job), minSpeed))
	limit := speedLimit{limited: true}
	if remoteFactor(req.job, "", req.spansRacks()) > 1 {
		needed += logRemoteSlowdown
	} else {
		limit.dataRack = req.job.DataRack
	}
	limit.band = min(max(int(math.Ceil(needed/bandWidth)), firstBand), lastBand)
	return limit
}

// spansRacks reports whether the request may be placed over several racks.
func (req *request) spansRacks() bool {
	oneRack := req.adjacency == controlpb.Adjacency_ADJACENCY_WORKER || req.adjacency == controlpb.Adjacency_ADJACENCY_RACK
	return req.tasks > 1 && !oneRack && req.rack == ""
}

// capacity applies the limit to a capacityFunc.
func (l speedLimit) capacity(inner capacityFunc) capacityFunc {
	if !l.limited {
		return inner
	}
	least := float64(l.band) * bandWidth
	return func(n *node, req *request) int64 {
		speed := n.logSpeed
		if l.dataRack != "" && n.rack.name != l.dataRack {
			speed -= logRemoteSlowdown
		}
		if speed < least {
			return 0
		}
		return inner(n, req)
	}
}

// Expectation is the estimate for a job that a plan starts: the work that its workers do in
// a second, as in RunFactor, and how long it is expected to run there.
type Expectation struct {
	Speed float64
	Runs  time.Duration
}

// expect records the expectation of a request that the plan starts.
func (p *pass) expect(req *request, placement []nodeTasks) {
	if !p.snapshot.Features.ExpectedEnd {
		return
	}
	if p.plan.Expected == nil {
		p.plan.Expected = map[string]Expectation{}
	}
	speed := placedGang(req.job, placement).speed()
	runs := time.Duration(p.expectedSeconds(req.job, speed) * float64(time.Second))
	p.plan.Expected[req.job.Id] = Expectation{speed, runs}
}
