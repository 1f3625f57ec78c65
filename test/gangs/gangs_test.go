// Package gangs runs gang jobs on instances and stand-in workers with injected faults,
// and checks the guarantees for gangs against the workers' records.
package gangs

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/experiment/gangs"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/test/process"
)

var (
	faultDuration = flag.Duration("over", 7*time.Second, "time during which faults are injected")
	seed          = flag.Uint64("seed", 1, "seed of jobs and failures")
	logs          = flag.String("logs", "", "folder for the instances' logs; empty for none")
	// The goal is 1.9 s, which a loaded machine cannot meet reliably: it is set by hand,
	// and CI checks a preemption without faults against the derived limit.
	quietLimit = flag.Duration("quiet", 0, "longest preemption while there are no faults; 0 for the derived limit")
)

func TestMain(m *testing.M) { os.Exit(process.Main(m)) }

// config holds the time limits that the instances are configured with; CommandTimeout is
// the default of the daemon.
var config = gang.Config{
	Lease:          time.Second,
	FreshnessBound: time.Second,
	AnnounceEvery:  200 * time.Millisecond,
	CommandTimeout: 2 * time.Second,
}

// quietWindow is the time after the submission of an urgent job during which no fault may
// be active for its preemption to count as one without faults.
const quietWindow = 1900 * time.Millisecond

// bounds returns the time limits of docs/design/dispatch.md. A member of a gang runs alone
// at most until the announcement of a dead worker has expired, plus one poll and
// StopWait. A preemption takes a scheduling pass (at most one second apart), StopWait,
// and a start of two commands.
func bounds() gangs.Bounds {
	preemption := time.Second + config.StopWait() + 2*config.CommandTimeout
	return gangs.Bounds{
		Alone:    4*config.AnnounceEvery + config.StopWait(),
		TakeBack: preemption,
		Quiet:    cmp.Or(*quietLimit, preemption),

		QuietWindow: quietWindow,
		Recovery:    2 * time.Second,
	}
}

// declarations size the long gangs to use half of every worker, so that urgent jobs start
// only by preemption, and the tasks of an order to run on several workers.
const declarations = `[customer crews]
[customer planners]
guarantee = 2x8 worker
[class one]
accelerators = 1
run_time = 1s
idempotent = yes
checkpointable = yes
[class four]
tasks = 4
accelerators = 1
run_time = 1s
idempotent = yes
checkpointable = yes
[class halves]
tasks = 2
accelerators = 4
adjacency = rack
run_time = 2s
idempotent = yes
[class sixteen]
tasks = 16
accelerators = 1
run_time = 2s
adjacency = data_centre
idempotent = yes
checkpointable = yes
[class long]
tasks = 4
accelerators = 2
cores = 60
run_time = 1h
idempotent = yes
checkpointable = yes
[class order]
tasks = 3
accelerators = 1
cores = 30
run_time = 1s
[class urgent]
tasks = 2
accelerators = 8
run_time = 1s
urgent = yes
idempotent = yes
`

var classes = map[string]gangs.Class{
	"one":     {Name: "one", Tasks: 1, Idempotent: true},
	"four":    {Name: "four", Tasks: 4, Idempotent: true},
	"halves":  {Name: "halves", Tasks: 2, Idempotent: true},
	"sixteen": {Name: "sixteen", Tasks: 16, Idempotent: true},
	"long":    {Name: "long", Tasks: 4, Idempotent: true},
	"order":   {Name: "order", Tasks: 3},
	"urgent":  {Name: "urgent", Tasks: 2, Idempotent: true},
}

const entryCount = 4

// entries declares entries whose work is due once for each change.
func entries(change int) string {
	var text strings.Builder
	for n := range entryCount {
		fmt.Fprintf(&text, "[entry span%d]\ncustomer = crews\nclass = order\nchange = v%d\n", n, change)
	}
	return text.String()
}

