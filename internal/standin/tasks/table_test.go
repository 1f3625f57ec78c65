package tasks_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

var start = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return start.Add(time.Duration(seconds * float64(time.Second))) }

func command(job string, epoch uint64, accelerators ...uint32) *api.TaskCommand {
	return &api.TaskCommand{
		TaskRef:     api.TaskRef{Job: job, Epoch: epoch},
		Incarnation: 7, Announced: 1, LeaseMs: 10_000, RunTimeMs: 4_000, MemoryMB: 100,
		Accelerators: accelerators, Checkpoint: true,
	}
}

// table returns a table that announced itself at second zero.
func table(options tasks.Options) *tasks.Table {
	options.Incarnation, options.Speed = 7, 1
	t := tasks.New(options)
	t.Announce(at(0))
	return t
}

// A delayed, repeated or reordered command must not start a run that has been given up.
func TestRefusedCommands(t *testing.T) {
	cases := []struct {
		name   string
		before func(t *tasks.Table)
		at     float64
		change func(c *api.TaskCommand)
		want   failure.Code
	}{
		{name: "in time", at: 9.9},
		{name: "delayed beyond its lease", at: 10.1, want: failure.StaleEpoch},
		{name: "for another incarnation of the worker", change: func(c *api.TaskCommand) { c.Incarnation = 6 }, want: failure.StaleEpoch},
		{name: "for an announcement that was never sent", change: func(c *api.TaskCommand) { c.Announced = 2 }, want: failure.StaleEpoch},
		{name: "reordered after its stop", before: func(t *tasks.Table) { _, _ = t.Stop(at(0), command("j", 1)) }, want: failure.StaleEpoch},
		{name: "after the stop of its run", before: func(t *tasks.Table) {
			_, _ = t.Reserve(at(0), command("j", 1, 0))
			_, _ = t.Stop(at(0), command("j", 1))
		}, want: failure.StaleEpoch},
		{name: "after its run ended and was forgotten", before: func(t *tasks.Table) {
			_, _ = t.Reserve(at(0), command("j", 1, 0))
			_, _ = t.Start(at(0), command("j", 1, 0))
			t.Take(at(5), 1, &api.AnnounceReply{LeaseMs: 10_000, Forget: []api.TaskRef{{Job: "j", Epoch: 1}}})
		}, at: 5, want: failure.StaleEpoch},
		{name: "for an accelerator in use", before: func(t *tasks.Table) { _, _ = t.Reserve(at(0), command("other", 1, 0)) }, want: failure.Overloaded},
		{name: "repeated", before: func(t *tasks.Table) { _, _ = t.Reserve(at(0), command("j", 1, 0)) }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			worker := table(tasks.Options{})
			if c.before != nil {
				c.before(worker)
			}
			reserve := command("j", 1, 0)
			if c.change != nil {
				c.change(reserve)
			}
			_, err := worker.Reserve(at(c.at), reserve)
			if c.want == "" {
				is.True(err == nil)
				return
			}
			is.True(err != nil)
			is.Equal(err.Code, c.want)
		})
	}
}

// A task whose lease is not renewed ends with the lease; a renewal counts from when
// the announcement was sent, not from when its reply arrived.
func TestLeaseExpires(t *testing.T) {
	is := is.New(t)
	worker := table(tasks.Options{Overrun: 100})
	_, _ = worker.Reserve(at(0), command("j", 1, 0))
	_, _ = worker.Start(at(0), command("j", 1, 0))
	version, _ := worker.Announce(at(4))
	worker.Take(at(8), version, &api.AnnounceReply{LeaseMs: 10_000, Renew: []api.TaskRef{{Job: "j", Epoch: 1}}})
	is.Equal(worker.Reports(at(13.9))[0].Phase, api.PhaseRunning)
	is.Equal(worker.Reports(at(14.1))[0].Phase, api.PhaseStopped)
	is.Equal(worker.Reports(at(14.1))[0].CheckpointedMs, int64(14_000))
}

// A task that uses more memory than it declared is stopped by the worker.
func TestMemoryGuard(t *testing.T) {
	is := is.New(t)
	worker := table(tasks.Options{TaskMemoryMB: 300})
	_, _ = worker.Reserve(at(0), command("j", 1, 0))
	_, _ = worker.Start(at(0), command("j", 1, 0))
	report := worker.Reports(at(1))[0]
	is.Equal(report.Phase, api.PhaseFailed)
	is.Equal(report.Code, string(failure.MemoryExceeded))
	is.Equal(report.MemoryMB, uint64(300))
}

// A throttled task keeps its progress and continues more slowly; a later stop answers
// with all of the work done, also when it is repeated.
func TestThrottleAndStop(t *testing.T) {
	is := is.New(t)
	worker := table(tasks.Options{})
	_, _ = worker.Reserve(at(0), command("j", 1, 0))
	_, _ = worker.Start(at(0), command("j", 1, 0))
	slow := command("j", 1)
	slow.Percent = 50
	_, err := worker.Throttle(at(1), slow)
	is.True(err == nil)
	for range 2 {
		answer, err := worker.Stop(at(3), command("j", 1))
		is.True(err == nil)
		is.Equal(answer.CheckpointedMs, int64(2_000))
	}
}
