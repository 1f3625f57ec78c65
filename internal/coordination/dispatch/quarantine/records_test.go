package quarantine

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A worker that fails most of what it starts must not look healthy after each success. With
// further successes, or after the retention, it does.
func TestRecordOutlastsASuccess(t *testing.T) {
	is, now := is.New(t), time.UnixMilli(1_800_000_000_000)
	config := Config{CoolDown: time.Second, Probe: 10 * time.Second}
	var records Records
	records.Begin(now, []*controlpb.Job{{Id: "before", MaxAttempts: 2, Failures: []*controlpb.TaskFailure{
		{Worker: "w", Code: string(failure.TaskFailed), TimeMs: now.UnixMilli()},
		{Worker: "w", Code: string(failure.WorkerVanished), TimeMs: now.UnixMilli()},
	}}})
	health := &controlpb.WorkerHealth{Worker: "w"}
	fail := func(jobs int) {
		for range jobs {
			now = now.Add(3 * time.Second)
			health.Consecutive++
			health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: fmt.Sprint("j", now.UnixMilli()), TimeMs: now.UnixMilli()})
		}
	}
	verdict := func(health *controlpb.WorkerHealth) Verdict {
		verdict, bad := records.Verdict(config, "w", health, now)
		is.True(bad)
		return verdict
	}
	is.Equal(verdict(nil), Healthy)
	fail(5)
	is.Equal(verdict(health), Quarantined)
	is.Equal(verdict(nil), Probing)
	is.Equal(verdict(nil), Probing) // one success counts once
	health = &controlpb.WorkerHealth{Worker: "w"}
	fail(1)
	is.Equal(verdict(health), Quarantined)
	for _, want := range []Verdict{Healthy, Healthy} {
		is.Equal(verdict(nil), want)
	}
	now = now.Add(recordRetention + time.Second)
	got, bad := records.Verdict(config, "w", nil, now)
	is.Equal(got, Healthy)
	is.True(!bad)
}

// Each success must halve the record, also while the log has no failures: a worker would
// get one job at a time until the retention ends, beside waiting work.
func TestEverySuccessHalvesTheRecord(t *testing.T) {
	is, now := is.New(t), time.UnixMilli(1_800_000_000_000)
	var records Records
	records.Begin(now, nil)
	health := &controlpb.WorkerHealth{Worker: "w", Consecutive: 8}
	for n := range 8 {
		now = now.Add(3 * time.Second)
		health.Failures = append(health.Failures, &controlpb.WorkerFailure{Job: fmt.Sprint(n), TimeMs: now.UnixMilli()})
	}
	for successes, want := range []struct {
		verdict  Verdict
		failures int
	}{{Quarantined, 8}, {Probing, 4}, {Healthy, 2}, {Healthy, 1}, {Healthy, 0}} {
		if successes > 0 {
			records.Succeeded("w")
			health = nil
		}
		verdict, _ := records.Verdict(Config{CoolDown: time.Second, Probe: 10 * time.Second}, "w", health, now)
		is.Equal(verdict, want.verdict)
		is.Equal(records.Failures("w"), want.failures)
	}
}

// After a change of leader, failures that the log doesn't count must not make a record, and
// those before the term must not make a worker look at fault that has succeeded since.
func TestRecordsBeginAsTheLogCounts(t *testing.T) {
	now := time.UnixMilli(1_800_000_000_000)
	for _, test := range []struct {
		name  string
		code  failure.Code
		state controlpb.JobState
		bad   bool
	}{
		{"failures of tasks", failure.TaskFailed, controlpb.JobState_JOB_STATE_WAITING, true},
		{"memory exceeded", failure.MemoryExceeded, controlpb.JobState_JOB_STATE_WAITING, false},
		{"parked jobs", failure.TaskFailed, controlpb.JobState_JOB_STATE_PARKED, false},
	} {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			var jobs []*controlpb.Job
			for n := range 3 {
				jobs = append(jobs, &controlpb.Job{Id: fmt.Sprint(n), MaxAttempts: 2, State: test.state, Failures: []*controlpb.TaskFailure{
					{Worker: "w", Code: string(test.code), TimeMs: now.UnixMilli() - 1000},
				}})
			}
			var records Records
			records.Begin(now, jobs)
			verdict, bad := records.Verdict(Config{CoolDown: time.Second, Probe: 10 * time.Second}, "w", nil, now)
			is.Equal(verdict, Healthy)
			is.Equal(bad, test.bad)
		})
	}
}

// Records of workers that never return must not be kept for the whole term.
func TestRecordsOfDepartedWorkersAreRemoved(t *testing.T) {
	is, now := is.New(t), time.UnixMilli(1_800_000_000_000)
	var records Records
	records.Begin(now, nil)
	for n := range 1000 {
		health := &controlpb.WorkerHealth{Consecutive: 1, Failures: []*controlpb.WorkerFailure{{Job: "j", TimeMs: now.UnixMilli()}}}
		records.Verdict(Config{}, fmt.Sprint(n), health, now)
	}
	live := func(worker string) bool { return worker == "7" }
	records.RemoveDeparted(live, now.Add(recordRetention))
	is.Equal(records.Count(), 1000)
	records.RemoveDeparted(live, now.Add(recordRetention+time.Second))
	is.Equal(records.Count(), 1)
}
