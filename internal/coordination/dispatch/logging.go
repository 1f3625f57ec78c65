package dispatch

import (
	"expvar"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/latency"
	"pinewinch.example/pinewinch/internal/state/store"
)

// stopLatency measures the time from the commit of a stop to its end, across leaders. It is by their
// times of day.
var stopLatency = latency.New("dispatch_stop")

// logMoves logs each change of a job's state that is about to be committed, except moves to
// RUNNING. Successful ends of single tasks, which are separate entries of the batch, are
// not logged either.
func (d *Dispatcher) logMoves(batch *controlpb.BatchMove) {
	if d.config.Logger == nil {
		return
	}
	for _, move := range batch.Moves {
		if move.State == controlpb.JobState_JOB_STATE_RUNNING {
			continue
		}
		fields := logrus.Fields{"job": move.Job, "epoch": move.Epoch, "to": store.StateName(move.State)}
		if move.Failure != nil {
			fields["code"] = move.Failure.Code
			fields["worker"] = move.Failure.Worker
			fields["detail"] = move.Failure.Detail
		}
		if move.Checkpoint != "" {
			fields["checkpoint"] = move.Checkpoint
		}
		if job, ok := d.control.State().Job(move.Job); ok && job.State == controlpb.JobState_JOB_STATE_STOPPING {
			took := time.Duration(d.config.Now().UnixMilli()-job.StoppingMs) * time.Millisecond
			stopLatency.Record(took)
			fields["stopping_ms"], fields["lost"] = took.Milliseconds(), len(move.LostTasks)
		}
		d.config.Logger.WithFields(fields).Info("job moved")
	}
}

// maxLoggedMembers limits the members of one gang that get a line.
const maxLoggedMembers = 4

// logSlowStops logs, for each stop that lasts, the members that it waits for and what is known of
// their leases. Ages in the log's time count from the stop, whichever instance led then.
func (d *Dispatcher) logSlowStops(state *store.State, slow []gang.SlowStop) {
	if d.config.Logger == nil {
		return
	}
	now := d.config.Now()
	for _, stop := range slow {
		for _, placement := range stop.Waiting[:min(len(stop.Waiting), maxLoggedMembers)] {
			entry := d.config.Logger.WithFields(logrus.Fields{
				"job": stop.Job.Id, "epoch": stop.Job.Epoch, "task": placement.Task, "worker": placement.Worker,
				"waiting": len(stop.Waiting), "stopping_ms": now.UnixMilli() - stop.Job.StoppingMs,
				"here_ms": now.Sub(stop.Since).Milliseconds(), "index": state.Index(),
			})
			if d.config.DescribeLease != nil {
				entry = entry.WithFields(d.config.DescribeLease(stop.Job, placement))
			}
			entry.Warn("stop lasts")
		}
	}
}

// lateCompletions counts the waiting jobs that a run had completed which had been given up.
var lateCompletions = expvar.NewInt("dispatch_late_completions")

func (d *Dispatcher) logCompletedLate(completed []*controlpb.Assignment) {
	lateCompletions.Add(int64(len(completed)))
	if d.config.Logger == nil {
		return
	}
	for _, assignment := range completed {
		d.config.Logger.WithFields(logrus.Fields{
			"job": assignment.Job, "epoch": assignment.Epoch, "worker": assignment.Placements[0].Worker, "index": d.control.State().Index(),
		}).Info("job completed by a run that was given up")
	}
}

// Starts whose end was estimated, and those of them that are expected to miss their objective.
var (
	startsEstimated    = expvar.NewInt("dispatch_starts_estimated")
	startsExpectedLate = expvar.NewInt("dispatch_starts_expected_late")
)

// countExpected counts the starts of a plan by whether they are expected to end in time.
func countExpected(state *store.State, expected map[string]scheduling.Expectation, now time.Time) {
	startsEstimated.Add(int64(len(expected)))
	for id, expectation := range expected {
		if job, ok := state.Job(id); ok && job.DeadlineMs > 0 && now.Add(expectation.Runs).UnixMilli() > job.DeadlineMs {
			startsExpectedLate.Add(1)
		}
	}
}

// logPlan logs each job that a pass places or preempts.
func (d *Dispatcher) logPlan(state *store.State, plan *controlpb.CommitPlan, expected map[string]scheduling.Expectation, registry Registry, waited func(job string, now time.Time) time.Duration) {
	if d.config.Logger == nil {
		return
	}
	for _, assignment := range plan.Assignments {
		fields := d.placementFields(state, assignment)
		fields["racks"] = countRacks(assignment, registry)
		fields["able_ms"] = waited(assignment.Job, d.config.Now()).Milliseconds()
		fields["job"], fields["epoch"], fields["index"] = assignment.Job, assignment.Epoch+1, state.Index()
		if expectation, ok := expected[assignment.Job]; ok {
			fields["speed"] = math.Round(100*expectation.Speed) / 100
			fields["end_in_ms"] = expectation.Runs.Milliseconds()
		}
		d.config.Logger.WithFields(fields).Info("job placed")
	}
	for _, preemption := range plan.Preemptions {
		d.config.Logger.WithFields(logrus.Fields{
			"job": preemption.Job, "epoch": preemption.Epoch, "index": state.Index(),
		}).Info("job preempted")
	}
}

