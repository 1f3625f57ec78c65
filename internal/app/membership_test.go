package app

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/settings"
)

// upstreamSettings are those of an instance that its upstreams' lives follow from.
func upstreamSettings(freshness, every, lease time.Duration) *settings.Settings {
	return &settings.Settings{
		Control:   settings.Control{FreshnessBound: freshness},
		Upstreams: settings.Upstreams{AnnounceEvery: every, Lease: lease},
	}
}

// announces is what an instance passes on of a worker with one running task.
func announces(worker string, version uint64, task uint32) *peerpb.Upstream {
	report := &peerpb.TaskReport{Job: "j", Task: task, Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING}
	return &peerpb.Upstream{Id: worker, Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Incarnation: 1, Version: version, Tasks: []*peerpb.TaskReport{report}}
}

// A part of a gang that runs alone, because the word of an instance which was cut off
// together with another part's worker goes on to stand.
func TestGangEndsWithTheWordOfItsWorkersInstance(t *testing.T) {
	for name, s := range map[string]*settings.Settings{
		"short leases": upstreamSettings(time.Second, 200*time.Millisecond, time.Second),
		"defaults":     upstreamSettings(3*time.Second, time.Second, 10*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { gangEndsWithTheWord(t, s) })
		})
	}
}

func gangEndsWithTheWord(t *testing.T, s *settings.Settings) {
	is := is.New(t)
	config := gang.Config{Lease: s.Upstreams.Lease, FreshnessBound: s.Control.FreshnessBound, AnnounceEvery: s.Upstreams.AnnounceEvery, CommandTimeout: commandTimeout}
	registry := newRegistry(s, nil)
	is.NoErr(registry.Receive("cut off", &peerpb.SoftBatch{
		Incarnation: 1, Reset_: true, Complete: true, To: 1, Upstreams: []*peerpb.Upstream{announces("lost", 1, 0)},
	}, time.Now()))
	machine := gang.New(config)
	job := &controlpb.Job{
		Id: "j", Tasks: 2, Epoch: 1, StartedMs: 1, Idempotent: true, State: controlpb.JobState_JOB_STATE_RUNNING,
		Placements: []*controlpb.Placement{{Worker: "lost", Incarnation: 1}, {Task: 1, Worker: "well", Incarnation: 1}},
	}
	cut := time.Now()
	// The lost part runs on until the lease ends that it had when the cut came.
	bound := s.Upstreams.Lease + 4*s.Upstreams.AnnounceEvery + config.StopWait()
	for version := uint64(1); time.Since(cut) <= bound; version++ {
		is.NoErr(registry.Merge(withTTL(announces("well", version, 1), 3*s.Upstreams.AnnounceEvery)))
		workers := registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
		if out := machine.Step(&gang.Input{Now: time.Now(), Jobs: []*controlpb.Job{job}, Workers: workers}); out.Batch != nil {
			is.Equal(out.Batch.Moves[0].Failure.Worker, "lost")
			return
		}
		time.Sleep(s.Upstreams.AnnounceEvery / 2)
	}
	t.Fatalf("the gang was not stopped %s after the cut", bound)
}

func withTTL(upstream *peerpb.Upstream, ttl time.Duration) *peerpb.Upstream {
	upstream.TtlMs = ttl.Milliseconds()
	return upstream
}

// An instance whose word lapses before the workers that are well have turned to another
// one: their gangs would be stopped for nothing.
func TestWordStandsUntilUpstreamsHaveTurned(t *testing.T) {
	is := is.New(t)
	for _, every := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		s := upstreamSettings(3*time.Second, every, 10*time.Second)
		// One announcement finds the instance stale, the next is heard elsewhere.
		turned := s.Control.FreshnessBound + 2*every
		is.True(vouchLife(s)-peerPingEvery >= turned)
		s.Leased = &settings.Leased{AnnounceEvery: 2 * every}
		is.True(vouchLife(s)-peerPingEvery >= s.Control.FreshnessBound+4*every)
	}
}
