package gang_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// announcementModel is a machine with two workers that renew their leases by
// announcements, and a starting job with a member on each of them.
type announcementModel struct {
	machine *gang.Machine
	now     time.Time
	job     *controlpb.Job
	workers []*peerpb.Upstream
}

const (
	announceEvery   = 200 * time.Millisecond
	announcementTTL = api.MaxMissedAnnouncements * announceEvery
)

func newAnnouncementModel() *announcementModel {
	a := &announcementModel{
		machine: gang.New(gang.Config{Lease: time.Second, FreshnessBound: time.Second, AnnounceEvery: announceEvery, CommandTimeout: 2 * time.Second}),
		now:     time.UnixMilli(1_800_000_000_000),
		job:     &controlpb.Job{Id: "j", Tasks: 2, Epoch: 1, Idempotent: true, State: controlpb.JobState_JOB_STATE_STARTING, NextState: waiting},
	}
	for task, id := range []string{"w1", "w2"} {
		a.workers = append(a.workers, &peerpb.Upstream{Id: id, Incarnation: 1, Version: 1})
		a.job.Placements = append(a.job.Placements, &controlpb.Placement{Task: uint32(task), Worker: id, Incarnation: 1})
	}
	a.machine.Step(&gang.Input{Now: a.now, Workers: a.workers})
	a.now = a.now.Add(announcementTTL)
	a.announce()
	return a
}

// announce delivers a new announcement of each worker with the next step.
func (a *announcementModel) announce() {
	for i, w := range a.workers {
		w = proto.CloneOf(w)
		w.Version++
		a.workers[i] = w
	}
}

func (a *announcementModel) step(answers ...gang.Answer) *gang.Output {
	a.now = a.now.Add(10 * time.Millisecond)
	return a.machine.Step(&gang.Input{Now: a.now, Jobs: []*controlpb.Job{a.job}, Workers: a.workers, Answers: answers})
}

func late() *failure.Error {
	return failure.New(failure.StaleEpoch, "the command is older than its lease")
}

// A reserve that arrives after its lease has expired must not end the attempt: on a busy
// machine guaranteed work would not start for as long as commands are delayed.
func TestLateReserveIsSentAgainForNextAnnouncement(t *testing.T) {
	is, a := is.New(t), newAnnouncementModel()
	is.Equal(len(a.step().Commands), 2)
	waiting := a.step(answerOf(gang.Reserve, 0, nil), answerOf(gang.Reserve, 1, late()))
	is.Equal(waiting.Batch, nil)
	is.Equal(len(waiting.Commands), 0) // the lease would count from the same announcement
	a.announce()
	again := a.step()
	is.Equal(len(again.Commands), 1)
	is.Equal(again.Commands[0].Kind, gang.Reserve)
	is.Equal(again.Commands[0].Task.Announced, a.workers[1].Version)
	started := a.step(answerOf(gang.Reserve, 1, nil))
	is.Equal(len(started.Commands), 2)
	is.Equal(started.Commands[0].Kind, gang.Start)
}

// A start that arrives too late must not end the attempt at once, nor may the members
// that run wait for the last one for long.
func TestLateStartIsSentAgainForLimitedTime(t *testing.T) {
	is, a := is.New(t), newAnnouncementModel()
	a.step()
	is.Equal(len(a.step(answerOf(gang.Reserve, 0, nil), answerOf(gang.Reserve, 1, nil)).Commands), 2)
	running := answerOf(gang.Start, 0, nil)
	running.Phase = api.PhaseRunning
	is.Equal(a.step(running, answerOf(gang.Start, 1, late())).Batch, nil)
	a.announce()
	again := a.step()
	is.Equal(len(again.Commands), 1)
	is.Equal(again.Commands[0].Kind, gang.Start)
	a.now = a.now.Add(announcementTTL)
	a.announce()
	ended := a.step(answerOf(gang.Start, 1, late()))
	is.Equal(ended.Batch.Moves[0].State, stopping)
}

// A refusal that lasts, such as one by a worker that has seen a later epoch, ends the
// attempt when the time for a start is over.
func TestReserveRefusedAgainAndAgainTimesOut(t *testing.T) {
	is, a := is.New(t), newAnnouncementModel()
	began := a.now
	out := a.step()
	for out.Batch == nil {
		is.True(a.now.Sub(began) < 6*time.Second)
		a.now = a.now.Add(announceEvery)
		a.announce()
		out = a.step(answerOf(gang.Reserve, 0, late()), answerOf(gang.Reserve, 1, late()))
	}
	is.Equal(out.Batch.Moves[0].Failure.Code, string(failure.StartTimeout))
}

// A reserve must not name an announcement of which most of the lease is over: the
// reservation would expire before the gang can be started.
func TestReserveWaitsForRecentAnnouncement(t *testing.T) {
	is, a := is.New(t), newAnnouncementModel()
	job := a.job
	a.job = &controlpb.Job{Id: "other"}
	a.step()
	a.job = job
	a.now = a.now.Add(600 * time.Millisecond)
	is.Equal(len(a.step().Commands), 0)
	a.announce()
	is.Equal(len(a.step().Commands), 2)
}
