package benchcmd

import (
	"context"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/olekukonko/tablewriter"
	"github.com/peterbourgon/ff/v3/ffcli"

	learned "pinewinch.example/pinewinch/internal/coordination/membership/detector"
	"pinewinch.example/pinewinch/internal/experiment/detector"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// warmupShare is the part of a trace that only trains the policy.
const warmupShare = 1.0 / 3

// candidate is a policy to compare; make creates a new instance for each trace.
type candidate struct {
	name string
	make func() detector.Policy
}

func candidates() []candidate {
	var all []candidate
	for _, delay := range []time.Duration{30 * time.Second, 2 * time.Minute, 10 * time.Minute, time.Hour} {
		all = append(all, candidate{"fixed " + delay.String(), func() detector.Policy { return detector.Fixed(delay) }})
	}
	for _, maxDelay := range []time.Duration{2 * time.Minute, 10 * time.Minute, 2 * time.Hour} {
		config := detector.LearnedConfig
		config.MaxDelay, config.Rule = maxDelay, learned.Quantile
		all = append(all, candidate{"quantile, at most " + maxDelay.String(), func() detector.Policy { return learned.New(config) }})
	}
	for _, cost := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour} {
		config := detector.LearnedConfig
		config.RepairCost = cost
		all = append(all, candidate{"cost, a repair is worth " + cost.String(), func() detector.Policy { return learned.New(config) }})
	}
	return all
}

func detectorCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("detector", flag.ContinueOnError)
	seeds := flags.Uint64("seeds", 20, "number of traces")
	kinds := flags.Int("kinds", detector.Kinds(), "number of kinds of peers, in order of rising length of their silences")
	peers := flags.Int("peers", 3, "of each kind")
	days := flags.Int("days", 90, "days of a generated trace")
	recorded := flags.String("recorded", "", "file of recorded silences, one peer and duration per line")
	return &ffcli.Command{Name: "detector", FlagSet: flags, Exec: func(context.Context, []string) error {
		var traces [][]detector.Silence
		for seed := range *seeds {
			r := rand.New(rand.NewPCG(seed, seed))
			if *recorded == "" {
				traces = append(traces, detector.Generate(r, *kinds, *peers, *days))
				continue
			}
			silences, err := readSilences(*recorded)
			if err != nil {
				return err
			}
			traces = append(traces, detector.Interleave(r, silences))
		}
		return compareDelays(out, traces)
	}}
}

func readSilences(path string) ([]detector.Silence, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "recorded silences")
	}
	defer file.Close()
	return detector.Read(file)
}

// compareDelays prints a table with sums of counts and means of delays over the traces that
// have losses. The last two columns give the result: the fixed delay with as few needless
// repairs on the same trace, and in how many traces the candidate repairs real losses sooner
// than that.
func compareDelays(out io.Writer, traces [][]detector.Silence) error {
	table := tablewriter.NewWriter(out)
	table.Header([]string{"delay", "ended", "losses", "needless repairs", "mean delay", "median delay", "fixed for as few", "sooner in"})
	for _, c := range candidates() {
		var sum detector.Outcome
		var equivalent time.Duration
		sooner, count := 0, 0
		for _, trace := range traces {
			o := detector.Replay(c.make(), trace, warmupShare)
			if o.Losses == 0 {
				continue
			}
			count++
			fixed := detector.Equivalent(trace, warmupShare, o.Needless)
			if o.MeanDelay < fixed {
				sooner++
			}
			sum.Add(o)
			equivalent += fixed
		}
		tracesCounted := time.Duration(max(count, 1))
		err := table.Append([]string{
			c.name, fmt.Sprint(sum.Silences - sum.Losses), fmt.Sprint(sum.Losses), fmt.Sprint(sum.Needless),
			(sum.MeanDelay / tracesCounted).Round(time.Second).String(), (sum.MedianDelay / tracesCounted).Round(time.Second).String(),
			(equivalent / tracesCounted).Round(time.Second).String(), fmt.Sprintf("%d of %d", sooner, count),
		})
		if err != nil {
			return err
		}
	}
	return table.Render()
}
