package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

var config = quarantine.Config{CoolDown: 2 * time.Second, Probe: 30 * time.Second}

func health(consecutive uint32, jobs ...string) *controlpb.WorkerHealth {
	h := &controlpb.WorkerHealth{Worker: "w", Consecutive: consecutive}
	for _, job := range jobs {
		h.Failures = append(h.Failures, &controlpb.WorkerFailure{Job: job, TimeMs: 0})
	}
	return h
}

func stalledHealth() *controlpb.WorkerHealth {
	h := health(1, "a")
	h.Failures[0].Code = string(failure.Stalled)
	return h
}

func TestVerdicts(t *testing.T) {
	cases := []struct {
		name   string
		health *controlpb.WorkerHealth
		after  time.Duration
		want   quarantine.Verdict
	}{
		{"nothing failed", nil, 0, quarantine.Healthy},
		{"one failure, during the cool-down", health(1, "a"), time.Second, quarantine.CoolingDown},
		{"one failure, after the cool-down", health(1, "a"), 3 * time.Second, quarantine.Healthy},
		{"one job failed three times", health(3, "a", "a", "a"), 5 * time.Second, quarantine.CoolingDown},
		{"one job failed three times, after the cool-down", health(3, "a", "a", "a"), 9 * time.Second, quarantine.Healthy},
		{"three jobs failed", health(3, "a", "b", "c"), 29 * time.Second, quarantine.Quarantined},
		{"three jobs failed, probe is due", health(3, "a", "b", "c"), 31 * time.Second, quarantine.Probing},
		{"a probe failed too", health(4, "a", "b", "c", "d"), 59 * time.Second, quarantine.Quarantined},
		{"a probe failed too, next probe is due", health(4, "a", "b", "c", "d"), 61 * time.Second, quarantine.Probing},
		{"work stalled", stalledHealth(), 29 * time.Second, quarantine.Quarantined},
		{"work stalled, probe is due", stalledHealth(), 31 * time.Second, quarantine.Probing},
		{"a hundred probes failed", health(100, "a", "b", "c", "d"), 61 * time.Minute, quarantine.Probing},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(quarantine.Evaluate(config, c.health, time.UnixMilli(0).Add(c.after)), c.want)
		})
	}
}

// unansweredHealth has failures of different jobs at the given times in ms.
func unansweredHealth(times ...int64) *controlpb.WorkerHealth {
	h := &controlpb.WorkerHealth{Worker: "w", Consecutive: uint32(len(times))}
	for i, ms := range times {
		h.Failures = append(h.Failures, &controlpb.WorkerFailure{Job: string(rune('a' + i)), Code: string(failure.Unreachable), TimeMs: ms})
	}
	return h
}

// Guards against quarantine for a short pause in which a worker leaves the commands for all
// jobs of one pass unanswered.
func TestUnansweredCommandsOfOnePauseCountOnce(t *testing.T) {
	is := is.New(t)
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	pause := unansweredHealth(1000, 1010, 1020, 1030, 1300)
	is.Equal(quarantine.Evaluate(config, pause, at(2000)), quarantine.CoolingDown)
	is.Equal(quarantine.Evaluate(config, pause, at(4000)), quarantine.Healthy)
	is.Equal(pause.Consecutive, uint32(5)) // the record of the log is unchanged
	again := unansweredHealth(1000, 1010, 3000, 3010, 5000)
	is.Equal(quarantine.Evaluate(config, again, at(6000)), quarantine.Quarantined) // three pauses
}

// A worker that answers again after several unanswered starts must get work within three
// seconds; one at which anything else failed waits as long as before.
func TestUnansweredCommandsDelayWorkBriefly(t *testing.T) {
	is := is.New(t)
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	unlimited := config
	config := quarantine.Config{CoolDown: 2 * time.Second, Probe: 30 * time.Second, MaxUnanswered: 2 * time.Second}
	twice := unansweredHealth(0, 2000, 4000, 6000)
	for _, failed := range twice.Failures {
		failed.Job = "a"
	}
	is.Equal(quarantine.Evaluate(config, twice, at(7999)), quarantine.CoolingDown)
	is.Equal(quarantine.Evaluate(config, twice, at(8000)), quarantine.Healthy)
	is.Equal(quarantine.Evaluate(unlimited, twice, at(21_999)), quarantine.CoolingDown)
	often := unansweredHealth(0, 2000, 4000, 6000, 8000, 10_000, 12_000)
	often.Consecutive = 50
	is.Equal(quarantine.Evaluate(config, often, at(13_999)), quarantine.Quarantined)
	is.Equal(quarantine.Evaluate(config, often, at(14_000)), quarantine.Probing)
	is.Equal(quarantine.Evaluate(unlimited, often, at(71_999)), quarantine.Quarantined)
	often.Failures[0].Code = string(failure.TaskFailed)
	is.Equal(quarantine.Evaluate(config, often, at(71_999)), quarantine.Quarantined)
	is.Equal(quarantine.Evaluate(config, often, at(72_000)), quarantine.Probing)
}

// An answered start must not clear a worker of what it doesn't disprove: tasks that failed
// or stalled, and commands that were left unanswered later.
func TestAnsweredStartDisprovesOnlyUnansweredCommands(t *testing.T) {
	at := func(ms int64) time.Time { return time.UnixMilli(ms) }
	unanswered := unansweredHealth(1000, 3000, 5000).Failures
	mixed := append(unansweredHealth(1000, 3000).Failures, &controlpb.WorkerFailure{Job: "c", Code: string(failure.TaskFailed), TimeMs: 2000})
	cases := []struct {
		name     string
		failures []*controlpb.WorkerFailure
		answered time.Time
		want     quarantine.Verdict
	}{
		{"unanswered commands, and no start is answered yet", unanswered, time.Time{}, quarantine.Quarantined},
		{"what runs was started before the newest failure", unanswered, at(4000), quarantine.Quarantined},
		{"at the time of the newest failure", unanswered, at(5000), quarantine.Quarantined},
		{"a start is answered after the newest failure", unanswered, at(5001), quarantine.Healthy},
		{"a task failed", mixed, at(9000), quarantine.Quarantined},
		{"a task stalled", stalledHealth().Failures, at(9000), quarantine.Quarantined},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(quarantine.WhileProbed(c.failures, c.answered), c.want)
		})
	}
}

// A pass, which doesn't know of probes, places three jobs on a worker that is being probed.
// Only one may be started: if the worker is still faulty, the other two would fail too.
func TestOneJobProbesAWorker(t *testing.T) {
	is := is.New(t)
	on := func(job string, workers ...string) *controlpb.Assignment {
		a := &controlpb.Assignment{Job: job}
		for _, worker := range workers {
			a.Placements = append(a.Placements, &controlpb.Placement{Worker: worker})
		}
		return a
	}
	plan := []*controlpb.Assignment{on("a", "good", "bad"), on("b", "bad"), on("c", "good"), on("d", "bad", "good")}
	kept := quarantine.LimitProbes(plan, func(worker string) bool { return worker == "bad" })
	is.Equal(len(kept), 2)
	is.Equal(kept[0].Job, "a")
	is.Equal(kept[1].Job, "c")
}
