package command

import (
	"context"
	"fmt"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func (t *Tool) interferenceCommand() *ffcli.Command {
	flags := t.flags("interference")
	all := flags.Bool("all", false, "also show the pairs that don't interfere")
	return t.command("interference", "", flags, func(ctx context.Context, args []string) error {
		if len(args) > 0 {
			return failure.New(failure.BadRequest, "interference takes no arguments")
		}
		answer := api.Interference{}
		if err := t.get(ctx, api.PathInterference, &answer); err != nil {
			return err
		}
		if !answer.Enabled && t.format != formatJSON {
			return failure.New(failure.BadRequest, "the leader's settings do not switch on the estimate: interference in [scheduling]")
		}
		header := []string{"class", "beside", "interferes", "slowdown", "error", "samples", "workers", "cpu", "cpu otherwise", "age", "last seen"}
		return t.print(answer, header, interferenceRows(answer.Pairs, *all))
	})
}

func interferenceRows(pairs []api.InterferencePair, all bool) [][]string {
	var rows [][]string
	for _, p := range pairs {
		if !p.Interferes && !all {
			continue
		}
		age := "-"
		if p.Interferes {
			age = seconds(p.AgeSeconds)
		}
		rows = append(rows, []string{
			p.Class, p.Beside, strconv.FormatBool(p.Interferes), fmt.Sprintf("%.2f", p.Slowdown), fmt.Sprintf("%.2f", p.Error),
			fmt.Sprintf("%.0f", p.Samples), strconv.FormatUint(uint64(p.Workers), 10), shareText(p.CPU), shareText(p.CPUWithout),
			age, seconds(p.LastSeenSeconds),
		})
	}
	return rows
}

func shareText(share *float64) string {
	if share == nil {
		return "-"
	}
	return fmt.Sprintf("%.2f", *share)
}
