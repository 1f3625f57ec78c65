package store

import (
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// maxWorkerFailures limits the failures kept for one worker, newest last.
const maxWorkerFailures = 8

// Health returns the failures of a worker since it last completed a task, or nil if
// there are none.
func (s *State) Health(worker string) *controlpb.WorkerHealth {
	if s.health.Len() == 0 {
		return nil
	}
	health, _ := s.health.Get([]byte(worker))
	return health
}

// notWorkerFault holds the failure codes that don't count against the worker, such as a
// task that exceeded its declared memory or a lost worker. If lost workers counted, a
// rack that loses power would fail many jobs at once and be quarantined on its return.
var notWorkerFault = map[failure.Code]bool{
	failure.MemoryExceeded: true,
	failure.WorkerVanished: true,
	failure.LeaseLost:      true,
	failure.Overloaded:     true,
	failure.DeadlinePassed: true,
	failure.StaleEpoch:     true,

	failure.DataCentreEvacuated: true,
}

// CountsAgainstWorker reports whether a task failure counts against its worker.
func CountsAgainstWorker(failed *controlpb.TaskFailure) bool {
	return failed.Worker != "" && !notWorkerFault[failure.Code(failed.Code)]
}

// recordWorkerFailure adds a task failure to its worker's health.
func (s *State) recordWorkerFailure(job string, failed *controlpb.TaskFailure) {
	if !CountsAgainstWorker(failed) {
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

// recordWorkerSuccess clears the failures of the worker that completed the task.
func (s *State) recordWorkerSuccess(job *controlpb.Job, task uint32) {
	if placement := PlacementOf(job, task); placement != nil {
		s.health, _, _ = s.health.Delete([]byte(placement.Worker))
	}
}

// clearJobFailures removes the failures of a parked job from the health of the workers
// it ran on: the job was at fault, and a few such jobs would quarantine healthy workers.
func (s *State) clearJobFailures(job *controlpb.Job) {
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

// healthExpired reports whether the newest failure is past its retention. Without this,
// the health of workers that never return would be kept forever.
func (s *State) healthExpired(health *controlpb.WorkerHealth) bool {
	newest := health.Failures[len(health.Failures)-1]
	return newest.TimeMs < s.timeMs-healthRetention.Milliseconds()
}
