// Package conservation sends requests through instances that are killed, stopped and
// suspended, and checks that no request is lost or executed twice and that no answer is
// truncated or given to the wrong caller.
package conservation

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"strings"
	"testing"
	"time"

	"pinewinch.example/pinewinch/test/process"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/experiment/conservation"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin"
)

var (
	requests  = flag.Int("requests", 400, "requests to send")
	instances = flag.Int("instances", 3, "instances to run")
	minions   = flag.Int("minions", 6, "minions to run")
	callers   = flag.Int("callers", 24, "callers at once")
	seed      = flag.Uint64("seed", 1, "seed of callers and disturbances")
)

// voters is the maximum number of instances that keep the log on disk.
const voters = 3

func TestMain(m *testing.M) { os.Exit(process.Main(m)) }

// faultyMinion truncates, chunks, swaps and delays answers.
func faultyMinion() standin.MinionOptions {
	return standin.MinionOptions{
		Delay: 5 * time.Millisecond, CutEvery: 23, ChunkEvery: 2, SwapEvery: 41, StallEvery: 101, Stall: 4 * time.Second,
	}
}

// slowMinion has a service time of slowDelay.
func slowMinion() standin.MinionOptions { return standin.MinionOptions{Delay: slowDelay} }

func startMinion(t testing.TB, running []*process.Instance, options standin.MinionOptions) *standin.Minion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	options.Announcement = api.Announcement{
		ID: "minion-" + listener.Addr().String(), Address: listener.Addr().String(), DataCentre: "dc1", Incarnation: 1,
		Services: []string{"report", cutOrder, heldOrder}, Slots: 8, Connections: 60,
	}
	for _, i := range running {
		options.Servers = append(options.Servers, i.URL)
	}
	minion := standin.NewMinion(options)
	go func() { _ = http.Serve(listener, minion.Handler()) }()
	go minion.Run(t.Context())
	return minion
}

// Under kills, graceful stops and suspensions of instances, no request may run twice, or
// be reported as not run although a minion recorded it.
func TestConservation(t *testing.T) {
	is := is.New(t)
	running := startInstances(t, *instances, "notice = 200ms\ngrace = 5s\n")
	var started []*standin.Minion
	for range *minions {
		started = append(started, startMinion(t, running, faultyMinion()))
	}
	time.Sleep(time.Second) // until the minions have announced themselves
	load := &conservation.Load{
		Tokens: process.Tokens, Once: cutOrder, Repeatable: "report",
		Requests: *requests, Callers: *callers, Seed: *seed,
	}
	for _, i := range running {
		load.Servers = append(load.Servers, i.URL)
	}
	stop, disturbed := make(chan struct{}), make(chan string, 1)
	go func() {
		done := injectFaults(t, running, rand.New(rand.NewPCG(*seed, 0)), stop)
		disturbed <- fmt.Sprintf("%d kills, %d drains, %d freezes", done.kills, done.drains, done.freezes)
	}()
	began := time.Now()
	ledger := load.Run(t.Context())
	close(stop)
	t.Logf("%d instances, %d minions, %s in %s", *instances, *minions, <-disturbed, time.Since(began).Round(time.Second))
	runs := map[string]int{}
	for _, minion := range started {
		for id, count := range minion.Runs() {
			runs[id] += count
		}
	}
	report := ledger.Check(runs)
	t.Log(report)
	if report.Violations() > 0 {
		t.Fatal(strings.Join(report.Examples, "\n"))
	}
	is.True(report.Answered > report.Requests/10) // otherwise too few answers were checked
}
