// Package isolation keeps workers for jobs that are suspected of crashing their workers. A
// suspected job runs alone, so that a further crash singles it out and harms nobody else.
// After a first crash it does so only where a worker is empty, since most workers crash for
// reasons of their own; later it waits for one. The package is pure: jobs, workers and
// verdicts in, the kept workers out.
package isolation

import (
	"cmp"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// probationMargin is how much longer than before a crash a suspected job has to run
	// until others may join it.
	probationMargin = time.Second
	// maxFirstProbation limits the probation after a first crash: work that had run for
	// hours is hardly the cause.
	maxFirstProbation = 5 * time.Second
	// emptiedShare and keptShare limit the workers that are emptied for waiting suspects,
	// and those that are kept for any suspects, at the same time: one in emptiedShare or
	// keptShare, at least one.
	emptiedShare = 8
	keptShare    = 2
	// minSpacing is the shortest time between two suspects that get a worker, so that their
	// crashes are told from a loss of power, which ends many workers at once.
	minSpacing = 400 * time.Millisecond
	// maxEmptying is how long a job waits for its worker to become empty before it runs
	// beside what is still there. The worker gets no other work either way.
	maxEmptying = 20 * time.Second
	// maxIsolationWait is how long a job waits to run alone, without the time for which it may not run at all.
	// Then it runs where any job may: workers that are kept for other suspects would hold it up without end.
	maxIsolationWait = 20 * time.Second
)

// Suspects says which jobs are suspected.
type Suspects interface {
	// Verdict is the verdict on a job; those at fault are not placed at all.
	Verdict(job string) crashes.Verdict
	// Held reports whether the job may not run at all for now.
	Held(job string) bool
	// Crashes is the number of crashes that the job was part of, and Ran the longest time
	// for which it had run before one of them.
	Crashes(job string) int
	Ran(job string) time.Duration
}

// Plan is which workers are kept for which jobs.
type Plan struct {
	// OnlyFor holds, by worker, the only job that it may be given.
	OnlyFor map[string]string
	// Emptying are workers of OnlyFor that still run other work: they get nothing yet.
	Emptying map[string]bool
	// Restricted jobs may only be placed on workers that are kept for them.
	Restricted map[string]bool
}

// Keeper chooses the workers. It remembers its choices between passes, so that a worker that
// is being emptied stays the choice; the memory may be lost at any time.
type Keeper struct {
	chosen map[string]choice
	// waits holds since when isolated jobs wait.
	waits map[string]time.Time
	// newest is when a worker was last kept for another job than before.
	newest time.Time
}

// choice is the workers that are kept for a job since a time, and how many tasks of others they held in the previous pass.
type choice struct {
	workers []string
	since   time.Time
	tasks   int
}

// Update returns the plan for the current jobs and workers.
func (k *Keeper) Update(now time.Time, jobs []*controlpb.Job, workers []scheduling.Worker, suspects Suspects) *Plan {
	u := &update{
		now: now, suspects: suspects, workers: workers, newest: k.newest, previous: k.chosen, chosen: map[string]choice{},
		waitedSince: k.waits, waits: map[string]time.Time{},
		plan: &Plan{OnlyFor: map[string]string{}, Emptying: map[string]bool{}, Restricted: map[string]bool{}},
	}
	var running, waiting []*controlpb.Job
	mayKeep := max(len(workers)/keptShare, 1)
	for _, job := range jobs {
		verdict := suspects.Verdict(job.Id)
		switch {
		case job.State != controlpb.JobState_JOB_STATE_WAITING:
			if verdict != crashes.Clear && u.onProbation(job, verdict) {
				running = append(running, job)
			}
		case verdict == crashes.AtFault || suspects.Held(job.Id):
			u.plan.Restricted[job.Id] = true
		case verdict != crashes.Clear:
			u.plan.Restricted[job.Id] = verdict == crashes.Isolated && !u.waitedTooLong(job)
			if now.Add(maxEmptying).UnixMilli() >= job.NotBeforeMs {
				waiting = append(waiting, job)
			}
		}
	}
	u.likeliestFirst(running)
	for _, job := range running {
		u.keepRunning(job, mayKeep)
	}
	if len(waiting) > 0 {
		u.countTasks(jobs)
		u.keepWaiting(waiting, mayKeep-len(u.plan.OnlyFor))
	}
	k.chosen, k.waits, k.newest = u.chosen, u.waits, u.newest
	return u.plan
}

// update is the working state of one call of Update.
type update struct {
	now      time.Time
	suspects Suspects
	workers  []scheduling.Worker
	previous map[string]choice
	chosen   map[string]choice
	plan     *Plan
	newest   time.Time
	// waitedSince holds since when isolated jobs have waited, as of the previous pass; waits is that of this one.
	waitedSince, waits map[string]time.Time
	// tasks counts the tasks by worker.
	tasks map[string]int
}

// onProbation reports whether a placed suspect has not yet run for longer than before the
// crashes that it is suspected of.
func (u *update) onProbation(job *controlpb.Job, verdict crashes.Verdict) bool {
	if len(job.Placements) == 0 {
		return false
	}
	if job.State != controlpb.JobState_JOB_STATE_RUNNING {
		return true
	}
	ran := u.suspects.Ran(job.Id)
	if verdict == crashes.Suspected {
		ran = min(ran, maxFirstProbation)
	}
	return u.now.Sub(time.UnixMilli(job.StartedMs)) < ran+probationMargin
}

