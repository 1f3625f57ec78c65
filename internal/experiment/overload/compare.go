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

// Variant is a set of mechanisms switched off, under a name.
type Variant struct {
	Name string
	Off  scheduling.Mechanisms
}

// Comparison holds the results of each variant, seed by seed.
type Comparison struct {
	Variants []Variant
	Results  [][]*Result
}

// Compare replays every seed under every variant, that many days at a time; progress is
// called as days end.
func Compare(d *Deployment, variants []Variant, from, to uint64, atOnce int, progress func()) *Comparison {
	c := &Comparison{Variants: variants, Results: make([][]*Result, len(variants))}
	limit := make(chan struct{}, max(atOnce, 1))
	var group sync.WaitGroup
	for v := range variants {
		c.Results[v] = make([]*Result, to-from+1)
		for i := range c.Results[v] {
			limit <- struct{}{}
			group.Go(func() {
				defer func() { <-limit }()
				c.Results[v][i] = Replay(d.Day(from+uint64(i)), variants[v].Off)
				progress()
			})
		}
	}
	group.Wait()
	return c
}

// Write prints a line a variant, each beside the first, and its shares by queue.
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
			err := queues.Append(variant.Name, q.Name, q.Owed, share(q.InAim, q.Owed), share(q.Late, q.Owed),
				share(q.Owed-q.InAim-q.Late, q.Owed), share(q.WideInAim, q.WideOwed), three(q.Earned/q.Worth))
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

// row sums a variant's days up.
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
	whole, _ := mean(func(_ int, r *Result) float64 { return r.Whole })
	windows, _ := mean(func(_ int, r *Result) float64 { return r.Windows })
	queue, _ := mean(func(_ int, r *Result) float64 { return r.Worst })
	lost, _ := mean(func(_ int, r *Result) float64 { return r.Lost })
	var runs, stopped, atOnce, passes, breaches int
	for _, r := range results {
		runs, stopped, atOnce = runs+r.Runs, stopped+r.Stopped, atOnce+r.StoppedAtOnce
		passes, breaches = passes+r.Passes, breaches+r.Breaches
	}
	return []any{
		c.Variants[v].Name, fmt.Sprintf("%.4f", score), fmt.Sprintf("%+.4f", difference), fmt.Sprintf("%.4f", stdError),
		three(whole), three(windows), three(queue), three(lost), share(stopped, runs), share(atOnce, runs), passes / len(results), breaches,
	}
}

func three(figure float64) string { return fmt.Sprintf("%.3f", figure) }

func share(part, whole int) string { return three(float64(part) / float64(max(whole, 1))) }

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
			s.Owed, s.InAim, s.Late = s.Owed+q.Owed, s.InAim+q.InAim, s.Late+q.Late
			s.WideOwed, s.WideInAim = s.WideOwed+q.WideOwed, s.WideInAim+q.WideInAim
			s.Earned, s.Worth = s.Earned+q.Earned, s.Worth+q.Worth
		}
	}
	return sums
}
