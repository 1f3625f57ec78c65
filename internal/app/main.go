package app

import (
	"errors"
	"flag"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// Main runs the daemon with its command line and gives the exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("pinewinchd", flag.ContinueOnError)
	config := flags.String("config", "", "settings file (INI)")
	check := flags.Bool("check", false, "check the settings and end")
	level := flags.String("log-level", "", "goes before [log] level")
	format := flags.String("log-format", "", "goes before [log] format: text or json")
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
	override(&loaded.Log.Level, *level)
	override(&loaded.Log.Format, *format)
	if *check {
		return 0
	}
	instance := New(loaded)
	if err := instance.Err(); err != nil {
		return report(err)
	}
	instance.Run()
	return 0
}

func override(value *string, flag string) {
	if flag != "" {
		*value = flag
	}
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return failure.From(err).ExitCode()
}