// keepRunning keeps a running suspect's workers for it, unless more than mayKeep workers would then be
// kept: a gang that found none of its own runs on workers that other work needs.
func (u *update) keepRunning(job *controlpb.Job, mayKeep int) {
	added := map[string]bool{}
	for _, placement := range job.Placements {
		if u.plan.OnlyFor[placement.Worker] == "" {
			added[placement.Worker] = true
		}
	}
	if len(u.plan.OnlyFor)+len(added) > mayKeep {
		return
	}
	for worker := range added {
		u.plan.OnlyFor[worker] = job.Id
	}
}

// waitedTooLong reports whether a job that may run has waited for maxIsolationWait to run alone.
func (u *update) waitedTooLong(job *controlpb.Job) bool {
	since, waits := u.waitedSince[job.Id]
	if !waits {
		since = u.now
	}
	u.waits[job.Id] = since
	return u.now.Sub(since) > maxIsolationWait
}

func (u *update) countTasks(jobs []*controlpb.Job) {
	u.tasks = map[string]int{}
	for _, job := range jobs {
		for _, placement := range job.Placements {
			u.tasks[placement.Worker]++
		}
	}
}

// keepWaiting keeps workers for waiting suspects, those with the most crashes and the
// shortest runs before them first: they are the likeliest causes, and once a cause is
// found, most of the others are no longer suspected.
func (u *update) keepWaiting(waiting []*controlpb.Job, toKeep int) {
	u.likeliestFirst(waiting)
	mayEmpty := max(len(u.workers)/emptiedShare, 1)
	toEmpty := mayEmpty
	for _, job := range waiting {
		kept, fits := u.choose(job)
		if !fits {
			// No part of the workers holds the job alone; it runs where any job may.
			delete(u.plan.Restricted, job.Id)
			continue
		}
		occupied := u.occupied(kept.workers)
		if occupied > 0 && !u.plan.Restricted[job.Id] {
			continue
		}
		if occupied > mayEmpty {
			// So many are never emptied for it: it would wait while the rest of their room is free.
			delete(u.plan.Restricted, job.Id)
			continue
		}
		if len(kept.workers) == 0 || len(kept.workers) > toKeep || occupied > toEmpty {
			continue
		}
		if !u.spaced(job) {
			continue
		}
		toKeep, toEmpty = toKeep-len(kept.workers), toEmpty-occupied
		u.keep(job, kept)
	}
}

// likeliestFirst sorts suspects, those with the most crashes and the shortest runs before them first.
func (u *update) likeliestFirst(jobs []*controlpb.Job) {
	slices.SortStableFunc(jobs, func(x, y *controlpb.Job) int {
		return cmp.Or(
			-cmp.Compare(u.suspects.Crashes(x.Id), u.suspects.Crashes(y.Id)),
			cmp.Compare(u.suspects.Ran(x.Id), u.suspects.Ran(y.Id)),
			cmp.Compare(x.Id, y.Id),
		)
	})
}

// spaced reports whether the job has workers already, or may get them now.
func (u *update) spaced(job *controlpb.Job) bool {
	if _, ok := u.previous[job.Id]; ok {
		return true
	}
	if u.now.Sub(u.newest) < minSpacing {
		return false
	}
	u.newest = u.now
	return true
}

func (u *update) tasksOn(workers []string) int {
	count := 0
	for _, worker := range workers {
		count += u.tasks[worker]
	}
	return count
}

// occupied counts the workers that run something.
func (u *update) occupied(workers []string) int {
	count := 0
	for _, worker := range workers {
		if u.tasks[worker] > 0 {
			count++
		}
	}
	return count
}

func (u *update) keep(job *controlpb.Job, kept choice) {
	u.plan.Restricted[job.Id] = true
	u.chosen[job.Id] = kept
	patient := u.now.Sub(kept.since) < maxEmptying
	emptying := patient && u.occupied(kept.workers) > 0
	for _, worker := range kept.workers {
		u.plan.OnlyFor[worker] = job.Id
		if emptying {
			u.plan.Emptying[worker] = true
		}
	}
}

// choose returns the workers to keep for a job: those of the previous pass if they still
// suit it, otherwise the ones with the fewest tasks. It returns none for now where all
// suitable ones are kept for other jobs, and false where the job doesn't fit on half of
// all suitable workers.
func (u *update) choose(job *controlpb.Job) (kept choice, fits bool) {
	var suitable, free []scheduling.Worker
	for _, worker := range u.workers {
		if !scheduling.Suits(job, &worker) {
			continue
		}
		suitable = append(suitable, worker)
		if u.plan.OnlyFor[worker.ID] == "" {
			free = append(free, worker)
		}
	}
	// Guaranteed work may have taken a worker that was kept: another one is sooner empty.
	if previous, ok := u.previous[job.Id]; ok && containsAll(free, previous.workers) {
		if tasks := u.tasksOn(previous.workers); tasks <= previous.tasks {
			previous.tasks = tasks
			return previous, true
		}
	}
	slices.SortStableFunc(free, func(x, y scheduling.Worker) int {
		return cmp.Or(cmp.Compare(u.tasks[x.ID], u.tasks[y.ID]), cmp.Compare(x.ID, y.ID))
	})
	chosen, found := scheduling.FirstThatHold(job, free)
	if !found {
		all, holds := scheduling.FirstThatHold(job, suitable)
		return choice{}, holds && len(all) <= max(len(suitable)/2, 1)
	}
	if len(chosen) > max(len(suitable)/2, 1) {
		return choice{}, false
	}
	return choice{workers: chosen, since: u.now, tasks: u.tasksOn(chosen)}, true
}

func containsAll(workers []scheduling.Worker, ids []string) bool {
	if len(ids) == 0 {
		return false
	}
	known := map[string]bool{}
	for _, worker := range workers {
		known[worker.ID] = true
	}
	return !slices.ContainsFunc(ids, func(id string) bool { return !known[id] })
}
