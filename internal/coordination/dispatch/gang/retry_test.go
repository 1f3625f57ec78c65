package gang

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func failuresOn(code string, workers ...string) []*controlpb.TaskFailure {
	var failures []*controlpb.TaskFailure
	for _, worker := range workers {
		failures = append(failures, &controlpb.TaskFailure{Worker: worker, Code: code})
	}
	return failures
}

// A job is parked when it fails on any worker, and not for failures caused by its
// workers.
func TestJobAtFault(t *testing.T) {
	cases := []struct {
		name     string
		failures []*controlpb.TaskFailure
		want     bool
	}{
		{"on two healthy workers", failuresOn("task_failed", "a", "b"), false},
		{"on three healthy workers", failuresOn("task_failed", "a", "b", "c"), true},
		{"on one worker three times", failuresOn("task_failed", "a", "a", "a"), false},
		{"on one worker eight times", failuresOn("task_failed", "a", "a", "a", "a", "a", "a", "a", "a"), true},
		{"on a quarantined worker", failuresOn("task_failed", "a", "b", "bad"), false},
		{"with a worker-specific code", failuresOn("cuda_error", "a", "b", "c"), true},
		{"unreachable workers", failuresOn("unreachable", "a", "b", "c", "d", "e", "f", "g", "h", "i"), false},
		{"four workers vanished", failuresOn("worker_vanished", "a", "b", "c", "d"), false},
		{"five workers vanished", failuresOn("worker_vanished", "a", "b", "c", "d", "e"), true},
		{"out of memory on three", failuresOn("memory_exceeded", "a", "b", "c"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			job := &controlpb.Job{Failures: c.failures}
			is.Equal(atFault(job, func(worker string) bool { return worker == "bad" }), c.want)
		})
	}
}

// A gang is given up after five of its workers have vanished, each under another member: an ordinary week of a large one.
func TestVanishedWorkersCountByTask(t *testing.T) {
	failures := failuresOn("worker_vanished", "a", "b", "c", "d", "e")
	for task, failed := range failures {
		failed.Task = uint32(task)
	}
	is.New(t).True(!atFault(&controlpb.Job{Failures: failures}, func(string) bool { return false }))
}

// The backoff grows up to a cap, is the same on every leader, and differs between jobs
// that failed together.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	distinct := map[time.Duration]bool{}
	for i := range 100 {
		job := &controlpb.Job{Id: fmt.Sprint("j", i), Epoch: 3, Failures: failuresOn("x", "a", "b", "c")}
		delay := backoff(job)
		is.True(delay >= 2*time.Second && delay < 4*time.Second)
		is.Equal(delay, backoff(job))
		distinct[delay] = true
	}
	is.True(len(distinct) > 80)
	long := &controlpb.Job{Id: "j", Failures: make([]*controlpb.TaskFailure, 16)}
	is.True(backoff(long) <= maxBackoff && backoff(long) >= maxBackoff/2)
}

// Infrastructure failures must lengthen the backoff only a little: otherwise a job that
// lost several workers waits for minutes while workers are idle.
func TestLostWorkersLengthenBackoffLittle(t *testing.T) {
	is := is.New(t)
	lost := &controlpb.Job{Id: "j", Epoch: 8, Failures: failuresOn("lease_lost", "a", "b", "c", "d", "e", "f", "g")}
	is.True(backoff(lost) <= 4*time.Second)
	both := &controlpb.Job{Id: "j", Epoch: 8, Failures: append(failuresOn("x", "a", "b", "c"), lost.Failures...)}
	is.True(backoff(both) >= 16*time.Second)
}

// A delay after an attempt that did not start gives its capacity to other work, which then
// has to be preempted again: guaranteed work would miss its bound after two such attempts.
func TestAttemptThatDidNotStartIsRepeatedAtOnce(t *testing.T) {
	is := is.New(t)
	job := &controlpb.Job{Id: "j", Epoch: 3, Failures: failuresOn("stale_epoch", "a", "b", "c")}
	is.Equal(backoff(job), time.Duration(0))
	started := &controlpb.Job{Id: "j", Epoch: 3, StartedMs: 1, Failures: job.Failures}
	is.True(backoff(started) >= 2*time.Second)
	own := &controlpb.Job{Id: "j", Epoch: 3, Failures: failuresOn("task_failed", "a")}
	is.True(backoff(own) >= minBackoff/2)
	for failures, previous := 4, time.Duration(0); failures < 8; failures++ {
		job.Failures = append(job.Failures, failuresOn("unreachable", "d")...)
		delay := backoff(job)
		is.True(delay > previous/2 && delay >= infrastructureRetryDelay/2 && delay <= 4*time.Second)
		previous = delay
	}
}
