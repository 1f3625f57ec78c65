// Package crashes decides from the recorded crashes of workers which jobs crash the workers
// that run them. It is pure: crashes in, a verdict for each job out. The crashes are in the
// replicated log and the package keeps no other state, so every leader decides the same.
//
// All jobs on a worker see its crash, so a crash alone is evidence against none of them. Two
// things separate the cause from its neighbours: suspected jobs run alone (package
// isolation), so that the next crash singles out its cause; and once a job is singled out,
// the earlier crashes that it was part of are explained by it, and its neighbours there are
// no longer suspected. Workers that crash at the same time have lost power; that is
// evidence against no job.
package crashes

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// coincidence is the largest distance of crashes that count as simultaneous: leaders
	// notice the end of each worker at slightly different times.
	coincidence = 250 * time.Millisecond
	// faultCrashes is the number of crashes after which a job is given up if faultSingled of
	// them single it out and came alike after its start.
	faultCrashes = 3
	faultSingled = 2
	// faultOfTask is the number of workers that must have crashed under one and the same task before
	// its job is given up: the members of a gang run on many workers, and their crashes are each
	// other's only if the same member is hit again.
	faultOfTask = 2
	// alikeFactor and alikeMargin bound how much longer than one run another one may have
	// lasted that ended alike.
	alikeFactor = 1.5
	alikeMargin = 500 * time.Millisecond
	// isolatedSuspicious is the number of suspicious crashes, and isolatedCrashes that of
	// all crashes, from which a job runs on no other worker than an empty one.
	isolatedSuspicious = 2
	isolatedCrashes    = 3
	// maxCrashes is the number of crashes after which a job is given up on weaker evidence:
	// maxSingled of them single it out, faultSingled of the workers crashed within
	// quickCrash when it ran there alone, or no crash has another explanation.
	maxCrashes = 5
	maxSingled = 3
	quickCrash = time.Second
	// maxOpenCrashes is the number of crashes, known and possible, from which a job waits
	// for news of the workers that are still silent. The next start would otherwise be
	// decided without crashes that have happened already.
	maxOpenCrashes = 4
	// maxSilence is how long a job waits for news of a silent worker; one that crashed is
	// usually back within seconds.
	maxSilence = 15 * time.Second
)

// Verdict says what the crashes of workers mean for a job.
type Verdict int

// The verdicts.
const (
	// Clear jobs run anywhere.
	Clear Verdict = iota
	// Suspected jobs run on a worker of their own if one is empty.
	Suspected
	// Isolated jobs wait for a worker of their own.
	Isolated
	// AtFault jobs are given up.
	AtFault
)

var verdictNames = map[Verdict]string{Clear: "clear", Suspected: "suspected", Isolated: "isolated", AtFault: "at_fault"}

func (v Verdict) String() string { return verdictNames[v] }

// event is a crash with the jobs that it ended.
type event struct {
	crash *controlpb.WorkerCrash
	jobs  []string
	// simultaneous is set where workers with other jobs crashed at the same time.
	simultaneous bool
}

func (e *event) alone() bool { return len(e.jobs) == 1 }

func (e *event) singledOut() bool { return e.alone() && !e.simultaneous }

// record is what the crashes say about one job.
type record struct {
	events []*event
	// epochs and quick hold the placements of the job that ended with a crash: all, and those
	// alone on the worker and within quickCrash.
	epochs, quick map[uint64]bool
	// perTask counts the placements of each task that ended with a crash.
	perTask map[uint32]int
	// singled holds the length in ms of the runs that ended alone while no other worker
	// crashed, by placement.
	singled map[uint64]int64
}

// Assessment is the outcome of Assess.
type Assessment struct {
	records map[string]*record
}

// Assess judges all jobs that the crashes ended. The crashes are in the order in which they
// were recorded.
func Assess(crashes []*controlpb.WorkerCrash) *Assessment {
	a := &Assessment{records: map[string]*record{}}
	var events []*event
	for _, crash := range crashes {
		events = append(events, a.newEvent(crash))
	}
	markSimultaneous(events)
	for _, e := range events {
		a.count(e)
	}
	return a
}

func (a *Assessment) newEvent(crash *controlpb.WorkerCrash) *event {
	e := &event{crash: crash}
	for _, run := range crash.Runs {
		if !slices.Contains(e.jobs, run.Job) {
			e.jobs = append(e.jobs, run.Job)
		}
	}
	for _, job := range e.jobs {
		r := a.records[job]
		if r == nil {
			r = &record{epochs: map[uint64]bool{}, quick: map[uint64]bool{}, perTask: map[uint32]int{}, singled: map[uint64]int64{}}
			a.records[job] = r
		}
		r.events = append(r.events, e)
	}
	return e
}

func (a *Assessment) count(e *event) {
	for _, run := range e.crash.Runs {
		r := a.records[run.Job]
		r.epochs[run.Epoch] = true
		r.perTask[run.Task]++
		if e.alone() && run.RanMs <= quickCrash.Milliseconds() {
			r.quick[run.Epoch] = true
		}
		if e.singledOut() {
			r.singled[run.Epoch] = run.RanMs
		}
	}
}