// placementFields returns the log fields of a placement's inputs: the time the job has
// waited, the time to its deadline and its declared run time, all in ms.
func (d *Dispatcher) placementFields(state *store.State, assignment *controlpb.Assignment) logrus.Fields {
	fields := logrus.Fields{"tasks": len(assignment.Placements), "worker": assignment.Placements[0].Worker}
	if job, ok := state.Job(assignment.Job); ok {
		now := d.config.Now().UnixMilli()
		fields["queue"], fields["run_ms"], fields["accelerators"] = job.WorkClass, job.RunTimeMs, job.Accelerators
		fields["waited_ms"], fields["due_in_ms"] = now-job.SubmittedMs, job.DeadlineMs-now
	}
	return fields
}

// placementsSeparated counts placements that were changed to keep interfering classes apart.
var placementsSeparated = expvar.NewInt("dispatch_placements_separated")

// startsOnQuarantined counts jobs that were placed on quarantined workers.
var startsOnQuarantined = expvar.NewInt("dispatch_starts_on_quarantined")

// maxLoggedSeparations limits the log lines of one pass.
const maxLoggedSeparations = 20

// logSeparations counts and logs the placements, among those that are carried out, that the
// pass changed to keep interfering classes apart.
func (d *Dispatcher) logSeparations(plan *scheduling.Plan, assignments []*controlpb.Assignment) {
	started := assignedJobs(assignments)
	logged := 0
	for _, s := range plan.Separations {
		if !started[s.Job] {
			continue
		}
		placementsSeparated.Add(1)
		if d.config.Logger == nil || logged == maxLoggedSeparations {
			continue
		}
		logged++
		d.config.Logger.WithFields(logrus.Fields{
			"job": s.Job, "class": s.Class, "beside": s.Beside, "from": s.From, "worker": s.To,
			"slowdown_before": math.Round(100*s.Before) / 100, "slowdown_after": math.Round(100*s.After) / 100,
		}).Info("job kept apart from another class")
	}
}

// logOnQuarantined logs the jobs, among those that are carried out, that the pass placed on workers which
// are kept out of use because of their failures.
func (d *Dispatcher) logOnQuarantined(plan *scheduling.Plan, assignments []*controlpb.Assignment) {
	started := assignedJobs(assignments)
	for _, start := range plan.OnQuarantined {
		if !started[start.Job] {
			continue
		}
		startsOnQuarantined.Add(1)
		if d.config.Logger != nil {
			d.config.Logger.WithFields(logrus.Fields{
				"job": start.Job, "workers": start.Workers, "stood_ms": start.StoodFor.Milliseconds(), "failed_ms_ago": start.FailedFor.Milliseconds(),
			}).Info("job placed on a quarantined worker")
		}
	}
}

func assignedJobs(assignments []*controlpb.Assignment) map[string]bool {
	jobs := make(map[string]bool, len(assignments))
	for _, assignment := range assignments {
		jobs[assignment.Job] = true
	}
	return jobs
}

func countRacks(assignment *controlpb.Assignment, registry Registry) int {
	racks := map[string]bool{}
	for _, placement := range assignment.Placements {
		if worker, ok := registry.Get(placement.Worker); ok {
			racks[worker.DataCentre+"/"+worker.Rack] = true
		}
	}
	return len(racks)
}

// logDropped logs each job that a pass placed but that is not started, for a reason that
// the pass does not take into account.
func (d *Dispatcher) logDropped(planned, kept []*controlpb.Assignment, reason string) {
	if d.config.Logger == nil || len(kept) == len(planned) {
		return
	}
	started := map[string]bool{}
	for _, assignment := range kept {
		started[assignment.Job] = true
	}
	for _, assignment := range planned {
		if !started[assignment.Job] {
			d.config.Logger.WithFields(logrus.Fields{"job": assignment.Job, "epoch": assignment.Epoch, "reason": reason}).Info("job not placed after all")
		}
	}
}

// logFailedProposal logs a decision that was not committed, or that had no effect because
// the term of another leader had started.
func (d *Dispatcher) logFailedProposal(result *controlpb.Result, err error) {
	if d.config.Logger == nil {
		return
	}
	switch {
	case err != nil:
		d.config.Logger.WithFields(logrus.Fields{"term": d.term, "code": failure.From(err).Code}).Warn("decision not committed")
	case result.GetCode() != "":
		d.config.Logger.WithFields(logrus.Fields{"term": d.term, "code": result.Code, "index": result.Index}).Warn("decision without effect")
	}
}

// openWorkflows tracks the workflows that had not ended at the last update, to log each
// one that has ended since.
type openWorkflows struct {
	index uint64
	open  map[string]bool
}

func (o *openWorkflows) update(state *store.State, logger *logrus.Logger) {
	if logger == nil || state.Index() == o.index {
		return
	}
	o.index = state.Index()
	open := map[string]bool{}
	for _, w := range state.OpenWorkflows() {
		open[w.Id] = true
	}
	for id := range o.open {
		if w, ok := state.Workflow(id); ok && !open[id] {
			logger.WithFields(logrus.Fields{
				"workflow": id, "state": w.State.String()[len("WORKFLOW_STATE_"):], "customer": w.Customer, "queue": w.Queue,
				"took_ms": w.EndedMs - w.SubmittedMs, "index": state.Index(),
			}).Info("workflow ended")
		}
	}
	o.open = open
}
