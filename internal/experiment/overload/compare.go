package overload

import (
	"fmt"
	"io"
	"math"
	"sync"
	"text/tabwriter"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
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

// mean and standard error of a figure of each pair of results.
func spread(figures []float64) (mean, deviation float64) {
	for _, figure := range figures {
		mean += figure / float64(len(figures))
	}
	if len(figures) < 2 {
		return mean, 0
	}
	squares := 0.0
	for _, figure := range figures {
		squares += (figure - mean) * (figure - mean)
	}
	n := float64(len(figures))
	return mean, math.Sqrt(squares / (n - 1) / n)
}

// Write prints a line a variant, each beside the first, and its shares by queue.
func (c *Comparison) Write(out io.Writer) error {
	table := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	_, _ = fmt.Fprintln(table, "variant\tscore\tdifference\tstd error\twhole\twindows\tworst queue\tlost\tstopped\twithin 1 s\tpasses\tbreaches")
	for v, results := range c.Results {
		var scores, differences, whole, windows, queue, lost []float64
		var runs, stopped, atOnce, passes, breaches int
		for i, r := range results {
			scores = append(scores, r.Score())
			differences = append(differences, r.Score()-c.Results[0][i].Score())
			whole, windows = append(whole, r.Whole), append(windows, r.Windows)
			queue, lost = append(queue, r.Worst), append(lost, r.Lost)
			runs, stopped, atOnce = runs+r.Runs, stopped+r.Stopped, atOnce+r.StoppedAtOnce
			passes, breaches = passes+r.Passes, breaches+r.Breaches
		}
		difference, deviation := spread(differences)
		_, _ = fmt.Fprintf(table, "%s\t%.4f\t%+.4f\t%.4f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\t%d\t%d\n", c.Variants[v].Name,
			first(spread(scores)), difference, deviation, first(spread(whole)), first(spread(windows)), first(spread(queue)),
			first(spread(lost)), share(stopped, runs), share(atOnce, runs), passes/len(results), breaches)
	}
	_, _ = fmt.Fprintln(table, "\nvariant\tqueue\towed\tin aim\tlate\tnot served\tlargest in aim\tearned")
	for v, results := range c.Results {
		for _, q := range sumQueues(results) {
			_, _ = fmt.Fprintf(table, "%s\t%s\t%d\t%.3f\t%.3f\t%.3f\t%.3f\t%.3f\n", c.Variants[v].Name, q.Name, q.Owed,
				share(q.InAim, q.Owed), share(q.Late, q.Owed), share(q.Owed-q.InAim-q.Late, q.Owed), share(q.WideInAim, q.WideOwed), q.Earned/q.Worth)
		}
	}
	return table.Flush()
}

func first(mean, _ float64) float64 { return mean }

func share(part, whole int) float64 { return float64(part) / float64(max(whole, 1)) }

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
