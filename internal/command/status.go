package command

import (
	"context"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

func (t *Tool) statusCommand() *ffcli.Command {
	return t.command("status", "", t.flags("status"), func(ctx context.Context, _ []string) error {
		status := api.Status{}
		if err := t.get(ctx, api.PathStatus, &status); err != nil {
			return err
		}
		if t.format == formatJSON {
			return t.printJSON(status)
		}
		if err := t.print(status, []string{"measure", "value"}, statusRows(&status)); err != nil {
			return err
		}
		return t.print(status, customerHeader, customerRows(status.Customers))
	})
}

func statusRows(status *api.Status) [][]string {
	rows := [][]string{
		{"revision", strconv.FormatUint(status.Revision, 10)},
		{"leader", status.Leader},
		{"figures are fresh", strconv.FormatBool(status.Fresh)},
		{"workers, minions", fmt.Sprintf("%d, %d", status.Workers, status.Minions)},
		{"accelerators used", fmt.Sprintf("%d of %d", status.Used, status.Accelerators)},
		{"fragmentation", fmt.Sprintf("%.2f", status.Fragmentation)},
		{"completion mean", seconds(status.Completion.MeanSeconds)},
		{"completion p50, p99", seconds(status.Completion.MedianSeconds) + ", " + seconds(status.Completion.P99Seconds)},
		{"deadlines met, missed", fmt.Sprintf("%d, %d", status.Completion.DeadlinesMet, status.Completion.DeadlinesMissed)},
		{"accelerator time run", seconds(status.Waste.Run)},
		{"reserved, not run", seconds(status.Waste.Reserved)},
		{"lost to preemption", seconds(status.Waste.Preempted)},
		{"lost to retries", seconds(status.Waste.Retried)},
		{"idle in guarantees", fmt.Sprintf("%d accelerators", status.Waste.IdleInGuarantee)},
	}
	if len(status.EvacuatedDataCentres) > 0 {
		rows = append(rows, []string{"evacuated data centres", strings.Join(status.EvacuatedDataCentres, ", ")})
	}
	for _, state := range sortedStates(status.Jobs) {
		rows = append(rows, []string{"jobs " + state, strconv.Itoa(status.Jobs[state])})
	}
	return rows
}

func seconds(s float64) string { return fmt.Sprintf("%.2f s", s) }

func sortedStates(jobs map[string]int) []string {
	states := make([]string, 0, len(jobs))
	for state := range jobs {
		states = append(states, state)
	}
	sort.Strings(states)
	return states
}

var customerHeader = []string{"customer", "waiting", "running", "used", "guaranteed", "completed", "mean", "p99", "missed", "lost"}

func customerRows(customers []api.CustomerStatus) [][]string {
	var rows [][]string
	for _, c := range customers {
		rows = append(rows, []string{
			c.Name, strconv.Itoa(c.Waiting), strconv.Itoa(c.Running), strconv.Itoa(c.Used), strconv.Itoa(c.Guaranteed),
			strconv.Itoa(c.Completion.Jobs), seconds(c.Completion.MeanSeconds), seconds(c.Completion.P99Seconds),
			strconv.Itoa(c.Completion.DeadlinesMissed), seconds(c.Waste.Preempted + c.Waste.Retried),
		})
	}
	return rows
}

func (t *Tool) watchCommand() *ffcli.Command {
	flags := t.flags("watch")
	untilDone := flags.Bool("until-done", false, "end once no job waits or runs")
	every := flags.Duration("every", time.Second, "shortest time between two lines")
	return t.command("watch", "", flags, func(ctx context.Context, _ []string) error {
		return t.watch(ctx, *untilDone, *every)
	})
}

// watch prints a line for each newer state by long polling: the instance holds its
// response until there is one.
func (t *Tool) watch(ctx context.Context, untilDone bool, every time.Duration) error {
	path, lastLine := api.PathStatus, ""
	for {
		status := api.Status{}
		if err := t.get(ctx, path, &status); err != nil {
			if ctx.Err() != nil {
				return nil
			}
			return err
		}
		if err := t.printProgress(&status, &lastLine); err != nil {
			return err
		}
		if untilDone && unfinished(&status) == 0 {
			return nil
		}
		path = fmt.Sprintf("%s?after=%d", api.PathStatus, status.Index)
		if sleep(ctx, every) != nil {
			return nil
		}
	}
}

func (t *Tool) printProgress(status *api.Status, lastLine *string) error {
	if t.format == formatJSON {
		return t.printJSON(status)
	}
	line := progress(status)
	if line == *lastLine {
		return nil
	}
	*lastLine = line
	_, err := fmt.Fprintln(t.out, line)
	return wrapOutput(err)
}

func progress(status *api.Status) string {
	parts := []string{fmt.Sprintf("revision %d", status.Revision)}
	for _, state := range sortedStates(status.Jobs) {
		parts = append(parts, fmt.Sprintf("%s %d", state, status.Jobs[state]))
	}
	parts = append(parts,
		fmt.Sprintf("accelerators %d/%d", status.Used, status.Accelerators),
		fmt.Sprintf("fragmentation %.2f", status.Fragmentation),
		fmt.Sprintf("lost %s", seconds(status.Waste.Preempted+status.Waste.Retried)))
	if len(status.EvacuatedDataCentres) > 0 {
		parts = append(parts, "evacuated "+strings.Join(status.EvacuatedDataCentres, " "))
	}
	return strings.Join(parts, ", ")
}

func unfinished(status *api.Status) int {
	count := 0
	for state, jobs := range status.Jobs {
		if job := (api.Job{State: state}); !job.Ended() {
			count += jobs
		}
	}
	return count
}
