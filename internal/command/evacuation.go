package command

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// evacuationOrder is the JSON output of evacuate and readmit.
type evacuationOrder struct {
	DataCentre string `json:"data_centre"`
	Evacuated  bool   `json:"evacuated"`
}

func (t *Tool) evacuateCommand() *ffcli.Command {
	return t.evacuationCommand("evacuate", http.MethodPost, true)
}

func (t *Tool) readmitCommand() *ffcli.Command {
	return t.evacuationCommand("readmit", http.MethodDelete, false)
}

// evacuationCommand returns the subcommand of an order. An order may be sent again whatever
// became of the attempt before.
func (t *Tool) evacuationCommand(name, method string, evacuate bool) *ffcli.Command {
	return t.command(name, "DATA_CENTRE", t.flags(name), func(ctx context.Context, args []string) error {
		dataCentre, err := singleArgument(args, "data centre")
		if err != nil {
			return err
		}
		call := &apiCall{method: method, path: withID(api.PathEvacuation, dataCentre), idempotent: true}
		if err := t.call(ctx, call, nil, nil); err != nil {
			return err
		}
		outcome := evacuationOrder{DataCentre: dataCentre, Evacuated: evacuate}
		return t.print(outcome, []string{"data centre", "evacuated"}, [][]string{{dataCentre, strconv.FormatBool(evacuate)}})
	})
}

func (t *Tool) evacuationsCommand() *ffcli.Command {
	return t.command("evacuations", "", t.flags("evacuations"), func(ctx context.Context, _ []string) error {
		list := []api.DataCentre{}
		if err := t.get(ctx, api.PathDataCentres, &list); err != nil {
			return err
		}
		var rows [][]string
		for _, d := range list {
			rows = append(rows, []string{
				d.Name, strconv.FormatBool(d.Evacuated), logTime(d.StartedMs), logTime(d.FinishedMs),
				strconv.Itoa(d.Workers), strconv.Itoa(d.PlacedTasks),
			})
		}
		return t.print(list, []string{"data centre", "evacuated", "last evacuated", "last readmitted", "workers", "tasks placed"}, rows)
	})
}

// logTime formats Unix milliseconds; 0 is never.
func logTime(ms int64) string {
	if ms == 0 {
		return "never"
	}
	return time.UnixMilli(ms).UTC().Format(time.RFC3339)
}
