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
	first := flags.Uint64("first-seed", 11, "the first day")
	last := flags.Uint64("last-seed", 60, "the last day")
	without := flags.String("without", "", "variants beside all mechanisms: names to switch off, separated by commas in a variant and by slashes between variants")
	jobs := flags.Int("jobs", max(runtime.NumCPU()/2, 1), "days at a time")
	return &ffcli.Command{
		Name: "overload", FlagSet: flags, ShortUsage: "pinewinch-bench overload [flags]",
		ShortHelp: "days with more work than room through the real pass, variants side by side",
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
			var ended atomic.Int64
			all := len(variants) * int(*last-*first+1)
			compared := overload.Compare(deployment, variants, *first, *last, *jobs, func() {
				_, _ = fmt.Fprintf(os.Stderr, "\r%d of %d days", ended.Add(1), all)
			})
			_, _ = fmt.Fprintln(os.Stderr)
			return compared.Write(out)
		},
	}
}
