package gang

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func failed(code string, workers ...string) []*controlpb.TaskFailure {
	var failures []*controlpb.TaskFailure
	for _, worker := range workers {
		failures = append(failures, &controlpb.TaskFailure{Worker: worker, Code: code})
	}
	return failures
}

// A job is parked when it fails wherever it goes, and not for what its workers
// did to it.
func TestJobAtFault(t *testing.T) {
	cases := []struct {
		name     string
		failures []*controlpb.TaskFailure
		want     bool
	}{
		{"on two healthy workers", failed("task_failed", "a", "b"), false},
		{"on three healthy workers", failed("task_failed", "a", "b", "c"), true},
		{"on one worker thrice", failed("task_failed", "a", "a", "a"), false},
		{"on one worker eight times", failed("task_failed", "a", "a", "a", "a", "a", "a", "a", "a"), true},
		{"on a quarantined worker", failed("task_failed", "a", "b", "bad"), false},
		{"with a code of the worker's own", failed("cuda_error", "a", "b", "c"), true},
		{"unreachable workers", failed("unreachable", "a", "b", "c", "d", "e", "f", "g", "h", "i"), false},
		{"four workers vanished", failed("worker_vanished", "a", "b", "c", "d"), false},
		{"five workers vanished under it", failed("worker_vanished", "a", "b", "c", "d", "e"), true},
		{"out of memory on three", failed("memory_exceeded", "a", "b", "c"), false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			job := &controlpb.Job{Failures: c.failures}
			is.Equal(atFault(job, func(worker string) bool { return worker == "bad" }), c.want)
		})
	}
}

// Pauses grow to a cap, are the same for every leader, and differ between jobs
// that failed together.
func TestBackoff(t *testing.T) {
	is := is.New(t)
	distinct := map[time.Duration]bool{}
	for i := range 100 {
		job := &controlpb.Job{Id: fmt.Sprint("j", i), Epoch: 3, Failures: failed("x", "a", "b", "c")}
		pause := backoff(job)
		is.True(pause >= 2*time.Second && pause < 4*time.Second)
		is.Equal(pause, backoff(job))
		distinct[pause] = true
	}
	is.True(len(distinct) > 80)
	long := &controlpb.Job{Id: "j", Failures: make([]*controlpb.TaskFailure, 16)}
	is.True(backoff(long) <= lastBackoff && backoff(long) >= lastBackoff/2)
}

// A job waits for minutes, with workers idle, since several workers were lost under it.
func TestLostWorkersLengthenThePauseLittle(t *testing.T) {
	is := is.New(t)
	lost := &controlpb.Job{Id: "j", Epoch: 8, Failures: failed("lease_lost", "a", "b", "c", "d", "e", "f", "g")}
	is.True(backoff(lost) <= 4*time.Second)
	both := &controlpb.Job{Id: "j", Epoch: 8, Failures: append(failed("x", "a", "b", "c"), lost.Failures...)}
	is.True(backoff(both) >= 16*time.Second)
}
