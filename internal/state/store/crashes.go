package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// crashRetentionMs is how long crashes and lost runs are kept, in ms. It is longer than
	// a few attempts of a job take, with the waits between them.
	crashRetentionMs = 15 * 60 * 1000
	// maxCrashes and maxLostRuns limit what is kept, newest last. The loss of a region of
	// several hundred workers fits.
	maxCrashes  = 2048
	maxLostRuns = 8192
)

// Crashes lists the recorded crashes of workers, oldest first.
func (s *State) Crashes() []*controlpb.WorkerCrash { return s.crashes }

// LostRuns lists the runs that were given up without a word of their workers, oldest first.
func (s *State) LostRuns() []*controlpb.LostRun { return s.lostRuns }

// CrashRecorded reports whether the crash of the incarnation of a worker is recorded.
func (s *State) CrashRecorded(worker string, incarnation int64) bool {
	return slices.ContainsFunc(s.crashes, func(c *controlpb.WorkerCrash) bool {
		return c.Worker == worker && c.Incarnation == incarnation
	})
}

// recordCrash records the crash of a worker with the runs that it ended, once for each
// incarnation. The runs that the command names never started and are left out.
func (s *State) recordCrash(crash *controlpb.WorkerCrash) {
	if s.CrashRecorded(crash.Worker, crash.Incarnation) {
		return
	}
	crash = proto.CloneOf(crash)
	began := int64(0)
	crash.Runs, began = s.runsOn(crash)
	// The worker was up when the last of them started.
	crash.EarliestMs = max(crash.EarliestMs, began)
	s.lostRuns = slices.DeleteFunc(slices.Clone(s.lostRuns), func(lost *controlpb.LostRun) bool {
		return lost.Worker == crash.Worker && lost.Incarnation == crash.Incarnation
	})
	s.crashes = newest(append(s.recentCrashes(), crash), maxCrashes)
}

func (s *State) recentCrashes() []*controlpb.WorkerCrash {
	return slices.DeleteFunc(slices.Clone(s.crashes), func(c *controlpb.WorkerCrash) bool {
		return c.LatestMs < s.timeMs-crashRetentionMs
	})
}

func (s *State) recentLostRuns() []*controlpb.LostRun {
	return slices.DeleteFunc(slices.Clone(s.lostRuns), func(lost *controlpb.LostRun) bool {
		return lost.LostMs < s.timeMs-crashRetentionMs
	})
}

// RunsOn lists the runs that the crash of a worker ended, as far as they are known, in the
// order of their jobs. The crash is that of a command: its own runs never started.
func (s *State) RunsOn(crash *controlpb.WorkerCrash) []*controlpb.CrashedRun {
	runs, _ := s.runsOn(crash)
	return runs
}

// runsOn also returns the latest known start of such a run; 0 for none.
func (s *State) runsOn(crash *controlpb.WorkerCrash) (runs []*controlpb.CrashedRun, began int64) {
	add := func(job string, epoch uint64, task uint32, startedMs int64) {
		run := &controlpb.CrashedRun{Job: job, Epoch: epoch, Task: task}
		if slices.ContainsFunc(crash.Runs, func(never *controlpb.CrashedRun) bool { return proto.Equal(never, run) }) {
			return
		}
		if startedMs > 0 {
			run.RanMs = max(crash.LatestMs-startedMs, 0)
			began = max(began, startedMs)
		}
		runs = append(runs, run)
	}
	for _, job := range s.ActiveJobs() {
		for _, placement := range job.Placements {
			if placement.Worker == crash.Worker && placement.Incarnation == crash.Incarnation && !MemberEnded(job, placement.Task) {
				add(job.Id, job.Epoch, placement.Task, job.StartedMs)
			}
		}
	}
	for _, lost := range s.lostRuns {
		if lost.Worker == crash.Worker && lost.Incarnation == crash.Incarnation {
			add(lost.Job, lost.Epoch, lost.Task, lost.StartedMs)
		}
	}
	return runs, min(began, crash.LatestMs)
}

// MemberEnded reports whether the end of a job's member is recorded.
func MemberEnded(job *controlpb.Job, task uint32) bool {
	return slices.Contains(job.DoneTasks, task) || StopAcknowledged(job, task)
}

// recordLostRuns keeps the members of a released job of which no end is known; the
// placements are still those of the epoch.
func (s *State) recordLostRuns(job *controlpb.Job, tasks []uint32) {
	if len(tasks) == 0 {
		return
	}
	kept := s.recentLostRuns()
	for _, task := range tasks {
		placement := PlacementOf(job, task)
		if placement == nil || MemberEnded(job, task) || s.crashedUnder(job, placement) {
			continue
		}
		kept = append(kept, &controlpb.LostRun{
			Worker: placement.Worker, Incarnation: placement.Incarnation, Address: placement.Address,
			Job: job.Id, Epoch: job.Epoch, Task: task, StartedMs: job.StartedMs, LostMs: s.timeMs,
		})
	}
	s.lostRuns = newest(kept, maxLostRuns)
}

// crashedUnder reports whether a recorded crash already names the member's run.
func (s *State) crashedUnder(job *controlpb.Job, placement *controlpb.Placement) bool {
	return slices.ContainsFunc(s.crashes, func(c *controlpb.WorkerCrash) bool {
		return c.Worker == placement.Worker && c.Incarnation == placement.Incarnation &&
			slices.ContainsFunc(c.Runs, func(r *controlpb.CrashedRun) bool { return r.Job == job.Id && r.Epoch == job.Epoch })
	})
}

// newest returns at most limit elements, the last ones.
func newest[T any](list []T, limit int) []T { return list[max(len(list)-limit, 0):] }
