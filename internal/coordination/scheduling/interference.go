package scheduling

import (
	"cmp"
	"math"
	"slices"
	"strconv"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// interferenceClass returns the class of the gang's job, which is built once in a pass.
func (g *gang) interferenceClass() string {
	if g.class == "" {
		g.class = InterferenceClass(g.job)
	}
	return g.class
}

// ClassPair names two classes, in the form of InterferenceClass, of which the second slows
// down the first on the same worker.
type ClassPair struct{ Victim, Aggressor string }

// InterferenceClass returns the class of a job for interference: the queue and step of a
// unit of a workflow, or the declared class.
func InterferenceClass(job *controlpb.Job) string {
	if job.Workflow == "" {
		return job.WorkClass
	}
	return job.WorkClass + "/" + strconv.FormatUint(uint64(job.Step), 10)
}

// Separation records that a placement was changed to keep classes apart.
type Separation struct {
	Job, Class string
	// Beside is the class that the placement avoids most.
	Beside string
	// From and To are the first workers that differ.
	From, To string
	// Before and After are the sums of the slow-downs beside the job, as shares of run
	// times.
	Before, After float64
}

// roomToOpen is the share of a rack's accelerators that must be free for an empty worker
// to be used in order to keep classes apart. With less, gangs that need whole workers come
// first.
const roomToOpen = 0.5

// separates reports whether the pass keeps interfering classes apart.
func (p *pass) separates() bool {
	return p.snapshot.Features.Interference && len(p.snapshot.Interference) > 0
}

// separate returns a placement in the same racks, on workers of the same speed classes, on
// which fewer tasks slow each other down, or the given one if there is none. It never
// uses more of other customers' cells, doesn't spread urgent work over more workers, and
// uses no slower worker where ends are estimated.
func (p *pass) separate(req *request, placement []nodeTasks) []nodeTasks {
	if !p.separates() {
		return placement
	}
	class := InterferenceClass(req.job)
	before := p.conflictOf(class, placement)
	if before == 0 {
		return placement
	}
	other := p.leastConflict(req, class, placement)
	after := p.conflictOf(class, other)
	if other == nil || after >= before || !p.asGood(req, placement, other) {
		return placement
	}
	p.recordSeparation(req, class, placement, other, before, after)
	return other
}

// asGood reports whether a placement is no worse than another but for interference.
func (p *pass) asGood(req *request, placement, other []nodeTasks) bool {
	if req.job.Urgent && len(other) > len(placement) {
		return false
	}
	borrowed, opened := costs(req, placement)
	otherBorrowed, otherOpened := costs(req, other)
	return otherBorrowed <= borrowed && otherOpened <= opened
}

// costs returns what a placement uses of other customers' cells, and how many empty workers
// it opens in racks that have no room for that.
func costs(req *request, placement []nodeTasks) (borrowed int64, opened int) {
	for _, part := range placement {
		borrowed += borrowCost(part.node, req)
		if r := part.node.rack; float64(r.free.accelerators) < roomToOpen*float64(r.total.accelerators) {
			opened += part.node.entirelyFree()
		}
	}
	return borrowed, opened
}

// leastConflict places the tasks of each rack of a placement anew, on the workers with the
// least interference first and otherwise in the usual order; nil if they don't fit.
func (p *pass) leastConflict(req *request, class string, placement []nodeTasks) []nodeTasks {
	var racks []*rack
	var speeds speedClass
	tasks := map[*rack]int64{}
	for _, part := range placement {
		if tasks[part.node.rack] == 0 {
			racks = append(racks, part.node.rack)
		}
		tasks[part.node.rack] += part.tasks
		speeds |= part.node.speed
	}
	capacity := onlySpeeds(speeds, p.asSuitable(req, placement, freeCapacity))
	var other []nodeTasks
	for _, r := range racks {
		here := p.leastConflictIn(r, req, class, tasks[r], capacity)
		if here == nil {
			return nil
		}
		other = append(other, here...)
	}
	return other
}

// asSuitable limits a capacityFunc to nodes that keep what the choice of a placement has
// achieved: none slower than its slowest, where ends are estimated, and for a further attempt
// none with a bad record, unless the placement has one.
func (p *pass) asSuitable(req *request, placement []nodeTasks, inner capacityFunc) capacityFunc {
	slowest, reliable := math.Inf(1), req.careful && isRetry(req.job)
	for _, part := range placement {
		slowest = min(slowest, part.node.relativeSpeed)
		reliable = reliable && !part.node.worker.BadRecord
	}
	return func(n *node, req *request) int64 {
		if p.cluster.expectedEnd && n.relativeSpeed < slowest || reliable && n.worker.BadRecord {
			return 0
		}
		return inner(n, req)
	}
}

func (p *pass) leastConflictIn(r *rack, req *request, class string, tasks int64, capacity capacityFunc) []nodeTasks {
	var candidates []nodeTasks
	var sum int64
	conflicts := map[*node]float64{}
	for _, n := range r.nodes {
		count := capacity(n, req)
		if count <= 0 || req.adjacency == controlpb.Adjacency_ADJACENCY_WORKER && count < tasks {
			continue
		}
		conflicts[n], _ = p.conflict(class, n)
		candidates = append(candidates, nodeTasks{n, count})
		sum += count
	}
	if sum < tasks {
		return nil
	}
	slices.SortStableFunc(candidates, func(x, y nodeTasks) int {
		return cmp.Or(
			cmp.Compare(conflicts[x.node], conflicts[y.node]),
			cmp.Compare(x.node.entirelyFree(), y.node.entirelyFree()),
			cmp.Compare(x.node.free.accelerators, y.node.free.accelerators),
		)
	})
	return takeInOrder(candidates, tasks)
}

// takeInOrder takes candidates in order until all tasks are placed.
func takeInOrder(candidates []nodeTasks, tasks int64) []nodeTasks {
	var chosen []nodeTasks
	for _, candidate := range candidates {
		candidate.tasks = min(candidate.tasks, tasks)
		chosen = append(chosen, candidate)
		if tasks -= candidate.tasks; tasks == 0 {
			break
		}
	}
	return chosen
}

func (p *pass) conflictOf(class string, placement []nodeTasks) float64 {
	var sum float64
	for _, part := range placement {
		here, _ := p.conflict(class, part.node)
		sum += here
	}
	return sum
}

// conflict returns the sum of the slow-downs, both ways, between a task of a class and the
// gangs on a node, and the class that adds most of it.
func (p *pass) conflict(class string, n *node) (sum float64, worst string) {
	var most float64
	add := func(other string) {
		here := p.slowdown(class, other) + p.slowdown(other, class)
		if sum += here; here > most {
			most, worst = here, other
		}
	}
	for _, g := range n.gangs {
		if !g.stopping && !g.preempted {
			add(g.interferenceClass())
		}
	}
	for _, other := range p.classesStarted[n] {
		add(other)
	}
	return sum, worst
}

func (p *pass) slowdown(victim, aggressor string) float64 {
	return max(p.snapshot.Interference[ClassPair{victim, aggressor}]-1, 0)
}

// recordClasses records the class of a job that the pass has placed.
func (p *pass) recordClasses(req *request, placement []nodeTasks) {
	if !p.separates() {
		return
	}
	if p.classesStarted == nil {
		p.classesStarted = map[*node][]string{}
	}
	class := InterferenceClass(req.job)
	for _, part := range placement {
		p.classesStarted[part.node] = append(p.classesStarted[part.node], class)
	}
}

func (p *pass) recordSeparation(req *request, class string, placement, other []nodeTasks, before, after float64) {
	separation := Separation{Job: req.job.Id, Class: class, Before: before, After: after}
	var most float64
	for _, part := range placement {
		if here, worst := p.conflict(class, part.node); here > most && !uses(other, part.node) {
			most, separation.Beside, separation.From = here, worst, part.node.worker.ID
		}
	}
	for _, part := range other {
		if !uses(placement, part.node) {
			separation.To = part.node.worker.ID
			break
		}
	}
	p.plan.Separations = append(p.plan.Separations, separation)
}

func uses(placement []nodeTasks, n *node) bool {
	return slices.ContainsFunc(placement, func(part nodeTasks) bool { return part.node == n })
}
