// Package interference estimates which classes of tasks slow down which others that run on
// the same worker. It uses only what the scheduler already observes: the progress of each
// task, the speed of its worker, the tasks beside it, and the cpu in use beside the cpu
// that was asked for.
//
// It addresses load on which tasks share workers: each worker has many tasks, a task lasts
// from seconds to hours, and the tasks beside it change during its run. The logarithm of a
// task's rate of progress is modelled as the sum of a level of its class, an offset of its
// job, an offset of its worker and one effect for each class beside it. A class that is
// slow everywhere or has a wrong estimate shows in the level, an uneven task in the offset
// of its job, and a slow or bad worker in the offset of the worker or in its known speed.
//
// The package is pure: times are arguments, and the same observations give the same model.
package interference

import (
	"math"
	"time"
)

// Task is one task that ran on a worker during the span of an observation.
type Task struct {
	// Job identifies the work: all tasks and runs with the same Job share one offset.
	Job string
	// Key identifies the run of the task on its worker.
	Key   string
	Class string
	// Share is the share of the span in which the task ran, from 0 to 1.
	Share float64
	// Progress is the share of the task's whole work that was done within the span. It
	// counts only if Measured is set.
	Progress float64
	Measured bool
	// Usual is the time that the whole task is expected to take.
	Usual time.Duration
	// CPUUsed and CPUAsked are in thousandths of a core; CPUUsed is negative if unknown.
	CPUUsed, CPUAsked int64
}

// Observation is what one worker did between two reports.
type Observation struct {
	At     time.Time
	Worker string
	// Speed is the worker's speed relative to the usual one; 0 if it is unknown.
	Speed float64
	Span  time.Duration
	Tasks []Task
}

const (
	// MaxClasses bounds the classes that the model holds. While all are in use, other
	// classes are ignored. The state takes 8 bytes for each combination of three classes.
	MaxClasses = 48
	// maxWorkers bounds the workers that the model holds.
	maxWorkers = 8192
	// maxJobs bounds the jobs whose offsets the model holds.
	maxJobs = 65536
	// classRetention is how long a class is held that no worker runs.
	classRetention = 30 * time.Minute
	// sourceRetention is how long the offset of a job or worker is held that no report
	// names.
	sourceRetention = time.Minute

	// windowProgress is the progress after which a window of a run becomes a sample.
	// Progress is reported in whole percent, so shorter windows err by over a tenth.
	windowProgress = 0.10
	// stalledSpan is the span, in multiples of the usual time, after which a window with
	// less progress becomes a sample too, or the slowest tasks would not count.
	stalledSpan = 0.25
	// minWindow keeps samples of short tasks from counting single delays.
	minWindow = 300 * time.Millisecond
	// maxLogRate bounds the logarithm of a rate: a factor of 20.
	maxLogRate = 3
	// minShare is the share of a window from which on a class counts as present in the
	// evidence.
	minShare = 0.5
)

// Model is the estimate. Its zero value is ready to use. It is not safe for concurrent use.
type Model struct {
	// classes holds the index of each known class, names the reverse, empty for free ones.
	classes map[string]int
	names   [MaxClasses]string
	seen    [MaxClasses]time.Time
	victims [MaxClasses]*victim
	workers map[string]*workerState
	jobs    map[string]*offset
	// Ignored counts tasks of classes for which there was no room.
	Ignored int
	pruned  time.Time
}

// workerState is what is known about one worker.
type workerState struct {
	offset offset
	// bit stands for the worker in evidence.
	bit     uint64
	windows map[string]*window
}

// window accumulates the progress of one run until it is long enough for a sample.
type window struct {
	span     time.Duration
	progress float64
	// beside holds the seconds for which each class ran beside the task.
	beside []presence
	// cpuUsed is the integral of the cpu in use over cpuSpan.
	cpuUsed float64
	cpuSpan time.Duration
	// samples is the number of samples that the run has already given.
	samples int
}

// presence is for how long a class ran; in a complete window, the share of its span.
type presence struct {
	class   int
	seconds float64
}

// Observe records what one worker did between two reports.
func (m *Model) Observe(o *Observation) {
	if m.classes == nil {
		m.classes, m.workers = map[string]int{}, map[string]*workerState{}
		m.jobs = map[string]*offset{}
	}
	m.prune(o.At)
	worker := m.worker(o)
	if worker == nil || o.Span <= 0 {
		return
	}
	classes := make([]int, len(o.Tasks))
	present := make([]presence, 0, len(o.Tasks))
	for i := range o.Tasks {
		classes[i] = m.class(o.Tasks[i].Class, o.At)
		if classes[i] >= 0 {
			present = addPresence(present, classes[i], o.Tasks[i].Share*o.Span.Seconds())
		}
	}
	windows := make(map[string]*window, len(o.Tasks))
	for i := range o.Tasks {
		if classes[i] < 0 || !o.Tasks[i].Measured {
			continue
		}
		task := &o.Tasks[i]
		w := worker.windows[task.Key]
		if w == nil {
			w = &window{}
		}
		windows[task.Key] = w
		w.add(o, task, classes[i], present)
		if job := m.jobs[task.Job]; job != nil {
			job.seen = o.At
		}
		if w.complete(task.Usual) {
			m.sample(o, worker, task, classes[i], w)
			w.restart()
		}
	}
	worker.windows = windows
}

