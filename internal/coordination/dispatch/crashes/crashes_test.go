package crashes_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/crashes"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// crash returns the crash of a worker at a time in ms, with runs written as "job run ran_ms", or
// "job run ran_ms task" where it is not task 0.
func crash(worker string, at int64, runs ...string) *controlpb.WorkerCrash {
	c := &controlpb.WorkerCrash{Worker: worker, Incarnation: 1, EarliestMs: at, LatestMs: at}
	for _, text := range runs {
		fields := strings.Fields(text)
		run := &controlpb.CrashedRun{Job: fields[0]}
		for _, digit := range fields[1] {
			run.Epoch = run.Epoch*10 + uint64(digit-'0')
		}
		for _, digit := range fields[2] {
			run.RanMs = run.RanMs*10 + int64(digit-'0')
		}
		if len(fields) > 3 {
			run.Task = uint32(fields[3][0] - '0')
		}
		c.Runs = append(c.Runs, run)
	}
	return c
}

// between makes the time of a crash uncertain, from the given time on.
func between(from int64, c *controlpb.WorkerCrash) *controlpb.WorkerCrash {
	c.EarliestMs = from
	return c
}

func TestVerdicts(t *testing.T) {
	tests := map[string]struct {
		crashes []*controlpb.WorkerCrash
		want    map[string]crashes.Verdict
	}{
		"a first crash suspects all that ran there": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60", "b 1 500")},
			map[string]crashes.Verdict{"a": crashes.Suspected, "b": crashes.Suspected, "c": crashes.Clear},
		},
		"a job that is singled out explains the crashes of its neighbours": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60", "b 1 500"), crash("w2", 4000, "a 2 60")},
			map[string]crashes.Verdict{"a": crashes.Isolated, "b": crashes.Clear},
		},
		"three crashes, two of them alone and alike": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60", "b 1 500"), crash("w2", 4000, "a 2 60"), crash("w3", 8000, "a 3 61")},
			map[string]crashes.Verdict{"a": crashes.AtFault, "b": crashes.Clear},
		},
		"two crashes are too few": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60"), crash("w2", 4000, "a 2 60")},
			map[string]crashes.Verdict{"a": crashes.Isolated},
		},
		"workers that crash by themselves end runs of any length": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 900"), crash("w2", 9000, "a 2 7000"), crash("w3", 30000, "a 3 20000")},
			map[string]crashes.Verdict{"a": crashes.Isolated},
		},
		"five crashes of runs of any length, three of them alone": {
			[]*controlpb.WorkerCrash{
				crash("w1", 1000, "a 1 900"), crash("w2", 9000, "a 2 7000"), crash("w3", 30000, "a 3 20000"),
				crash("w4", 40000, "a 4 100"), crash("w5", 90000, "a 5 50000"),
			},
			map[string]crashes.Verdict{"a": crashes.AtFault},
		},
		"simultaneous crashes suspect nobody": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60"), crash("w2", 1200, "b 1 500")},
			map[string]crashes.Verdict{"a": crashes.Clear, "b": crashes.Clear},
		},
		"losses of power again and again": {
			[]*controlpb.WorkerCrash{
				crash("w1", 1000, "a 1 3000"), crash("w2", 1100, "b 1 3000"),
				crash("w1", 5000, "a 2 3000"), crash("w2", 5100, "b 2 3000"),
				crash("w1", 9000, "a 3 3000"), crash("w2", 9100, "b 3 3000"),
				crash("w1", 13000, "a 4 3000"), crash("w2", 13100, "b 4 3000"),
				crash("w1", 17000, "a 5 3000"), crash("w2", 17100, "b 5 3000"),
			},
			map[string]crashes.Verdict{"a": crashes.Isolated, "b": crashes.Isolated},
		},
		"crashes that are always simultaneous and come at once": {
			[]*controlpb.WorkerCrash{
				crash("w1", 1000, "a 1 60"), crash("w2", 1100, "b 1 60"), crash("w1", 5000, "a 2 60"), crash("w2", 5100, "b 2 60"),
				crash("w1", 9000, "a 3 60"), crash("w2", 9100, "b 3 60"), crash("w1", 13000, "a 4 60"), crash("w2", 13100, "b 4 60"),
				crash("w1", 17000, "a 5 60"), crash("w2", 17100, "b 5 60"),
			},
			map[string]crashes.Verdict{"a": crashes.AtFault, "b": crashes.AtFault},
		},
		"a crash of uncertain time may have been simultaneous": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60"), between(500, crash("w2", 6000, "b 1 500"))},
			map[string]crashes.Verdict{"a": crashes.Clear, "b": crashes.Clear},
		},
		"the members of one gang crash their workers together": {
			[]*controlpb.WorkerCrash{
				crash("w1", 1000, "g 1 60"), crash("w2", 1000, "g 1 60"), crash("w3", 5000, "g 2 60"), crash("w4", 5000, "g 2 60"),
				crash("w5", 9000, "g 3 60"), crash("w6", 9000, "g 3 60"),
			},
			map[string]crashes.Verdict{"g": crashes.AtFault},
		},
		"a gang under which three workers crash, each time another member's": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "g 1 3000 0"), crash("w2", 9000, "g 2 3000 1"), crash("w3", 17000, "g 3 3000 2")},
			map[string]crashes.Verdict{"g": crashes.Isolated},
		},
		"a gang under which five workers crash, each time another member's": {
			[]*controlpb.WorkerCrash{
				crash("w1", 1000, "g 1 60 0"), crash("w2", 9000, "g 2 60 1"), crash("w3", 17000, "g 3 60 2"),
				crash("w4", 25000, "g 4 60 3"), crash("w5", 33000, "g 5 60 4"),
			},
			map[string]crashes.Verdict{"g": crashes.Isolated},
		},
		"a gang one member of which crashes its workers": {
			[]*controlpb.WorkerCrash{crash("w1", 1000, "g 1 3000 0"), crash("w2", 9000, "g 2 3000 1"), crash("w3", 17000, "g 3 3000 1")},
			map[string]crashes.Verdict{"g": crashes.AtFault},
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			assessed := crashes.Assess(test.crashes)
			for job, want := range test.want {
				is.Equal(assessed.Verdict(job).String(), want.String()) // verdict on job
			}
		})
	}
}

