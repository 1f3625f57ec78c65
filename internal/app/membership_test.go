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

// upstreamSettings returns the settings that determine how long upstreams stay valid.
func upstreamSettings(freshness, every, lease time.Duration) *settings.Settings {
	return &settings.Settings{
		Control:   settings.Control{FreshnessBound: freshness},
		Upstreams: settings.Upstreams{AnnounceEvery: every, Lease: lease},
	}
}

// workerAnnouncement is a worker with one running task, as an instance publishes it.
func workerAnnouncement(worker string, version uint64, task uint32) *peerpb.Upstream {
	report := &peerpb.TaskReport{Job: "j", Task: task, Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING}
	return &peerpb.Upstream{Id: worker, Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Incarnation: 1, Version: version, Tasks: []*peerpb.TaskReport{report}}
}

// Guards against a task of a gang that continues alone: an instance is partitioned
// together with the worker of another task, and what it published about that worker
// stays valid too long.
func TestGangEndsWithTheWordOfItsWorkersInstance(t *testing.T) {
	for name, s := range map[string]*settings.Settings{
		"short leases": upstreamSettings(time.Second, 200*time.Millisecond, time.Second),
		"defaults":     upstreamSettings(3*time.Second, time.Second, 10*time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { testGangStopsAfterPartition(t, s) })
		})
	}
}

func testGangStopsAfterPartition(t *testing.T, s *settings.Settings) {
	is := is.New(t)
	config := gang.Config{Lease: s.Upstreams.Lease, FreshnessBound: s.Control.FreshnessBound, AnnounceEvery: s.Upstreams.AnnounceEvery, CommandTimeout: commandTimeout}
	registry := newRegistry(s, nil)
	is.NoErr(registry.Receive("cut off", &peerpb.SoftBatch{
		Incarnation: 1, Reset_: true, Complete: true, To: 1, Upstreams: []*peerpb.Upstream{workerAnnouncement("lost", 1, 0)},
	}, time.Now()))
	machine := gang.New(config)
	job := &controlpb.Job{
		Id: "j", Tasks: 2, Epoch: 1, StartedMs: 1, Idempotent: true, State: controlpb.JobState_JOB_STATE_RUNNING,
		Placements: []*controlpb.Placement{{Worker: "lost", Incarnation: 1}, {Task: 1, Worker: "well", Incarnation: 1}},
	}
	partitioned := time.Now()
	// The lost task runs on until the lease it held at the partition expires.
	limit := s.Upstreams.Lease + 4*s.Upstreams.AnnounceEvery + config.StopWait()
	for version := uint64(1); time.Since(partitioned) <= limit; version++ {
		is.NoErr(registry.Merge(withTTL(workerAnnouncement("well", version, 1), 3*s.Upstreams.AnnounceEvery)))
		workers := registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER)
		if out := machine.Step(&gang.Input{Now: time.Now(), Jobs: []*controlpb.Job{job}, Workers: workers}); out.Batch != nil {
			is.Equal(out.Batch.Moves[0].Failure.Worker, "lost")
			return
		}
		time.Sleep(s.Upstreams.AnnounceEvery / 2)
	}
	t.Fatalf("the gang was not stopped within %s of the partition", limit)
}

func withTTL(upstream *peerpb.Upstream, ttl time.Duration) *peerpb.Upstream {
	upstream.TtlMs = ttl.Milliseconds()
	return upstream
}

// Guards against stopping gangs needlessly: what a partitioned instance published must
// not expire before its healthy workers have announced themselves to another.
func TestOriginTTLOutlastsRedirectionOfUpstreams(t *testing.T) {
	is := is.New(t)
	for _, every := range []time.Duration{200 * time.Millisecond, time.Second, 5 * time.Second} {
		s := upstreamSettings(3*time.Second, every, 10*time.Second)
		// One announcement finds the instance stale, the next reaches another instance.
		redirected := s.Control.FreshnessBound + 2*every
		is.True(originTTL(s)-peerPingInterval >= redirected)
		s.LeaderLeases = &settings.LeaderLeases{AnnounceEvery: 2 * every}
		is.True(originTTL(s)-peerPingInterval >= s.Control.FreshnessBound+4*every)
	}
}
