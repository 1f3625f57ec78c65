package benchcmd

import (
	"context"
	"flag"
	"io"
	"path/filepath"
	"strings"
	"sync"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/replay"
)

func replayCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("replay", flag.ContinueOnError)
	seed := flags.Uint64("seed", 1, "seed of the workloads")
	only := flags.String("only", "", "run one deployment only: coedlinell, tokachi or planned")
	load := flags.Float64("load", 0, "offered load as a share of the accelerators; 0 for the default of the deployment")
	weight := flags.Uint("fragmentation-weight", 50, "fragmentation weight of the scheduling rules, 0 to 100")
	policies := flags.String("policies", "first-fit,backfill,pinewinch", "policies to compare, separated by commas")
	plots := flags.String("plots", "", "folder for the plots, one per deployment; none if empty")
	return &ffcli.Command{Name: "replay", FlagSet: flags, Exec: func(context.Context, []string) error {
		var all []replay.Row
		for _, deployment := range replay.Deployments() {
			if *only != "" && deployment.Name != *only {
				continue
			}
			if *load > 0 {
				deployment.Load = *load
			}
			scenario := deployment.Make(*seed)
			scenario.FragmentationWeight = uint32(*weight)
			rows := replayPolicies(scenario, strings.Split(*policies, ","))
			if *plots != "" {
				if err := replay.Plot(filepath.Join(*plots, "replay-"+deployment.Name+".svg"), rows); err != nil {
					return err
				}
			}
			all = append(all, rows...)
		}
		return replay.Table(out, all)
	}}
}

// replayPolicies replays a scenario under each named policy, concurrently.
func replayPolicies(scenario *replay.Scenario, names []string) []replay.Row {
	var chosen []replay.Policy
	for _, policy := range replay.Policies() {
		for _, name := range names {
			if policy.Name == name {
				chosen = append(chosen, policy)
			}
		}
	}
	rows := make([]replay.Row, len(chosen))
	var group sync.WaitGroup
	for i, policy := range chosen {
		group.Go(func() { rows[i].Result = replay.Replay(scenario, policy) })
	}
	group.Wait()
	bound := replay.Bound(scenario)
	for i := range rows {
		rows[i].FirstFit, rows[i].Bound = rows[0].Result, bound
	}
	return rows
}
