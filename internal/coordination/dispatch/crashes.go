package dispatch

import (
	"expvar"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/isolation"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	workersCrashed = expvar.NewInt("dispatch_workers_crashed")
	jobsByVerdict  = expvar.NewMap("dispatch_crash_verdicts")
	workersKept    = expvar.NewInt("dispatch_workers_kept")
)

// maxLoggedRuns limits the runs that one log line names.
const maxLoggedRuns = 32

// restarts finds crashes in announcements: a worker that is announced with a later
// incarnation has ended, and it has crashed unless it had announced that it leaves. Its
// memory may be lost at any time; placements and lost runs in the log then show the earlier
// incarnations.
type restarts struct {
	seen    map[string]*peerpb.Upstream
	crashes []*controlpb.WorkerCrash
}

func (r *restarts) observe(now time.Time, live []*peerpb.Upstream, state *store.State) {
	if r.seen == nil {
		r.seen = map[string]*peerpb.Upstream{}
		r.crashes = earlierIncarnations(now, live, state)
	}
	for _, worker := range live {
		last := r.seen[worker.Id]
		if last != nil && worker.Incarnation > last.Incarnation && !last.Leaving {
			r.crashes = append(r.crashes, &controlpb.WorkerCrash{Worker: worker.Id, Incarnation: last.Incarnation, LatestMs: now.UnixMilli()})
		}
		r.seen[worker.Id] = worker
	}
	r.crashes = slices.DeleteFunc(r.crashes, func(c *controlpb.WorkerCrash) bool { return state.CrashRecorded(c.Worker, c.Incarnation) })
}

// earlierIncarnations returns the crashes of incarnations to which the state has given work
// and that later ones have replaced.
func earlierIncarnations(now time.Time, live []*peerpb.Upstream, state *store.State) []*controlpb.WorkerCrash {
	incarnations := map[string]int64{}
	for _, worker := range live {
		incarnations[worker.Id] = worker.Incarnation
	}
	var found []*controlpb.WorkerCrash
	add := func(worker string, incarnation int64) {
		if incarnations[worker] > incarnation {
			found = append(found, &controlpb.WorkerCrash{Worker: worker, Incarnation: incarnation, LatestMs: now.UnixMilli()})
		}
	}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			add(placement.Worker, placement.Incarnation)
		}
	}
	for _, lost := range state.LostRuns() {
		add(lost.Worker, lost.Incarnation)
	}
	return found
}

// unrecordedCrashes returns the known crashes that the state does not record.
func (d *Dispatcher) unrecordedCrashes(state *store.State, live []*peerpb.Upstream) []*controlpb.WorkerCrash {
	if d.config.Crashes != nil {
		return d.config.Crashes(state)
	}
	d.restarts.observe(d.config.Now(), live, state)
	return slices.Clone(d.restarts.crashes)
}

// judge keeps the assessment of the newest list of crashes.
type judge struct {
	list       []*controlpb.WorkerCrash
	assessment *crashes.Assessment
}

// assess returns the assessment of the state's crashes.
func (j *judge) assess(state *store.State) *crashes.Assessment {
	if list := state.Crashes(); j.assessment == nil || !slices.Equal(list, j.list) {
		j.list, j.assessment = list, crashes.Assess(list)
	}
	return j.assessment
}

// givenUp returns why a job is given up, or "".
func givenUp(assessed *crashes.Assessment, job string) string {
	if assessed.Verdict(job) != crashes.AtFault {
		return ""
	}
	return assessed.Detail(job)
}

// suspects is an assessment at a time, as package isolation reads it.
type suspects struct {
	*crashes.Assessment
	lost []*controlpb.LostRun
	now  time.Time
}

// Held implements isolation.Suspects.
func (s suspects) Held(job string) bool { return s.Waits(job, s.lost, s.now) }

// isolate keeps workers for suspected jobs and returns the jobs that may be placed on no
// others.
func (c *Controller) isolate(state *store.State, workers []scheduling.Worker) (restricted map[string]bool) {
	if len(state.Crashes()) == 0 && len(state.LostRuns()) == 0 {
		return nil
	}
	judged := suspects{Assessment: c.dispatcher.judge.assess(state), lost: state.LostRuns(), now: c.now()}
	plan := c.isolation.Update(c.now(), state.ActiveJobs(), workers, judged)
	for i := range workers {
		workers[i].OnlyFor = plan.OnlyFor[workers[i].ID]
		if plan.Emptying[workers[i].ID] {
			workers[i].OnlyFor = scheduling.NoJob
		}
	}
	c.reportIsolation(state, plan, judged)
	return plan.Restricted
}

// reportIsolation logs the jobs whose verdict has changed and publishes the counts.
func (c *Controller) reportIsolation(state *store.State, plan *isolation.Plan, judged suspects) {
	workersKept.Set(int64(len(plan.OnlyFor)))
	current := map[string]crashes.Verdict{}
	counts := map[crashes.Verdict]int64{}
	for _, job := range state.ActiveJobs() {
		verdict := judged.Verdict(job.Id)
		counts[verdict]++
		if verdict != crashes.Clear {
			current[job.Id] = verdict
		}
		if verdict != c.crashVerdicts[job.Id] {
			c.dispatcher.logCrashVerdict(state, job.Id, judged)
		}
	}
	c.crashVerdicts = current
	for _, verdict := range []crashes.Verdict{crashes.Suspected, crashes.Isolated, crashes.AtFault} {
		count := &expvar.Int{}
		count.Set(counts[verdict])
		jobsByVerdict.Set(verdict.String(), count)
	}
}

// logCrashVerdict logs a job's changed verdict with the crashes that it is based on.
func (d *Dispatcher) logCrashVerdict(state *store.State, job string, judged suspects) {
	if d.config.Logger == nil {
		return
	}
	d.config.Logger.WithFields(logrus.Fields{
		"job": job, "verdict": judged.Verdict(job).String(), "crashes": judged.Crashes(job), "detail": judged.Detail(job), "index": state.Index(),
	}).Info("job judged by crashes")
}

// logCrashes counts and logs the crashes that are about to be committed, with the runs that
// they ended and those that had never started there.
func (d *Dispatcher) logCrashes(batch *controlpb.BatchMove) {
	workersCrashed.Add(int64(len(batch.Crashes)))
	if d.config.Logger == nil {
		return
	}
	state := d.control.State()
	for _, crash := range batch.Crashes {
		fields := logrus.Fields{
			"worker": crash.Worker, "incarnation": crash.Incarnation, "by": logTime(crash.LatestMs),
			"runs": jobsOf(state.RunsOn(crash)), "index": state.Index(),
		}
		if len(crash.Runs) > 0 {
			fields["never_started"] = jobsOf(crash.Runs)
		}
		if crash.EarliestMs > 0 {
			fields["after"] = logTime(crash.EarliestMs)
		}
		d.config.Logger.WithFields(fields).Warn("worker crashed")
	}
}

// jobsOf returns the jobs of runs for a log line.
func jobsOf(runs []*controlpb.CrashedRun) []string {
	jobs := []string{}
	for _, run := range runs[:min(len(runs), maxLoggedRuns)] {
		jobs = append(jobs, run.Job)
	}
	return jobs
}

// logTime formats a time in Unix ms like the times of log lines.
func logTime(ms int64) string { return time.UnixMilli(ms).UTC().Format("15:04:05.000") }

// forgetIsolation clears what only a leader reports.
func (c *Controller) forgetIsolation() {
	c.crashVerdicts = nil
	workersKept.Set(0)
	jobsByVerdict.Init()
	guaranteesUnmet.Set(0)
	c.unmet = unmetGuarantees{}
}
