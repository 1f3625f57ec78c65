package scheduling

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// arrival is a unit that arrives, or is already running, at a time of a short replay.
type arrival struct {
	at  time.Duration
	job *controlpb.Job
}

// replayStep is the time between passes of the short replay.
const replayStep = 100 * time.Millisecond

// shortReplay runs arrivals through Pass, each unit for its run time, or three times as
// long if it is a coupled gang over several racks or a unit away from its data.
type shortReplay struct {
	workers  []Worker
	arrivals []arrival
	plan     *Plan
	endsAt   map[string]time.Duration
}

// replayArrivals returns when each unit that started ends.
func replayArrivals(workers []Worker, arrivals []arrival, length time.Duration) map[string]time.Duration {
	r := newShortReplay(workers, arrivals)
	for now := time.Duration(0); now <= length; now += replayStep {
		r.pass(now)
	}
	return r.endsAt
}

func newShortReplay(workers []Worker, arrivals []arrival) *shortReplay {
	r := &shortReplay{workers, arrivals, &Plan{}, map[string]time.Duration{}}
	for _, a := range arrivals {
		if a.job.State == controlpb.JobState_JOB_STATE_RUNNING {
			r.endsAt[a.job.Id] = runTimeAt(workers, a.job)
		}
	}
	return r
}

func (r *shortReplay) pass(now time.Duration) {
	jobs := r.active(now)
	snapshot := unitsSnapshot(r.workers, jobs...)
	snapshot.Now = start.Add(now)
	snapshot.CarryOver(r.plan)
	r.plan = Pass(snapshot)
	for _, assignment := range r.plan.Assignments {
		i := slices.IndexFunc(jobs, func(job *controlpb.Job) bool { return job.Id == assignment.Job })
		jobs[i].State, jobs[i].Placements = controlpb.JobState_JOB_STATE_RUNNING, assignment.Placements
		jobs[i].StartedMs = start.Add(now).UnixMilli()
		r.endsAt[jobs[i].Id] = now + runTimeAt(r.workers, jobs[i])
	}
	for _, preemption := range r.plan.Preemptions {
		i := slices.IndexFunc(jobs, func(job *controlpb.Job) bool { return job.Id == preemption.Job })
		jobs[i].State, jobs[i].Placements, jobs[i].StartedMs = controlpb.JobState_JOB_STATE_WAITING, nil, 0
		delete(r.endsAt, jobs[i].Id)
	}
}

// active lists the units that have arrived and not ended.
func (r *shortReplay) active(now time.Duration) []*controlpb.Job {
	var jobs []*controlpb.Job
	for _, a := range r.arrivals {
		end, begun := r.endsAt[a.job.Id]
		if a.at <= now && (!begun || end > now) {
			jobs = append(jobs, a.job)
		}
	}
	return jobs
}

func runTimeAt(workers []Worker, job *controlpb.Job) time.Duration {
	racks, rackOf := map[string]bool{}, map[string]string{}
	for _, worker := range workers {
		rackOf[worker.ID] = worker.Rack
	}
	for _, placement := range job.Placements {
		racks[rackOf[placement.Worker]] = true
	}
	run := time.Duration(job.RunTimeMs) * time.Millisecond
	away := job.DataRack != "" && (len(racks) > 1 || !racks[job.DataRack])
	if job.TightlyCoupled && len(racks) > 1 || away {
		return remoteSlowdown * run
	}
	return run
}

// gangArrivals returns gangs that arrive one after the other; each takes a whole rack
// of four workers for 5 s and has to end within 13 s.
func gangArrivals(ids ...string) []arrival {
	var gangs []arrival
	for i, id := range ids {
		at := time.Duration(i+1) * replayStep
		gang := unitJob(id, "b", 4, 8, coupled, dueIn(at+13*time.Second))
		gang.RunTimeMs = 5_000
		gang.SubmittedMs = start.Add(at).UnixMilli()
		gangs = append(gangs, arrival{at, gang})
	}
	return gangs
}

// sortedByEnd sorts gangs by when they end.
func sortedByEnd(gangs []arrival, ended map[string]time.Duration) []arrival {
	return slices.SortedFunc(slices.Values(gangs), func(a, b arrival) int { return cmp.Compare(ended[a.job.Id], ended[b.job.Id]) })
}

// busyRacks returns three racks of four workers, and a job that occupies one worker of
// each for the given time.
func busyRacks(busy time.Duration) ([]Worker, []arrival) {
	workers := testWorkers(1, 3, 4, 8)
	var tasks []arrival
	for _, id := range []string{"d0-r0-w0", "d0-r1-w0", "d0-r2-w0"} {
		job := unitJob("on-"+id, "b", 1, 8, running(0, 0, id))
		job.RunTimeMs = busy.Milliseconds()
		tasks = append(tasks, arrival{0, job})
	}
	return workers, tasks
}

// Guards against all coupled gangs of a burst spreading over the last free racks: they
// would run three times as long, end late, and leave no rack free for the gangs after
// them.
func TestCoupledGangsWaitForWholeRacksUnderContention(t *testing.T) {
	for _, c := range []struct {
		name  string
		busy  time.Duration
		gangs []string
		// spread is how many may spread: the first uses up what is free beyond a half.
		spread int
		by     time.Duration
	}{
		{name: "one of a burst spreads, two wait for whole racks", busy: 4 * time.Second, gangs: []string{"g0", "g1", "g2"}, spread: 1, by: 17 * time.Second},
		{name: "they wait even longer than they would run elsewhere", busy: 11 * time.Second, gangs: []string{"g0", "g1", "g2"}, spread: 1, by: 22 * time.Second},
		{name: "a single gang spreads over idle racks", busy: 40 * time.Second, gangs: []string{"g0"}, spread: 1, by: 17 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			workers, arrivals := busyRacks(c.busy)
			gangs := gangArrivals(c.gangs...)
			ended := replayArrivals(workers, append(arrivals, gangs...), 30*time.Second)
			spread := 0
			nextRack := c.busy
			for _, gang := range sortedByEnd(gangs, ended) {
				is.True(ended[gang.job.Id] > 0)     // it started
				is.True(ended[gang.job.Id] <= c.by) // in time
				run := time.Duration(gang.job.RunTimeMs) * time.Millisecond
				if runTimeAt(workers, gang.job) > run {
					spread++
					continue
				}
				nextRack += run + replayStep
				is.True(ended[gang.job.Id] <= nextRack) // started once a rack was free
			}
			is.True(spread <= c.spread) // the others got whole racks
		})
	}
}
