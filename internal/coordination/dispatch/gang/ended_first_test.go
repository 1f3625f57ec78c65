package gang

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	broken = failure.MemberEnded
	silent = failure.Code("silent")
	// stoppedByUs and failedItself are ends of which the others may be the consequence.
	stoppedByUs  = failure.Code("")
	failedItself = failure.TaskFailed
)

// stoppingGang is one whose members have ended in these ways.
func stoppingGang(ends ...failure.Code) (*controlpb.Job, *Input) {
	job := &controlpb.Job{
		Id: "j", Tasks: uint32(len(ends)), Epoch: 1, Idempotent: true, MaxAttempts: 2, StartedMs: 1,
		State: controlpb.JobState_JOB_STATE_STOPPING, NextState: controlpb.JobState_JOB_STATE_WAITING,
	}
	in := &Input{
		Now: time.UnixMilli(10_000), Jobs: []*controlpb.Job{job},
		Quarantined: func(string) bool { return false },
		LeaseOver:   func(string) bool { return false },
	}
	for i, end := range ends {
		id := string(rune('a' + i))
		job.Placements = append(job.Placements, &controlpb.Placement{Task: uint32(i), Worker: id, Incarnation: 1})
		worker := &peerpb.Upstream{Id: id, Incarnation: 1}
		report := &peerpb.TaskReport{Job: "j", Task: uint32(i), Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_STOPPED, Code: string(end)}
		switch end {
		case silent:
			report.Phase = peerpb.TaskPhase_TASK_PHASE_RUNNING
		case failedItself:
			report.Phase = peerpb.TaskPhase_TASK_PHASE_FAILED
		}
		worker.Tasks = []*peerpb.TaskReport{report}
		in.Workers = append(in.Workers, worker)
	}
	return job, in
}

// A worker crashes under a gang: its other members end at once, since it has, and nothing
// more is heard of it. Callers waited for the rest of the crashed worker's lease, up to
// 5.7 s, before the gang began again. The member of which nothing is known must have
// ended, or the others would live; where they may have ended for another reason, or two
// members are unknown, one may live on behind a cut, and its lease is waited out.
func TestGangOfACrashedWorkerBeginsAnewAtOnce(t *testing.T) {
	for _, c := range []struct {
		name string
		ends []failure.Code
		anew bool
	}{
		{name: "all others ended because one had", ends: []failure.Code{broken, silent, broken}, anew: true},
		{name: "two members unknown", ends: []failure.Code{broken, silent, silent}},
		{name: "one was stopped", ends: []failure.Code{broken, silent, stoppedByUs}},
		{name: "one had failed", ends: []failure.Code{broken, silent, failedItself}},
		{name: "a gang of one", ends: []failure.Code{silent}},
		{name: "all known", ends: []failure.Code{broken, stoppedByUs}, anew: true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			job, in := stoppingGang(c.ends...)
			moved := false
			for _, move := range New(Config{}).Step(in).Batch.GetMoves() {
				moved = moved || move.State == controlpb.JobState_JOB_STATE_WAITING
			}
			is.Equal(moved, c.anew)
			is.Equal(job.State, controlpb.JobState_JOB_STATE_STOPPING) // the machine changes nothing by itself
		})
	}
}
