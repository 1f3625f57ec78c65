package benchcmd

import (
	"context"
	"flag"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/slots"
)

func slotsCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("slots", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of arrivals and service times")
	requests := flags.Int("requests", 200_000, "number of requests of each run")
	return &ffcli.Command{
		Name:      "slots",
		ShortHelp: "compare policies that share minions' slots among entry instances",
		FlagSet:   flags,
		Exec: func(context.Context, []string) error {
			slots.Report(out, *seed, *requests)
			return nil
		},
	}
}
