package replay

import (
	"fmt"
	"io"
	"time"

	"github.com/olekukonko/tablewriter"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Row is one row of the table: a result, that of first-fit on the same scenario and the
// lower bound.
type Row struct {
	*Result
	FirstFit *Result
	Bound    time.Duration
}

// Table prints the results.
func Table(out io.Writer, rows []Row) error {
	table := tablewriter.NewWriter(out)
	table.Header("scenario", "policy", "done", "mean", "vs ff", "vs bound", "p99", "p99 ≥16", "vs ff",
		"deadlines", "frag", "idle", "lost", "stops", "take-back", "broken", "breach", "pass")
	for _, r := range rows {
		err := table.Append(r.Scenario, r.Policy, fmt.Sprintf("%d+%d", r.Completed, r.Unfinished),
			hours(r.Mean), ratio(r.FirstFit.Mean, r.Mean), ratio(r.Mean, r.Bound), hours(r.P99),
			hours(r.LargeP99), ratio(r.FirstFit.LargeP99, r.LargeP99), percent(r.DeadlinesMet), percent(r.Fragmentation),
			percent(r.Idle), percent(r.Lost), r.Preemptions, r.LongestPreemptionWait.Round(time.Second), r.BrokenGuarantees, r.Breaches,
			r.MedianPass.Round(10*time.Microsecond))
		if err != nil {
			return failure.Wrap(failure.Internal, err, "table")
		}
	}
	if err := table.Render(); err != nil {
		return failure.Wrap(failure.Internal, err, "table")
	}
	return nil
}

func hours(d time.Duration) string { return fmt.Sprintf("%.2fh", d.Hours()) }

func percent(share float64) string { return fmt.Sprintf("%.1f%%", 100*share) }

func ratio(a, b time.Duration) string {
	if b == 0 {
		return "-"
	}
	return fmt.Sprintf("%.2f", float64(a)/float64(b))
}

// plotPoints is the number of points of a curve.
const plotPoints = 200

// Plot draws the distribution of completion times, one curve per policy, to a file whose
// extension gives the format.
func Plot(path string, rows []Row) error {
	p := plot.New()
	p.Title.Text = rows[0].Scenario + ": completion time"
	p.X.Label.Text = "hours from submission (log)"
	p.Y.Label.Text = "share of jobs completed"
	p.X.Scale, p.X.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
	var curves []any
	for _, r := range rows {
		var points plotter.XYs
		for i := 1; i < plotPoints; i++ {
			share := float64(i) / plotPoints
			points = append(points, plotter.XY{X: max(quantile(r.Completions, share), time.Second).Hours(), Y: share})
		}
		curves = append(curves, r.Policy, points)
	}
	if err := plotutil.AddLines(p, curves...); err != nil {
		return failure.Wrap(failure.Internal, err, "plot")
	}
	p.Legend.Left, p.Legend.Top = true, true
	if err := p.Save(14*vg.Centimeter, 9*vg.Centimeter, path); err != nil {
		return failure.Wrap(failure.Internal, err, "plot")
	}
	return nil
}
