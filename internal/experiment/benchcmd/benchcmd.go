// Package benchcmd is the command line of the experiments. Each file holds subcommands, which
// are listed in subcommands.
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

// subcommands holds the constructors of the experiments' commands, which print to out.
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

// Run runs the experiment that args name and returns the exit code. It prints results to
// out and errors to stderr.
func Run(args []string, out, stderr io.Writer) int {
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
	fmt.Fprintln(stderr, err)
	return failure.From(err).ExitCode()
}
