package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// maxWorkerFailures bounds what is kept of one worker's failures, newest last.
const maxWorkerFailures = 8

// Health gives the failures of a worker since it last completed a task; nil for
// a worker without any.
func (s *State) Health(worker string) *controlpb.WorkerHealth {
	if s.health.Len() == 0 {
		return nil
	}
	health, _ := s.health.Get([]byte(worker))
	return health
}

// blameless holds the failures that are not the worker's: a task that outgrew
// its memory, and a worker that went away. A rack that loses its power takes many
// jobs with it at once, and would come back to a quarantine.
var blameless = map[failure.Code]bool{
	failure.MemoryExceeded: true,
	failure.WorkerVanished: true,
	failure.LeaseLost:      true,
	failure.Overloaded:     true,
	failure.DeadlinePassed: true,
	failure.StaleEpoch:     true,
}

// recordWorkerFailure keeps a failure against its worker.
func (s *State) recordWorkerFailure(job string, failed *controlpb.TaskFailure) {
	if failed.Worker == "" || blameless[failure.Code(failed.Code)] {
		return
	}
	health := &controlpb.WorkerHealth{Worker: failed.Worker}
	if old := s.Health(failed.Worker); old != nil {
		health = proto.CloneOf(old)
	}
	health.Consecutive++
	health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: job, Code: failed.Code, TimeMs: s.timeMs})
	if excess := len(health.Failures) - maxWorkerFailures; excess > 0 {
		health.Failures = health.Failures[excess:]
	}
	s.health, _, _ = s.health.Insert([]byte(failed.Worker), health)
}

// recordWorkerSuccess clears a worker: it has just completed a task.
func (s *State) recordWorkerSuccess(job *controlpb.Job, task uint32) {
	if placement := PlacementOf(job, task); placement != nil {
		s.health, _, _ = s.health.Delete([]byte(placement.Worker))
	}
}

// clearBlame takes a parked job's failures off the workers that it failed on:
// the job was at fault, and a few such jobs would quarantine healthy workers.
func (s *State) clearBlame(job *controlpb.Job) {
	for _, failed := range job.Failures {
		health := s.Health(failed.Worker)
		if health == nil {
			continue
		}
		health = proto.CloneOf(health)
		before := len(health.Failures)
		health.Failures = slices.DeleteFunc(health.Failures, func(f *controlpb.WorkerFailure) bool { return f.Job == job.Id })
		health.Consecutive -= uint32(before - len(health.Failures))
		if len(health.Failures) == 0 {
			s.health, _, _ = s.health.Delete([]byte(failed.Worker))
			continue
		}
		s.health, _, _ = s.health.Insert([]byte(failed.Worker), health)
	}
}

// oldHealth tells health that no failure has been added to for long: workers
// that never come back must not be kept for ever.
func (s *State) oldHealth(health *controlpb.WorkerHealth) bool {
	newest := health.Failures[len(health.Failures)-1]
	return newest.TimeMs < s.timeMs-healthLife.Milliseconds()
}
