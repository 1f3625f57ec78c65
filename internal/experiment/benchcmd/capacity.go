package benchcmd

import (
	"context"
	"flag"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/capacity"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func sampleCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("sample", flag.ContinueOnError)
	series := flags.String("series", "", "name of the quantity that varies between samples")
	size := flags.Float64("size", 0, "current value of that quantity")
	targets := flags.String("targets", "", "role=pid@address, separated by commas")
	token := flags.String("token", "", "operator's token")
	over := flags.Duration("over", 10*time.Second, "time between the two readings")
	return &ffcli.Command{Name: "sample", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		parsed, err := capacity.ParseTargets(*targets)
		if err != nil {
			return err
		}
		points, err := capacity.Sample(ctx, *series, *size, *token, parsed, *over)
		if err != nil {
			return err
		}
		return capacity.WritePoints(out, points)
	}}
}

// plottedMetrics are the metrics that are plotted for each series.
var plottedMetrics = []string{capacity.MetricCPU, capacity.MetricMemory, "peer_bytes_sent_per_s", "http_bytes_received_per_s"}

func fitCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("fit", flag.ContinueOnError)
	in := flags.String("in", "", "file of points written by the sample command")
	folder := flags.String("plots", "", "folder for the plots; none if empty")
	return &ffcli.Command{Name: "fit", FlagSet: flags, Exec: func(context.Context, []string) error {
		file, err := os.Open(*in)
		if err != nil {
			return failure.Wrap(failure.BadRequest, err, "open %s", *in)
		}
		defer file.Close()
		points, err := capacity.ReadPoints(file)
		if err != nil {
			return err
		}
		lines := capacity.Fit(points)
		if err := capacity.WriteTable(out, lines); err != nil {
			return err
		}
		if *folder == "" {
			return nil
		}
		return plotAll(*folder, lines)
	}}
}

func plotAll(folder string, lines []*capacity.Line) error {
	done := map[string]bool{}
	for _, line := range lines {
		if done[line.Series] {
			continue
		}
		done[line.Series] = true
		for _, metric := range plottedMetrics {
			path := filepath.Join(folder, line.Series+"-"+metric+".png")
			if err := capacity.Plot(path, line.Series, metric, lines); err != nil {
				return err
			}
		}
	}
	return nil
}