// markSimultaneous marks the events that overlap with another one. Those of one gang that
// was alone on its workers don't count: its members crash them together.
func markSimultaneous(events []*event) {
	order := slices.Clone(events)
	slices.SortStableFunc(order, func(x, y *event) int { return int(x.crash.EarliestMs - y.crash.EarliestMs) })
	for i, e := range order {
		for _, later := range order[i+1:] {
			if later.crash.EarliestMs > e.crash.LatestMs+coincidence.Milliseconds() {
				break
			}
			sameGang := e.alone() && later.alone() && e.jobs[0] == later.jobs[0]
			if e.crash.Worker != later.crash.Worker && !sameGang {
				e.simultaneous, later.simultaneous = true, true
			}
		}
	}
}

// Verdict returns the verdict on a job.
func (a *Assessment) Verdict(job string) Verdict {
	r := a.records[job]
	if r == nil {
		return Clear
	}
	unexplained, suspicious := 0, 0
	for _, e := range r.events {
		if a.explained(e, job) {
			continue
		}
		unexplained++
		if !e.simultaneous {
			suspicious++
		}
	}
	crashes := len(r.epochs)
	switch {
	case r.hitsOneTask() && (crashes >= faultCrashes && r.singledAlike() ||
		crashes >= maxCrashes && (len(r.singled) >= maxSingled || len(r.quick) >= faultSingled) ||
		suspicious >= maxCrashes):
		return AtFault
	case suspicious >= isolatedSuspicious, crashes >= isolatedCrashes && unexplained > 0:
		return Isolated
	case suspicious > 0:
		return Suspected
	}
	return Clear
}

// hitsOneTask reports whether faultOfTask workers have crashed under one task of the job.
func (r *record) hitsOneTask() bool {
	for _, crashes := range r.perTask {
		if crashes >= faultOfTask {
			return true
		}
	}
	return false
}

// singledAlike reports whether faultSingled crashes that single the job out came after runs
// of about the same length. Workers that crash by themselves end runs of any length.
func (r *record) singledAlike() bool {
	lengths := slices.Sorted(maps.Values(r.singled))
	for i := faultSingled - 1; i < len(lengths); i++ {
		if float64(lengths[i]) <= float64(lengths[i+1-faultSingled])*alikeFactor+float64(alikeMargin.Milliseconds()) {
			return true
		}
	}
	return false
}

// explained reports whether another job that ran there is the cause of the crash.
func (a *Assessment) explained(e *event, job string) bool {
	return slices.ContainsFunc(e.jobs, func(other string) bool {
		return other != job && len(a.records[other].singled) > 0
	})
}

// Crashes returns the number of placements of a job that ended with a crash.
func (a *Assessment) Crashes(job string) int {
	if r := a.records[job]; r != nil {
		return len(r.epochs)
	}
	return 0
}

// Ran returns the longest time for which a job had run before a crash that nothing else
// explains. A run that lasts clearly longer is not the one that crashed the worker.
func (a *Assessment) Ran(job string) time.Duration {
	longest := int64(0)
	if r := a.records[job]; r != nil {
		for _, e := range r.events {
			for _, run := range e.crash.Runs {
				if run.Job == job && !a.explained(e, job) {
					longest = max(longest, run.RanMs)
				}
			}
		}
	}
	return time.Duration(longest) * time.Millisecond
}

// Describe names the workers that crashed while they ran the job, and when, oldest first.
func (a *Assessment) Describe(job string) []string {
	var described []string
	if r := a.records[job]; r != nil {
		for _, e := range r.events {
			described = append(described, e.describe(job))
		}
	}
	return described
}

// DescribeWorkflow is Describe for all jobs of a workflow, in the order of their ids.
func (a *Assessment) DescribeWorkflow(workflow string) []string {
	var described []string
	for _, job := range slices.Sorted(maps.Keys(a.records)) {
		if strings.HasPrefix(job, workflow+".") {
			for _, line := range a.Describe(job) {
				described = append(described, job+": "+line)
			}
		}
	}
	return described
}

// describe describes one crash as seen by a job that ran there.
func (e *event) describe(job string) string {
	at := time.UnixMilli(e.crash.LatestMs).UTC().Format("15:04:05.000")
	text := fmt.Sprintf("%s crashed by %s", e.crash.Worker, at)
	for _, run := range e.crash.Runs {
		if run.Job == job {
			text += fmt.Sprintf(", run %d, after %d ms", run.Epoch, run.RanMs)
			break
		}
	}
	if e.alone() {
		text += ", alone"
	} else {
		text += fmt.Sprintf(", with %d other jobs", len(e.jobs)-1)
	}
	if e.simultaneous {
		text += ", as other workers did"
	}
	return text
}

// Detail is Describe in one line.
func (a *Assessment) Detail(job string) string { return strings.Join(a.Describe(job), "; ") }

// Waits reports whether a job must wait for news of silent workers: with those that may
// have crashed under it, it would come too close to the number of crashes after which it is
// given up.
func (a *Assessment) Waits(job string, lost []*controlpb.LostRun, now time.Time) bool {
	open := map[uint64]bool{}
	for _, run := range lost {
		if run.Job == job && now.Sub(time.UnixMilli(run.LostMs)) < maxSilence {
			open[run.Epoch] = true
		}
	}
	return len(open) > 0 && a.Crashes(job)+len(open) >= maxOpenCrashes
}
