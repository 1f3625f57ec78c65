package app

import (
	"errors"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"runtime"

	"github.com/peterbourgon/ff/v3"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
	"pinewinch.example/pinewinch/platform"
)

// Main runs the daemon with its command-line arguments and returns the exit code.
func Main(args []string) int {
	flags := flag.NewFlagSet("pinewinchd", flag.ContinueOnError)
	config := flags.String("config", "", "settings file (INI)")
	onPlatform := flags.Bool("platform", false, "take the settings that the platform gives")
	metricsPort := flags.Uint("metrics-port", 0, "on the platform: port that serves counters and histograms; 0 for none")
	check := flags.Bool("check", false, "check the settings and end")
	level := flags.String("log-level", "", "overrides [log] level")
	format := flags.String("log-format", "", "overrides [log] format: text or json")
	if err := ff.Parse(flags, args, ff.WithEnvVarPrefix("PINEWINCH")); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return 0
		}
		return report(failure.Wrap(failure.BadSettings, err, "command line"))
	}
	loaded, err := load(*config, *onPlatform)
	if err != nil {
		return report(err)
	}
	if loaded.LeaderLeases != nil && *metricsPort > 0 {
		loaded.LeaderLeases.Metrics = netip.AddrPortFrom(loaded.Instance.ListenHTTP.Addr(), uint16(*metricsPort))
	}
	override(&loaded.Log.Level, *level)
	override(&loaded.Log.Format, *format)
	if *check {
		return 0
	}
	return Run(loaded)
}

// Run runs an instance until it stops and returns the exit code. Options replace
// components, so that tests can inject faults.
func Run(s *settings.Settings, options ...fx.Option) int {
	if s.Instance.DataFolder != "" {
		runtime.GOMAXPROCS(max(minReplicaThreads, runtime.GOMAXPROCS(0)))
	}
	instance := New(s, options...)
	if err := instance.Err(); err != nil {
		return report(err)
	}
	instance.Run()
	return 0
}

func load(config string, onPlatform bool) (*settings.Settings, error) {
	switch {
	case onPlatform:
		return platform.LoadSettings()
	case config == "":
		return nil, failure.New(failure.BadSettings, "give a settings file: -config FILE")
	}
	return settings.Load(config)
}

// minReplicaThreads is the minimum GOMAXPROCS of a process that syncs a log. With 1, on
// a machine of one core, each sync delays every request until the runtime notices that
// the thread is blocked, up to 10 ms later: an instance served 335 claimed requests per
// second with 1 and 3,620 with 2 (docs/MEASUREMENTS.md). A second thread uses no more of
// the core.
const minReplicaThreads = 2

func override(value *string, flag string) {
	if flag != "" {
		*value = flag
	}
}

func report(err error) int {
	fmt.Fprintln(os.Stderr, err)
	return failure.From(err).ExitCode()
}