// add extends a window by the span of an observation. present are the task-seconds of each
// class, including the task's own.
func (w *window) add(o *Observation, task *Task, class int, present []presence) {
	w.span += o.Span
	w.progress += max(task.Progress, 0)
	if task.CPUUsed >= 0 && task.CPUAsked > 0 {
		w.cpuUsed += float64(task.CPUUsed) * o.Span.Seconds()
		w.cpuSpan += o.Span
	}
	for _, p := range present {
		if p.class == class {
			p.seconds -= task.Share * o.Span.Seconds()
		}
		if p.seconds > 0 {
			w.beside = addPresence(w.beside, p.class, min(p.seconds, o.Span.Seconds()))
		}
	}
}

func addPresence(list []presence, class int, seconds float64) []presence {
	for i := range list {
		if list[i].class == class {
			list[i].seconds += seconds
			return list
		}
	}
	return append(list, presence{class, seconds})
}

func (w *window) complete(usual time.Duration) bool {
	if w.span < minWindow || usual <= 0 {
		return false
	}
	return w.progress >= windowProgress || w.span.Seconds() >= stalledSpan*usual.Seconds()
}

func (w *window) restart() {
	w.span, w.progress, w.cpuUsed, w.cpuSpan = 0, 0, 0, 0
	w.beside = w.beside[:0]
	w.samples++
}

// sample turns a complete window into a sample of the class's regression.
func (m *Model) sample(o *Observation, worker *workerState, task *Task, class int, w *window) {
	rate := w.progress * task.Usual.Seconds() / w.span.Seconds()
	if o.Speed > 0 {
		rate /= o.Speed
	}
	value := math.Log(max(rate, math.Exp(-maxLogRate)))
	value = min(value, maxLogRate)
	for i := range w.beside {
		w.beside[i].seconds /= w.span.Seconds()
	}
	v := m.victims[class]
	job := m.job(task.Job, o.At)
	jobPrior := v.jobPrior()
	offsets := worker.offset.value(o.At, workerMemory, workerPrior) + job.value(o.At, jobMemory, jobPrior)
	residual := v.observe(o.At, value-offsets, w.samples > 0, w.beside)
	worker.offset.add(o.At, workerMemory, residual+worker.offset.value(o.At, workerMemory, workerPrior))
	job.add(o.At, jobMemory, residual+job.value(o.At, jobMemory, jobPrior))
	v.recordEvidence(o.At, w, task, residual+v.beside(w.beside), worker.bit)
}

// class returns the index of a class, or -1 if there is no room for it.
func (m *Model) class(name string, now time.Time) int {
	if index, ok := m.classes[name]; ok {
		m.seen[index] = now
		return index
	}
	for index := range m.names {
		if m.names[index] == "" && name != "" {
			m.names[index], m.classes[name], m.seen[index] = name, index, now
			m.victims[index] = &victim{scale: firstScale, later: firstScale}
			return index
		}
	}
	m.Ignored++
	return -1
}

func (m *Model) worker(o *Observation) *workerState {
	worker := m.workers[o.Worker]
	if worker == nil {
		if len(m.workers) >= maxWorkers {
			return nil
		}
		worker = &workerState{bit: workerBit(o.Worker)}
		m.workers[o.Worker] = worker
	}
	worker.offset.seen = o.At
	return worker
}

// job returns the offset of a job. Beyond maxJobs the offset is not kept.
func (m *Model) job(name string, now time.Time) *offset {
	job := m.jobs[name]
	if job == nil {
		job = &offset{seen: now}
		if len(m.jobs) < maxJobs {
			m.jobs[name] = job
		}
	}
	return job
}

// prune drops what no report has named for the retention periods. It runs at most once in
// half a sourceRetention, so that it costs little beside the observations.
func (m *Model) prune(now time.Time) {
	if now.Sub(m.pruned) < sourceRetention/2 {
		return
	}
	m.pruned = now
	for name, worker := range m.workers {
		if now.Sub(worker.offset.seen) > sourceRetention {
			delete(m.workers, name)
		}
	}
	for name, job := range m.jobs {
		if now.Sub(job.seen) > sourceRetention {
			delete(m.jobs, name)
		}
	}
	for name, index := range m.classes {
		if now.Sub(m.seen[index]) > classRetention {
			m.removeClass(name, index)
		}
	}
}

func (m *Model) removeClass(name string, index int) {
	delete(m.classes, name)
	m.names[index], m.victims[index] = "", nil
	for _, v := range m.victims {
		if v != nil {
			v.forgetClass(index)
		}
	}
}

// Size returns the numbers of workers and jobs that the model holds.
func (m *Model) Size() (workers, jobs int) { return len(m.workers), len(m.jobs) }