// Two workers are silent after a job has crashed two others. Before it has news of them the
// job must not be started again, but not wait for ever.
func TestJobWaitsForNewsOfSilentWorkers(t *testing.T) {
	is := is.New(t)
	assessed := crashes.Assess([]*controlpb.WorkerCrash{crash("w1", 1000, "a 1 60"), crash("w2", 4000, "a 2 60")})
	lost := []*controlpb.LostRun{{Worker: "w3", Job: "a", Epoch: 3, LostMs: 9000}, {Worker: "w4", Job: "a", Epoch: 4, LostMs: 14000}}
	is.True(assessed.Waits("a", lost, time.UnixMilli(15000)))
	is.True(!assessed.Waits("a", lost[:1], time.UnixMilli(15000)))
	is.True(!assessed.Waits("b", lost, time.UnixMilli(15000)))
	is.True(!assessed.Waits("a", lost, time.UnixMilli(60000)))
}

func TestDescribeNamesWorkersAndTimes(t *testing.T) {
	is := is.New(t)
	assessed := crashes.Assess([]*controlpb.WorkerCrash{crash("w1", 61_000, "f.0.0.1 1 60", "b 1 500"), crash("w2", 64_000, "f.0.0.1 2 58")})
	want := []string{"w1 crashed by 00:01:01.000, run 1, after 60 ms, with 1 other jobs", "w2 crashed by 00:01:04.000, run 2, after 58 ms, alone"}
	is.Equal(assessed.Describe("f.0.0.1"), want)
	is.Equal(assessed.DescribeWorkflow("f"), []string{"f.0.0.1: " + want[0], "f.0.0.1: " + want[1]})
}
