// Package benchcmd is the command line of the experiments: one file a
// subcommand, each added to subcommands.
package benchcmd

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// subcommands makes each experiment's command; it prints to out.
var subcommands = []func(out io.Writer) *ffcli.Command{
	sampleCommand,
	fitCommand,
	loadCommand,
	replayCommand,
	overloadCommand,
	slotsCommand,
	detectorCommand,
	inforceCommand,
	compareCommand,
}

// Run runs one experiment and gives the exit code.
func Run(args []string, out, errs io.Writer) int {
	root := &ffcli.Command{
		ShortUsage: "pinewinch-bench <experiment> [flags]",
		Exec:       func(context.Context, []string) error { return flag.ErrHelp },
	}
	for _, make := range subcommands {
		root.Subcommands = append(root.Subcommands, make(out))
	}
	err := root.ParseAndRun(context.Background(), args)
	if err == nil || errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(errs, err)
	return failure.From(err).ExitCode()
}
