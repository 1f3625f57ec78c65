package main

import (
	"fmt"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// step is one step of a job, as a requester sends it, with what its tasks really take.
type step struct {
	Count       int    `json:"count"`
	CPU         int    `json:"cpu,omitempty"`
	MemMB       int    `json:"memMb,omitempty"`
	GPUs        int    `json:"gpus,omitempty"`
	EstimatedMs int64  `json:"estimatedMs,omitempty"`
	StartAfter  []int  `json:"startAfter,omitempty"`
	Gang        bool   `json:"gangScheduled,omitempty"`
	Requirement string `json:"requirements,omitempty"`
	AntiAffin   int    `json:"antiAffinity,omitempty"`

	work time.Duration
}

// job is a job with what requesters were told of it.
type job struct {
	id, prefix, key string
	spec            string
	steps           []step
	// service is the one to which the newest desired state sends the job's queue.
	service string

	firstRunMs, intervalMs int64
	repetitions            int
}

// startEvent is one start of a task on a minion.
type startEvent struct {
	task   string
	run    uint64
	minion string
	at     time.Time
}

// world is what all stand-ins share: the jobs that were sent, the runs on the minions, and
// the record of the case.
type world struct {
	mu      sync.Mutex
	began   time.Time
	record  *os.File
	jobs    map[string]*job
	minions []*minion
	starts  []startEvent
	// active holds the runs on minions that are up, by task.
	active map[string][]*run
	// done holds, by task, whether a run has ended done; failed counts the ends failed.
	done map[string]bool
	// noted holds the tasks of which an end done was taken note of.
	noted  map[string]bool
	failed map[string]int
	gangs  map[string]*gangRun
	// broken lists what was seen that a rule does not allow.
	broken []string
	// gangTimeout is gangTimeoutMs of the settings.
	gangTimeout time.Duration
	guards      bool
}

// gangRun is one run of a gang.
type gangRun struct {
	members map[int]*run
	size    int
	over    bool
}

func newWorld(path string) *world {
	file, err := os.Create(path)
	if err != nil {
		cannotRun("record: %v", err)
	}
	return &world{
		began: time.Now(), record: file, jobs: map[string]*job{}, active: map[string][]*run{}, done: map[string]bool{}, noted: map[string]bool{},
		failed: map[string]int{}, gangs: map[string]*gangRun{}, gangTimeout: 3 * time.Second, guards: true,
	}
}

// note writes a line of the record.
func (w *world) note(format string, args ...any) {
	fmt.Fprintf(w.record, "%8.3f %s\n", time.Since(w.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records what a rule does not allow.
func (w *world) breach(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.broken = append(w.broken, text)
	w.note("BROKEN %s", text)
}

// taskOf splits the name of a task, ID.K.STEP.INDEX.
func (w *world) taskOf(name string) (j *job, s step, stepKey string, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return nil, step{}, "", 0, false
	}
	number, err1 := strconv.Atoi(parts[2])
	index, err2 := strconv.Atoi(parts[3])
	j = w.jobs[parts[0]]
	if err1 != nil || err2 != nil || j == nil || number >= len(j.steps) || index >= j.steps[number].Count {
		return nil, step{}, "", 0, false
	}
	return j, j.steps[number], strings.Join(parts[:3], "."), index, true
}

// startsOf lists the starts of a task.
func (w *world) startsOf(task string) (starts []startEvent) {
	for _, s := range w.starts {
		if s.task == task {
			starts = append(starts, s)
		}
	}
	return starts
}

// runsOn lists the runs on a minion, in the order of their names.
func (m *minion) names() []string {
	var names []string
	for task := range m.running {
		names = append(names, task)
	}
	sort.Strings(names)
	return names
}