// Under faults of instances and workers, no accelerator may have two runs at a time, no
// member of a gang may run alone for longer than the limit, and every job must end.
func TestGangsUnderFailure(t *testing.T) {
	is := is.New(t)
	c := startCluster(t)
	hosts := startHosts(t, c.urls())
	client := &gangs.Client{Servers: c.urls()}
	c.apply(t, declarations)
	var occurrences []string
	changed := make(chan struct{})
	go func() {
		defer close(changed)
		for change := range 2 {
			c.apply(t, declarations+entries(change))
			for n := range entryCount {
				id := fmt.Sprintf("span%d@cv%d", n, change)
				occurrences = append(occurrences, id)
				_, _ = client.Job(t.Context(), process.OperatorToken, id)
			}
		}
	}()
	load := &gangs.Load{
		Client:   client,
		Borrower: gangs.Customer{Token: process.Tokens["crews"], Classes: []string{"one", "four", "halves", "sixteen", "order"}},
		Owner:    gangs.Customer{Token: process.Tokens["planners"], Classes: []string{"one", "four"}},
		Urgent:   "urgent",
		Long:     "long", Longs: 4,
		Every: 150 * time.Millisecond, Seed: *seed,
	}
	evidence := &gangs.Evidence{Bounds: bounds(), Classes: classes}
	loadCtx, stopLoad := context.WithCancel(t.Context())
	defer stopLoad()
	var loading sync.WaitGroup
	loading.Go(func() { load.Run(t.Context(), loadCtx) })
	awaitPreemption(t, load, hosts)
	faults := injectFaults(t, c, hosts, client)
	stopLoad()
	loading.Wait()
	<-changed
	evidence.Submitted = load.Submitted()
	evidence.Occurrences = occurrences
	evidence.Failures = faults.spans
	evidence.Jobs = awaitJobsEnded(t, client)
	for _, h := range hosts {
		evidence.Runs = append(evidence.Runs, h.runs()...)
	}
	report := gangs.Check(evidence)
	t.Logf("%v", faults.counts)
	t.Log(report)
	for _, violation := range report.Violations {
		t.Errorf("%s: %s", violation.Kind, violation.Detail)
	}
	is.True(report.QuietTakeBacks > 0)
	is.True(report.QuietStops > 0) // otherwise nothing was preempted for them
	is.True(report.Completed > report.Jobs/3)
}

// minQuietPreemptions is the number of urgent jobs that must start before faults are
// injected: with one, a system that preempts for only some urgent jobs would pass.
const minQuietPreemptions = 2

// awaitPreemption waits until urgent jobs have started without faults, one of them by
// preempting a gang that nothing else can have stopped, and then for quietWindow, in which
// no fault may occur. Before that, the gangs may not have started yet, or urgent jobs may
// have found free capacity; on a loaded machine this takes longer.
func awaitPreemption(t *testing.T, load *gangs.Load, hosts []*host) {
	var report *gangs.Report
	t.Cleanup(func() {
		if t.Failed() && report != nil {
			t.Logf("before faults were injected: %d stops without faults, %d certain preemptions; %s", report.QuietStops, report.SurelyTakenBack, report)
		}
	})
	process.Await(t, "a quiet take-back", func() bool {
		evidence := &gangs.Evidence{Bounds: bounds(), Classes: classes, Submitted: load.Submitted()}
		for _, h := range hosts {
			evidence.Runs = append(evidence.Runs, h.runs()...)
		}
		// The instance that lists the jobs may not yet know of a failure that stopped a run.
		time.Sleep(config.FreshnessBound)
		jobs, err := load.Client.Jobs(t.Context(), process.OperatorToken)
		if err != nil {
			return false
		}
		evidence.Jobs = jobs
		report = gangs.Check(evidence)
		return report.QuietTakeBacks >= minQuietPreemptions && report.SurelyTakenBack > 0
	})
	time.Sleep(quietWindow)
}

// injectFaults injects faults into instances and workers for faultDuration, and returns
// their log.
func injectFaults(t *testing.T, c *cluster, hosts []*host, client *gangs.Client) *faultLog {
	faults := &faultLog{counts: map[string]int{}}
	stop := make(chan struct{})
	var failing sync.WaitGroup
	for stream := range uint64(3) {
		d := &faultInjector{t: t, cluster: c, hosts: hosts, client: client, faults: faults}
		d.random = rand.New(rand.NewPCG(*seed, stream))
		failing.Go(func() {
			switch stream {
			case 0:
				d.run(stop, d.failInstance)
			case 1:
				d.run(stop, d.failWorker)
			case 2:
				d.isolatePair()
			}
		})
	}
	time.Sleep(*faultDuration)
	close(stop)
	failing.Wait()
	return faults
}

// awaitJobsEnded waits until every job has ended, at most settleTimeout, and returns all
// jobs.
func awaitJobsEnded(t *testing.T, client *gangs.Client) []api.Job {
	var jobs []api.Job
	for deadline := time.Now().Add(settleTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		listed, err := client.Jobs(t.Context(), process.OperatorToken)
		if err != nil {
			continue
		}
		jobs = listed
		open := 0
		for _, job := range jobs {
			if !job.Ended() {
				open++
			}
		}
		if open == 0 {
			break
		}
	}
	return jobs
}
