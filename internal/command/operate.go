package command

import (
	"context"
	"fmt"
	"net/http"
	"net/url"
	"sort"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

func (t *Tool) getCommand() *ffcli.Command {
	return t.command("get", "", t.flags("get"), func(ctx context.Context, _ []string) error {
		items, revision, err := t.declarations(ctx)
		if err != nil {
			return err
		}
		fmt.Fprintf(t.out, "revision %d\n", revision)
		for _, item := range items {
			fmt.Fprintln(t.out, protojson.Format(item))
		}
		return nil
	})
}

func (t *Tool) statusCommand() *ffcli.Command {
	return t.command("status", "", t.flags("status"), func(ctx context.Context, _ []string) error {
		status := api.Status{}
		if err := t.call(ctx, http.MethodGet, api.PathStatus, nil, &status); err != nil {
			return err
		}
		return t.print(status, []string{"measure", "value"}, statusRows(&status))
	})
}

func statusRows(status *api.Status) [][]string {
	rows := [][]string{
		{"revision", strconv.FormatUint(status.Revision, 10)},
		{"leader", status.Leader},
		{"mean completion", fmt.Sprintf("%.2f s", status.MeanSeconds)},
		{"workers", strconv.Itoa(status.Workers)},
		{"minions", strconv.Itoa(status.Minions)},
		{"accelerators used", fmt.Sprintf("%d of %d", status.Used, status.Accelerators)},
		{"work lost", fmt.Sprintf("%.2f s", status.LostSeconds)},
	}
	states := make([]string, 0, len(status.Jobs))
	for state := range status.Jobs {
		states = append(states, state)
	}
	sort.Strings(states)
	for _, state := range states {
		rows = append(rows, []string{"jobs " + state, strconv.Itoa(status.Jobs[state])})
	}
	return rows
}

func (t *Tool) drainCommand() *ffcli.Command {
	flags := t.flags("drain")
	undo := flags.Bool("undo", false, "let the upstream receive work again")
	return t.command("drain", "UPSTREAM", flags, func(ctx context.Context, args []string) error {
		id, err := one(args, "upstream")
		if err != nil {
			return err
		}
		method := http.MethodPost
		if *undo {
			method = http.MethodDelete
		}
		return t.call(ctx, method, withID(api.PathDrain, id), nil, nil)
	})
}

func (t *Tool) dumpCommand() *ffcli.Command {
	return t.command("dump", "", t.flags("dump"), func(ctx context.Context, _ []string) error {
		text, _, err := t.raw(ctx, http.MethodGet, api.PathState, nil, nil)
		if err != nil {
			return err
		}
		_, err = t.out.Write(text)
		return wrapOutput(err)
	})
}

func withID(path, id string) string {
	return strings.Replace(path, "{id}", url.PathEscape(id), 1)
}
