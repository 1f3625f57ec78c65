package overload

import (
	"fmt"
	"io"
	"sync"

	"github.com/olekukonko/tablewriter"
	"gonum.org/v1/gonum/stat"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Variant is a named choice of the pass's parts: the mechanisms that are disabled, and the
// features that are switched on.
type Variant struct {
	Name string
	Off  scheduling.Mechanisms
	On   scheduling.Features
}

// features returns the features with the costs that the deployment declares.
func (v Variant) features(d *Deployment) scheduling.Features {
	on := v.On
	if on != (scheduling.Features{}) {
		on.CheckpointInterval, on.RestoreTime, on.StopTime = d.CheckpointEvery, d.RestoreTime, d.StopTime
	}
	return on
}

// Comparison holds the results of each variant: Results is indexed by variant, then by seed.
type Comparison struct {
	Variants []Variant
	Results  [][]*Result
}

// Compare replays the seeds from to to, both included, under every variant, with at most
// parallel days at a time. It calls progress after each day, from several goroutines.
func Compare(d *Deployment, variants []Variant, from, to uint64, parallel int, progress func()) *Comparison {
	c := &Comparison{Variants: variants, Results: make([][]*Result, len(variants))}
	limit := make(chan struct{}, max(parallel, 1))
	var group sync.WaitGroup
	for v := range variants {
		c.Results[v] = make([]*Result, to-from+1)
		for i := range c.Results[v] {
			limit <- struct{}{}
			group.Go(func() {
				defer func() { <-limit }()
				c.Results[v][i] = Replay(d.Day(from+uint64(i)), variants[v])
				progress()
			})
		}
	}
	group.Wait()
	return c
}

// Write prints one row per variant, with its difference from the first variant, and a
// second table with the shares of each queue.
func (c *Comparison) Write(out io.Writer) error {
	days := tablewriter.NewWriter(out)
	days.Header("variant", "score", "difference", "std error", "whole", "windows", "worst queue", "lost", "stopped", "within 1 s", "passes", "breaches")
	queues := tablewriter.NewWriter(out)
	queues.Header("variant", "queue", "owed", "in aim", "late", "not served", "largest in aim", "earned")
	for v, variant := range c.Variants {
		if err := days.Append(c.row(v)...); err != nil {
			return failure.Wrap(failure.Internal, err, "table")
		}
		for _, q := range sumQueues(c.Results[v]) {
			err := queues.Append(variant.Name, q.Name, q.Total, share(q.OnTime, q.Total), share(q.Late, q.Total),
				share(q.Total-q.OnTime-q.Late, q.Total), share(q.LargeOnTime, q.LargeTotal), threeDecimals(q.Earned/q.Value))
			if err != nil {
				return failure.Wrap(failure.Internal, err, "table")
			}
		}
	}
	for _, table := range []*tablewriter.Table{days, queues} {
		if err := table.Render(); err != nil {
			return failure.Wrap(failure.Internal, err, "table")
		}
	}
	return nil
}

// row returns the table row of a variant, averaged over its days.
func (c *Comparison) row(v int) []any {
	results := c.Results[v]
	mean := func(figure func(i int, r *Result) float64) (mean, stdError float64) {
		figures := make([]float64, len(results))
		for i, r := range results {
			figures[i] = figure(i, r)
		}
		mean, deviation := stat.MeanStdDev(figures, nil)
		return mean, stat.StdErr(deviation, float64(len(figures)))
	}
	score, _ := mean(func(_ int, r *Result) float64 { return r.Score() })
	difference, stdError := mean(func(i int, r *Result) float64 { return r.Score() - c.Results[0][i].Score() })
	earned, _ := mean(func(_ int, r *Result) float64 { return r.EarnedShare })
	windows, _ := mean(func(_ int, r *Result) float64 { return r.WorstWindows })
	queue, _ := mean(func(_ int, r *Result) float64 { return r.WorstQueue })
	lost, _ := mean(func(_ int, r *Result) float64 { return r.Lost })
	var runs, stopped, stoppedEarly, passes, breaches int
	for _, r := range results {
		runs, stopped, stoppedEarly = runs+r.Runs, stopped+r.Stopped, stoppedEarly+r.StoppedEarly
		passes, breaches = passes+r.Passes, breaches+r.Breaches
	}
	return []any{
		c.Variants[v].Name, fmt.Sprintf("%.4f", score), fmt.Sprintf("%+.4f", difference), fmt.Sprintf("%.4f", stdError),
		threeDecimals(earned), threeDecimals(windows), threeDecimals(queue), threeDecimals(lost), share(stopped, runs), share(stoppedEarly, runs), passes / len(results), breaches,
	}
}

func threeDecimals(figure float64) string { return fmt.Sprintf("%.3f", figure) }

func share(part, total int) string { return threeDecimals(float64(part) / float64(max(total, 1))) }

func sumQueues(results []*Result) []QueueResult {
	var sums []QueueResult
	at := map[string]int{}
	for _, r := range results {
		for _, q := range r.Queues {
			i, known := at[q.Name]
			if !known {
				i = len(sums)
				at[q.Name] = i
				sums = append(sums, QueueResult{Name: q.Name})
			}
			s := &sums[i]
			s.Total, s.OnTime, s.Late = s.Total+q.Total, s.OnTime+q.OnTime, s.Late+q.Late
			s.LargeTotal, s.LargeOnTime = s.LargeTotal+q.LargeTotal, s.LargeOnTime+q.LargeOnTime
			s.Earned, s.Value = s.Earned+q.Earned, s.Value+q.Value
		}
	}
	return sums
}
