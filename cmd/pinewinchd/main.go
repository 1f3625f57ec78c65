// Command pinewinchd runs one instance of pinewinch.
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"

	"pinewinch.example/pinewinch/internal/app"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

func main() {
	os.Exit(run(os.Args[1:]))
}

func run(args []string) int {
	flags := flag.NewFlagSet("pinewinchd", flag.ContinueOnError)
	config := flags.String("config", "", "settings file (INI)")
	check := flags.Bool("check", false, "check the settings and end")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PINEWINCH")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return report(failure.Wrap(failure.BadSettings, err, "command line"))
	}
	loaded, err := settings.Load(*config)
	if err != nil {
		return report(err)
	}
	if *check {
		return 0
	}
	instance := app.New(loaded)
	if err := instance.Err(); err != nil {
		return report(err)
	}
	instance.Run()
	return 0
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return failure.From(err).ExitCode()
}
