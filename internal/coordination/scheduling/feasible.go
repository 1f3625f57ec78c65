package scheduling

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Shape is the resources that a job or a class of work asks for. All fields but Tasks
// and Adjacency are for each task.
type Shape struct {
	Tasks        uint32              `json:"tasks"`
	Accelerators uint32              `json:"accelerators"`
	Cores        uint32              `json:"cores"`
	CoresMilli   uint32              `json:"cores_milli,omitempty"`
	MemoryMB     uint64              `json:"memory_mb"`
	Adjacency    controlpb.Adjacency `json:"adjacency"`
}

// JobShape returns the shape of a job.
func JobShape(job *controlpb.Job) Shape {
	return Shape{max(job.Tasks, 1), job.Accelerators, job.Cores, job.CoresMilli, job.MemoryMb, job.Adjacency}
}

// ClassShape returns the shape of a class of work.
func ClassShape(class *controlpb.WorkClass) Shape {
	return Shape{max(class.Tasks, 1), class.Accelerators, class.Cores, 0, class.MemoryMb, class.Adjacency}
}

// perTask returns the size of one task.
func (s Shape) perTask() resources {
	return resources{int64(s.Accelerators), milliCores(s.Cores, s.CoresMilli), int64(s.MemoryMB)}
}

// Feasibility is the answer to whether a shape fits onto the workers when nothing else
// runs on them.
type Feasibility struct {
	Feasible bool `json:"feasible"`
	// Nearest is the largest part of the shape that would fit: each task is first
	// reduced to what one worker has, then the number of tasks to what one domain can
	// hold. It has 0 tasks if there are no workers.
	Nearest Shape `json:"nearest"`
	// Wider is the narrowest wider adjacency at which all tasks would fit. It is valid
	// only if HasWider is set.
	Wider    controlpb.Adjacency `json:"wider"`
	HasWider bool                `json:"has_wider"`
}

// Feasible compares a shape with all known workers, including those that are
// unavailable: work that needs them can't run now, but isn't impossible.
func Feasible(shape Shape, workers []Worker) Feasibility {
	return newCluster(workers).feasibility(shape)
}

func (c *cluster) feasibility(shape Shape) Feasibility {
	maxWhole := c.maxTasks(shape)
	if maxWhole >= int64(shape.Tasks) {
		return Feasibility{Feasible: true, Nearest: shape}
	}
	result := Feasibility{Nearest: c.shrinkTask(shape)}
	result.Nearest.Tasks = uint32(min(c.maxTasks(result.Nearest), int64(shape.Tasks)))
	for _, wider := range widerThan(shape.Adjacency) {
		candidate := shape
		candidate.Adjacency = wider
		if c.maxTasks(candidate) >= int64(shape.Tasks) {
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

// maxTasks returns how many tasks of a shape the best domain holds when empty.
func (c *cluster) maxTasks(shape Shape) int64 {
	perTask := shape.perTask()
	var most int64
	for _, domain := range c.domains(shape.Adjacency) {
		var tasks int64
		for _, n := range domain.nodes {
			tasks += n.total.tasks(perTask)
		}
		most = max(most, tasks)
	}
	return most
}

// shrinkTask reduces one task to what the best single worker has: the worker that keeps
// the most accelerators, then cores, then memory.
func (c *cluster) shrinkTask(shape Shape) Shape {
	wanted := shape.perTask()
	var best resources
	for _, n := range c.nodes {
		if shrunk := wanted.elementMin(n.total); best.lessThan(shrunk) {
			best = shrunk
		}
	}
	shape.Accelerators = uint32(best.accelerators)
	shape.Cores, shape.CoresMilli = uint32(best.cores/milliPerCore), uint32(best.cores%milliPerCore)
	shape.MemoryMB = uint64(best.memory)
	return shape
}

func (a resources) lessThan(b resources) bool {
	if a.accelerators != b.accelerators {
		return a.accelerators < b.accelerators
	}
	if a.cores != b.cores {
		return a.cores < b.cores
	}
	return a.memory < b.memory
}

// feasible reports whether the request fits onto the empty cluster, including
// unavailable workers: a worker that is lost or drained makes work wait, not fail. The
// maximum number of tasks is cached by shape, as the jobs of one pass have few
// different shapes.
func (p *pass) feasible(req *request) bool {
	shape := JobShape(req.job)
	shape.Tasks = 0
	most, ok := p.maxTasks[shape]
	if !ok {
		most = p.cluster.maxTasks(shape)
		p.maxTasks[shape] = most
	}
	return most >= req.tasks
}
