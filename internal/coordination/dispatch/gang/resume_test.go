package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A gang that ran has lost a member. With ResumeAtOnce, it must not wait before it is placed
// again; after a refused start it still does.
func TestGangThatLostAMemberResumesAtOnce(t *testing.T) {
	for _, test := range []struct {
		atOnce  bool
		code    failure.Code
		delayed bool
	}{{false, failure.WorkerVanished, true}, {true, failure.WorkerVanished, false}, {true, failure.LeaseLost, false}, {true, failure.Overloaded, true}} {
		is, l := is.New(t), newLeaderRenewalModel()
		l.machine = gang.New(gang.Config{ResumeAtOnce: test.atOnce})
		l.job.State, l.job.StartedMs, l.job.Checkpoint = stopping, l.now.UnixMilli(), "kept"
		l.job.Failures = []*controlpb.TaskFailure{{Worker: "w1", Code: string(test.code)}}
		l.job.StoppedTasks = []*controlpb.StoppedTask{{Task: 0}, {Task: 1}}
		move := l.step().Batch.Moves[0]
		is.Equal(move.State, waiting)
		is.Equal(move.NotBeforeMs > l.now.UnixMilli(), test.delayed)
	}
}
