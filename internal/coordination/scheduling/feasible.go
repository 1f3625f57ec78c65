package scheduling

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Shape is what a job or a class of work asks for.
type Shape struct {
	Tasks        uint32              `json:"tasks"`
	Accelerators uint32              `json:"accelerators"`
	Cores        uint32              `json:"cores"`
	CoresMilli   uint32              `json:"cores_milli,omitempty"`
	MemoryMB     uint64              `json:"memory_mb"`
	Adjacency    controlpb.Adjacency `json:"adjacency"`
}

// JobShape gives the shape of a job.
func JobShape(job *controlpb.Job) Shape {
	return Shape{max(job.Tasks, 1), job.Accelerators, job.Cores, job.CoresMilli, job.MemoryMb, job.Adjacency}
}

// ClassShape gives the shape of a class of work.
func ClassShape(class *controlpb.WorkClass) Shape {
	return Shape{max(class.Tasks, 1), class.Accelerators, class.Cores, 0, class.MemoryMb, class.Adjacency}
}

// each is the size of one task.
func (s Shape) each() amount {
	return amount{int64(s.Accelerators), milliCores(s.Cores, s.CoresMilli), int64(s.MemoryMB)}
}

// Feasibility tells whether a shape fits onto the workers with nothing else
// running.
type Feasibility struct {
	Feasible bool `json:"feasible"`
	// Nearest is the largest part of the shape that would fit: first each task
	// is cut to what one worker has, then the number of tasks to what one
	// domain takes. It has no tasks if there are no workers.
	Nearest Shape `json:"nearest"`
	// Wider is the nearest adjacency at which the whole number of tasks would
	// fit, if any does.
	Wider    controlpb.Adjacency `json:"wider"`
	HasWider bool                `json:"has_wider"`
}

// Feasible compares a shape with all known workers, also those that are
// unavailable for now: their work is impossible only for now.
func Feasible(shape Shape, workers []Worker) Feasibility {
	return newCluster(workers).feasibility(shape)
}

func (c *cluster) feasibility(shape Shape) Feasibility {
	whole := c.mostTasks(shape)
	if whole >= int64(shape.Tasks) {
		return Feasibility{Feasible: true, Nearest: shape}
	}
	result := Feasibility{Nearest: c.cutTask(shape)}
	result.Nearest.Tasks = uint32(min(c.mostTasks(result.Nearest), int64(shape.Tasks)))
	for _, wider := range widerThan(shape.Adjacency) {
		candidate := shape
		candidate.Adjacency = wider
		if c.mostTasks(candidate) >= int64(shape.Tasks) {
			result.Wider, result.HasWider = wider, true
			break
		}
	}
	return result
}

func widerThan(adjacency controlpb.Adjacency) []controlpb.Adjacency {
	byWidth := []controlpb.Adjacency{
		controlpb.Adjacency_ADJACENCY_WORKER,
		controlpb.Adjacency_ADJACENCY_RACK,
		controlpb.Adjacency_ADJACENCY_DATA_CENTRE,
		controlpb.Adjacency_ADJACENCY_ANY,
	}
	return byWidth[width(adjacency)+1:]
}

// mostTasks is how many tasks of a shape the best domain takes when empty.
func (c *cluster) mostTasks(shape Shape) int64 {
	each := shape.each()
	var most int64
	for _, domain := range c.domains(shape.Adjacency) {
		var tasks int64
		for _, n := range domain.nodes {
			tasks += n.total.tasks(each)
		}
		most = max(most, tasks)
	}
	return most
}

// cutTask reduces one task to what the best single worker has: the one that
// keeps most accelerators, then cores, then memory.
func (c *cluster) cutTask(shape Shape) Shape {
	wanted := shape.each()
	var best amount
	for _, n := range c.nodes {
		if cut := wanted.least(n.total); best.lessThan(cut) {
			best = cut
		}
	}
	shape.Accelerators = uint32(best.accelerators)
	shape.Cores, shape.CoresMilli = uint32(best.cores/milliPerCore), uint32(best.cores%milliPerCore)
	shape.MemoryMB = uint64(best.memory)
	return shape
}

func (a amount) lessThan(b amount) bool {
	if a.accelerators != b.accelerators {
		return a.accelerators < b.accelerators
	}
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.memory < b.memory
}

// feasible remembers the most tasks by shape: one pass asks for few. A worker
// that is lost or drained makes work wait, not fail.
func (p *pass) feasible(a *ask) bool {
	shape := JobShape(a.job)
	shape.Tasks = 0
	most, ok := p.mostTasks[shape]
	if !ok {
		most = p.cluster.mostTasks(shape)
		p.mostTasks[shape] = most
	}
	return most >= a.tasks
}
