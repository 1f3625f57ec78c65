package store

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Guards against replicas whose states differ, and against ended jobs that are kept for ever:
// one that was restored looks at all jobs, one that was not only when the oldest is due.
func TestRestoredReplicaExpiresTheSameJobs(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		is := is.New(rt)
		state, now := New(), start
		for n := range rapid.IntRange(1, 40).Draw(rt, "jobs") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(rt, "minutes")) * time.Minute)
			state.timeMs = now.UnixMilli()
			job := &controlpb.Job{Id: fmt.Sprint("j", n), State: controlpb.JobState_JOB_STATE_COMPLETED, EndedMs: state.timeMs}
			if rapid.Bool().Draw(rt, "open") {
				job.State, job.EndedMs = controlpb.JobState_JOB_STATE_WAITING, 0
			}
			state.putJob(job)
			restored := Restore(proto.CloneOf(state.Snapshot()))
			state.expireJobs()
			restored.expireJobs()
			is.True(proto.Equal(state.Snapshot(), restored.Snapshot()))
		}
	})
}

// With many ended jobs that are not due, most passes look at none of them.
func BenchmarkExpiryOfRetainedJobs(b *testing.B) {
	state := New()
	state.timeMs = start.UnixMilli()
	for n := range 20_000 {
		state.putJob(&controlpb.Job{Id: fmt.Sprint("j", n), State: controlpb.JobState_JOB_STATE_COMPLETED, EndedMs: state.timeMs})
	}
	for b.Loop() {
		state.timeMs++
		state.expireAll()
	}
}

var start = time.UnixMilli(1_800_000_000_000)
