// Package standincmd implements the command line of pinewinch-standin.
package standincmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/standin"
	"pinewinch.example/pinewinch/internal/standin/loopback"
)

// Main runs one command of pinewinch-standin and returns the exit code.
func Main(args []string) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	root := &ffcli.Command{
		ShortUsage:  "pinewinch-standin worker|minion|addresses [flags]",
		Subcommands: []*ffcli.Command{workerCommand(), minionCommand(), addressesCommand()},
		Exec:        func(context.Context, []string) error { return flag.ErrHelp },
	}
	err := root.ParseAndRun(ctx, args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(os.Stderr, err)
	return failure.From(err).ExitCode()
}

type common struct {
	// spread makes upstreams begin at different instances.
	spread       bool
	announcement api.Announcement
	servers      string
	token        string
	recordPath   string
	count        int
	record       *standin.Record
}

func commonFlags(name string) (*flag.FlagSet, *common) {
	c := &common{}
	flags := flag.NewFlagSet(name, flag.ContinueOnError)
	flags.StringVar(&c.servers, "servers", "http://127.0.0.1:7100", "instances, separated by commas")
	flags.StringVar(&c.recordPath, "record", "", "file that receives a line for each completed task or started request")
	flags.StringVar(&c.token, "token", "", "token that upstreams authenticate with")
	flags.StringVar(&c.announcement.ID, "id", name, "prefix of the upstreams' ids, which end in -1, -2, ...")
	flags.StringVar(&c.announcement.DataCentre, "data-centre", "dc1", "data centre")
	flags.StringVar(&c.announcement.Rack, "rack", "rack1", "rack")
	flags.BoolVar(&c.spread, "spread", false, "begin at a different instance for each upstream")
	flags.IntVar(&c.count, "count", 1, "number of upstreams to run in this process")
	return flags, c
}

func (c *common) runEach(ctx context.Context, run func(ctx context.Context, announcement api.Announcement, listener net.Listener)) error {
	if err := c.openRecord(); err != nil {
		return err
	}
	for i := range c.count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return failure.Wrap(failure.BadSettings, err, "listen")
		}
		announcement := c.announcement
		announcement.ID = fmt.Sprintf("%s-%d", c.announcement.ID, i+1)
		announcement.Address = listener.Addr().String()
		announcement.Incarnation = time.Now().UnixNano()
		go run(ctx, announcement, listener)
	}
	<-ctx.Done()
	return nil
}

func (c *common) openRecord() error {
	if c.recordPath == "" {
		return nil
	}
	file, err := os.OpenFile(c.recordPath, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return failure.Wrap(failure.BadSettings, err, "record")
	}
	c.record = standin.NewRecord(file)
	return nil
}

// serverList returns the instances in the order in which the upstream tries them. With
// spread the first one is chosen by a hash of the upstream's id, to distribute the
// upstreams as a load balancer does.
func (c *common) serverList(id string) []string {
	servers := strings.Split(c.servers, ",")
	if !c.spread {
		return servers
	}
	first := int(xxhash.Sum64String(id) % uint64(len(servers)))
	return slices.Concat(servers[first:], servers[:first])
}

func workerCommand() *ffcli.Command {
	flags, c := commonFlags("worker")
	options := standin.WorkerOptions{}
	accelerators := flags.Uint("accelerators", 8, "accelerators of each worker")
	cores := flags.Uint("cores", 32, "cores of each worker")
	memory := flags.Uint64("memory-mb", 128<<10, "memory of each worker in MB")
	flags.Float64Var(&options.Tasks.Speed, "speed", 1, "divides declared run times")
	flags.BoolVar(&options.Tasks.FailAll, "fail-all", false, "fail every task")
	flags.BoolVar(&options.Tasks.IgnoreStop, "ignore-stop", false, "ignore stop commands; tasks run until their leases expire")
	flags.DurationVar(&options.Tasks.CheckpointEvery, "checkpoint-every", 0, "work between periodic checkpoints of a running task; 0 for none")
	flags.Uint64Var(&options.Tasks.TaskMemoryMB, "task-memory-mb", 0, "actual memory use of each task in MB; 0 for the declared memory")
	flags.BoolVar(&options.Tasks.KeepRuns, "keep-runs", false, "keep a record of every run, served at /runs")
	flags.Float64Var(&options.Tasks.Overrun, "overrun", 1, "factor by which tasks exceed their declared run times")
	return &ffcli.Command{Name: "worker", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		c.announcement.Accelerators = uint32(*accelerators)
		c.announcement.Cores = uint32(*cores)
		c.announcement.MemoryMB = *memory
		return c.runEach(ctx, func(ctx context.Context, announcement api.Announcement, listener net.Listener) {
			own := options
			own.Announcement = announcement
			own.Servers = c.serverList(announcement.ID)
			own.Token = c.token
			own.Record = c.record
			worker := standin.NewWorker(own)
			go func() { _ = http.Serve(listener, worker.Handler()) }()
			worker.Run(ctx)
		})
	}}
}

func minionCommand() *ffcli.Command {
	flags, c := commonFlags("minion")
	options := standin.MinionOptions{}
	slots := flags.Uint("slots", 8, "slots of each minion")
	services := flags.String("services", "", "services, separated by commas")
	flags.DurationVar(&options.Delay, "delay", 5*time.Millisecond, "service time of one request")
	flags.Uint64Var(&options.CutEvery, "cut-every", 0, "truncate each nth answer; 0 for none")
	return &ffcli.Command{Name: "minion", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		c.announcement.Slots = uint32(*slots)
		c.announcement.Services = strings.Split(*services, ",")
		return c.runEach(ctx, func(ctx context.Context, announcement api.Announcement, listener net.Listener) {
			own := options
			own.Announcement = announcement
			own.Servers = c.serverList(announcement.ID)
			own.Token = c.token
			own.Record = c.record
			minion := standin.NewMinion(own)
			go func() { _ = http.Serve(listener, minion.Handler()) }()
			minion.Run(ctx)
		})
	}}
}

// addressesCommand prints free addresses for a cluster, one per line.
func addressesCommand() *ffcli.Command {
	flags := flag.NewFlagSet("addresses", flag.ContinueOnError)
	count := flags.Int("count", 1, "number of addresses")
	return &ffcli.Command{Name: "addresses", FlagSet: flags, Exec: func(context.Context, []string) error {
		addresses, err := loopback.Reserve(*count)
		if err != nil {
			return err
		}
		for _, address := range addresses {
			fmt.Println(address)
		}
		return nil
	}}
}
