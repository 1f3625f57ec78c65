package benchcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/inforce"
	"pinewinch.example/pinewinch/internal/experiment/load"
)

func inforceCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("inforce", flag.ContinueOnError)
	servers := flags.String("servers", "http://127.0.0.1:7100", "all instances, separated by commas")
	token := flags.String("token", "", "operator's token")
	customer := flags.String("customer", "crews", "customer of changed entries")
	class := flags.String("class", "", "class of changed entries; should be one that no worker can run")
	changes := flags.Int("changes", 200, "how many")
	every := flags.Duration("every", 50*time.Millisecond, "least time between two changes")
	return &ffcli.Command{Name: "inforce", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		options := inforce.Options{Servers: strings.Split(*servers, ","), Changes: *changes, Every: *every}
		client := load.NewClient(*token)
		changer, err := load.NewChanger(ctx, client, options.Servers[0], *customer, *class)
		if err != nil {
			return err
		}
		report, err := inforce.Run(ctx, options, client, changer)
		if err != nil {
			return err
		}
		fmt.Fprintf(out, "%d changes, %d failed, %d instances\n", *changes, report.Failed, len(options.Servers))
		printTimes(out, "sent to accepted", report.Accepted)
		printTimes(out, "accepted to in force everywhere", report.Everywhere)
		return nil
	}}
}

func printTimes(out io.Writer, name string, h *hdrhistogram.Histogram) {
	ms := func(micros int64) float64 { return float64(micros) / 1000 }
	fmt.Fprintf(out, "%s: p50 %.1f ms, p99 %.1f ms, longest %.1f ms\n",
		name, ms(h.ValueAtQuantile(50)), ms(h.ValueAtQuantile(99)), ms(h.Max()))
}
