package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// evacuatedStep is a step while the data centre of the second worker is evacuated.
func (l *leaderRenewalModel) evacuatedStep(answers ...gang.Answer) *gang.Output {
	l.workers[1].DataCentre = "east"
	return l.machine.Step(&gang.Input{
		Now: l.now, Jobs: []*controlpb.Job{l.job}, Workers: l.workers, Answers: answers, LeaseExpired: leaseNotExpired,
		Evacuated: func(dataCentre string) bool { return dataCentre == "east" },
	})
}

// A gang is placed on a data centre that is then evacuated. It must be stopped as a whole
// before its start, and be placed again without a delay and without using up an attempt.
func TestEvacuationStopsAnUnstartedGang(t *testing.T) {
	for _, maxAttempts := range []uint32{0, 2} {
		is, l := is.New(t), newLeaderRenewalModel()
		l.job.MaxAttempts = maxAttempts
		is.Equal(len(l.step().Commands), 2)
		stopped := l.evacuatedStep(answerOf(gang.Reserve, 0, nil), answerOf(gang.Reserve, 1, nil))
		is.Equal(len(stopped.Commands), 0)
		move := stopped.Batch.Moves[0]
		is.Equal(move.State, stopping)
		is.Equal(move.Failure.Code, string(failure.DataCentreEvacuated))
		is.True(failure.Code(move.Failure.Code).Infrastructure())
		l.job.State = stopping
		for range 5 {
			l.job.Failures = append(l.job.Failures, move.Failure)
		}
		released := l.evacuatedStep().Batch.Moves[0]
		is.Equal(released.State, waiting)
		is.True(released.NotBeforeMs <= l.now.UnixMilli())
	}
}

// Both starts were sent before the evacuation. The gang runs on if both were carried out, and
// is stopped as a whole if one was withheld.
func TestEvacuationAwaitsAnswersToStarts(t *testing.T) {
	is := is.New(t)
	started := func() *leaderRenewalModel {
		l := newLeaderRenewalModel()
		l.step()
		is.Equal(len(l.step(answerOf(gang.Reserve, 0, nil), answerOf(gang.Reserve, 1, nil)).Commands), 2)
		first := answerOf(gang.Start, 0, nil)
		first.Phase = api.PhaseRunning
		is.Equal(l.evacuatedStep(first).Batch, nil)
		return l
	}
	carriedOut := answerOf(gang.Start, 1, nil)
	carriedOut.Phase = api.PhaseRunning
	is.Equal(started().evacuatedStep(carriedOut).Batch.Moves[0].State, controlpb.JobState_JOB_STATE_RUNNING)
	withheld := answerOf(gang.Start, 1, failure.New(failure.DataCentreEvacuated, "evacuated"))
	move := started().evacuatedStep(withheld).Batch.Moves[0]
	is.Equal(move.State, stopping)
	is.Equal(move.Failure.Code, string(failure.DataCentreEvacuated))
}
