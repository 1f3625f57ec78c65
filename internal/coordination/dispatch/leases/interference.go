package leases

import (
	"expvar"
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/interference"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// interferenceFitInterval is the interval at which pairs are fitted again. With 19,000
	// tasks of 48 classes, a second's observations and one fit take 74 ms
	// (interference.BenchmarkFullSize).
	interferenceFitInterval = time.Second
	// partialShare is the assumed share of the time between two reports in which a run was
	// active that only one of them lists.
	partialShare = 0.5
)

var (
	interferenceObservations = expvar.NewInt("interference_observations")
	interferencePairs        = expvar.NewInt("interference_pairs")
	// interferenceIgnored counts tasks of classes for which the model has no room.
	interferenceIgnored = expvar.NewInt("interference_tasks_ignored")
)

// interferenceModel is the model of one instance. It is rebuilt from reports after a change
// of leader: it is kept across the terms of one instance, but not in the log.
type interferenceModel struct {
	mu       sync.Mutex
	model    interference.Model
	fittedAt time.Time
	ignored  int
	// fitted is the newest fit. Readers don't take the lock, which is held during a fit: a
	// scheduling pass would wait for it.
	fitted atomic.Pointer[fittedPairs]
}

// fittedPairs is the immutable result of a fit.
type fittedPairs struct {
	pairs    []interference.Pair
	slowdown map[scheduling.ClassPair]float64
}

// newest returns the newest fit, empty before the first.
func (i *interferenceModel) newest() *fittedPairs {
	if fitted := i.fitted.Load(); fitted != nil {
		return fitted
	}
	return &fittedPairs{}
}

// observation returns what the worker did between its newest two reports, in the form of
// package interference; nil if there are none of the same incarnation.
func (t *Tracker) observation(state *store.State) *interference.Observation {
	span := time.Duration(t.reportClock-t.previousClock) * time.Millisecond
	if !t.hasPrevious || span <= 0 {
		return nil
	}
	before := make(map[runKey]Running, len(t.previous))
	for _, r := range t.previous {
		before[runKey{r.Task, r.Run}] = r
	}
	o := &interference.Observation{Span: span, Tasks: make([]interference.Task, 0, len(t.running))}
	for _, r := range t.running {
		key := runKey{r.Task, r.Run}
		earlier, both := before[key]
		delete(before, key)
		if task, ok := observedTask(state, r); ok {
			task.Share = partialShare
			if both {
				task.Share = 1
				task.Measured = measurable(earlier, r)
				task.Progress = (float64(r.Percent) - float64(earlier.Percent)) / api.CompletePercent
			}
			o.Tasks = append(o.Tasks, task)
		}
	}
	for _, r := range before {
		if task, ok := observedTask(state, r); ok {
			task.Share = partialShare
			o.Tasks = append(o.Tasks, task)
		}
	}
	return o
}

// measurable reports whether two readings of a run give a rate: a member of a gang stays at
// zero until all have started, and at the end it waits for the others.
func measurable(earlier, later Running) bool {
	return earlier.Percent > 0 && later.Percent >= earlier.Percent && later.Percent < api.CompletePercent
}

func observedTask(state *store.State, r Running) (interference.Task, bool) {
	job, _, ok := FindTask(state, r.Task)
	if !ok || job.RunTimeMs <= 0 {
		return interference.Task{}, false
	}
	task := interference.Task{
		Job: job.Id, Key: r.Task, Class: scheduling.InterferenceClass(job), CPUUsed: -1,
		Usual:    time.Duration(job.RunTimeMs) * time.Millisecond,
		CPUAsked: int64(job.Cores)*milliPerCore + int64(job.CoresMilli),
	}
	if r.HasCPU {
		task.CPUUsed = r.CPUMilli
	}
	return task, true
}

const milliPerCore = 1000

// observeInterference adds an observation of a worker to the model.
func (m *Manager) observeInterference(worker string, o *interference.Observation) {
	if o == nil || len(o.Tasks) == 0 {
		return
	}
	o.At, o.Worker, o.Speed = m.config.Now(), worker, m.Speeds()[worker]
	i := &m.interference
	i.mu.Lock()
	defer i.mu.Unlock()
	i.model.Observe(o)
	interferenceObservations.Add(1)
	interferenceIgnored.Add(int64(i.model.Ignored - i.ignored))
	i.ignored = i.model.Ignored
	if o.At.Sub(i.fittedAt) >= interferenceFitInterval {
		i.fit(o.At, m.config.Logger)
	}
}

// fit estimates the pairs again and logs those that begin or stop to interfere. The caller
// must hold the lock.
func (i *interferenceModel) fit(now time.Time, logger *logrus.Logger) {
	i.fittedAt = now
	pairs, slowdown, earlier := i.model.Pairs(now), map[scheduling.ClassPair]float64{}, i.newest().slowdown
	for _, pair := range pairs {
		key := scheduling.ClassPair{Victim: pair.Victim, Aggressor: pair.Aggressor}
		if pair.Interferes {
			slowdown[key] = pair.Slowdown
		}
		if _, before := earlier[key]; before != pair.Interferes {
			logPair(logger, &pair)
		}
	}
	i.fitted.Store(&fittedPairs{pairs, slowdown})
	interferencePairs.Set(int64(len(slowdown)))
}

func logPair(logger *logrus.Logger, pair *interference.Pair) {
	message := "class no longer slowed down by another"
	if pair.Interferes {
		message = "class slowed down by another"
	}
	logger.WithFields(logrus.Fields{
		"class": pair.Victim, "beside": pair.Aggressor, "slowdown": math.Round(100*pair.Slowdown) / 100,
		"error": math.Round(100*pair.Error) / 100, "samples": math.Round(pair.Samples), "workers": pair.Workers,
	}).Info(message)
}

// Slowdowns returns the factors of the pairs that interfere. The result must not be changed.
func (m *Manager) Slowdowns() map[scheduling.ClassPair]float64 {
	return m.interference.newest().slowdown
}

// InterferencePairs returns all observed pairs as of the newest fit. The result must not be
// changed.
func (m *Manager) InterferencePairs() []interference.Pair {
	return m.interference.newest().pairs
}
