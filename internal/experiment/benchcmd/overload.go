package benchcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os"
	"runtime"
	"strings"
	"sync/atomic"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/experiment/overload"
)

func overloadCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("overload", flag.ContinueOnError)
	path := flags.String("deployment", "examples/overload/coedlinell-85.ini", "description of the deployment")
	first := flags.Uint64("first-seed", 11, "seed of the first day")
	last := flags.Uint64("last-seed", 60, "seed of the last day")
	without := flags.String("without", "", "mechanisms to disable in further variants: names separated by commas within a variant, variants by slashes")
	with := flags.String("with", "", "features to switch on in further variants, by their names in the settings, in the same form")
	jobs := flags.Int("jobs", max(runtime.NumCPU()/2, 1), "days at a time")
	return &ffcli.Command{
		Name: "overload", FlagSet: flags, ShortUsage: "pinewinch-bench overload [flags]",
		ShortHelp: "simulate days of overload with the real scheduling pass and compare variants",
		Exec: func(context.Context, []string) error {
			deployment, err := overload.Load(*path)
			if err != nil {
				return err
			}
			variants := []overload.Variant{{Name: "all"}}
			for _, names := range strings.FieldsFunc(*without, func(r rune) bool { return r == '/' }) {
				off, err := scheduling.ParseMechanisms(names)
				if err != nil {
					return err
				}
				variants = append(variants, overload.Variant{Name: "without " + names, Off: off})
			}
			for _, names := range strings.FieldsFunc(*with, func(r rune) bool { return r == '/' }) {
				on, err := scheduling.ParseFeatures(names)
				if err != nil {
					return err
				}
				variants = append(variants, overload.Variant{Name: "with " + names, On: on})
			}
			var completed atomic.Int64
			all := len(variants) * int(*last-*first+1)
			compared := overload.Compare(deployment, variants, *first, *last, *jobs, func() {
				_, _ = fmt.Fprintf(os.Stderr, "\r%d of %d days", completed.Add(1), all)
			})
			_, _ = fmt.Fprintln(os.Stderr)
			return compared.Write(out)
		},
	}
}
