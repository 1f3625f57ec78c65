package command

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// getJobs is the argument with which get lists jobs instead of declarations.
const getJobs = "jobs"

func (t *Tool) getCommand() *ffcli.Command {
	return t.command("get", "[jobs | KIND[/NAME]]", t.flags("get"), func(ctx context.Context, args []string) error {
		if len(args) > 1 {
			return failure.New(failure.BadRequest, "give one kind or name")
		}
		prefix := strings.Join(args, "")
		if prefix == getJobs {
			return t.listJobs(ctx)
		}
		items, revision, err := t.declarations(ctx)
		if err != nil {
			return err
		}
		return t.printItems(selectItems(items, prefix), revision)
	})
}

func (t *Tool) listJobs(ctx context.Context) error {
	jobs := []api.Job{}
	if err := t.get(ctx, api.PathJobs, &jobs); err != nil {
		return err
	}
	return t.printJobs(jobs)
}

func selectItems(items []*controlpb.Item, prefix string) []*controlpb.Item {
	selected := []*controlpb.Item{}
	for _, item := range items {
		if prefix == "" || item.Key == prefix || strings.HasPrefix(item.Key, prefix+"/") {
			selected = append(selected, item)
		}
	}
	return selected
}

func (t *Tool) printItems(items []*controlpb.Item, revision uint64) error {
	if t.format == formatJSON {
		text, err := marshal(&controlpb.Snapshot{Revision: revision, Items: items})
		if err != nil {
			return err
		}
		return t.printJSON(json.RawMessage(text))
	}
	rows := [][]string{{"revision", strconv.FormatUint(revision, 10)}}
	for _, item := range items {
		text, err := marshal(item)
		if err != nil {
			return err
		}
		rows = append(rows, []string{item.Key, string(text)})
	}
	return t.print(items, []string{"key", "declaration"}, rows)
}

// marshal returns the same JSON each time: protojson adds spaces at random.
func marshal(message proto.Message) ([]byte, error) {
	text, err := protojson.Marshal(message)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode declarations")
	}
	compact := &bytes.Buffer{}
	if err := json.Compact(compact, text); err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode declarations")
	}
	return compact.Bytes(), nil
}

func (t *Tool) membersCommand() *ffcli.Command {
	flags := t.flags("members")
	change := api.ChangeMembers{}
	flags.StringVar(&change.Add, "add", "", "instance whose replica becomes a voter")
	flags.StringVar(&change.Remove, "remove", "", "instance, or identity of a replica, that leaves the voters")
	return t.command("members", "", flags, func(ctx context.Context, _ []string) error {
		if change != (api.ChangeMembers{}) {
			call := &apiCall{method: http.MethodPost, path: api.PathMembers, idempotent: true}
			if err := t.call(ctx, call, &change, nil); err != nil {
				return err
			}
		}
		return t.listMembers(ctx)
	})
}

func (t *Tool) listMembers(ctx context.Context) error {
	members := []api.Instance{}
	if err := t.get(ctx, api.PathMembers, &members); err != nil {
		return err
	}
	var rows [][]string
	for _, member := range members {
		rows = append(rows, []string{
			member.Name, member.DataCentre, strconv.FormatUint(member.Revision, 10),
			strconv.FormatBool(member.Ready), strconv.FormatBool(member.Replica), member.LogRole,
		})
	}
	return t.print(members, []string{"instance", "data centre", "revision", "ready", "replica", "log"}, rows)
}

// drained is the JSON output of drain.
type drained struct {
	Upstream string `json:"upstream"`
	Drained  bool   `json:"drained"`
}

func (t *Tool) drainCommand() *ffcli.Command {
	flags := t.flags("drain")
	undo := flags.Bool("undo", false, "let the upstream receive work again")
	return t.command("drain", "UPSTREAM", flags, func(ctx context.Context, args []string) error {
		id, err := singleArgument(args, "upstream")
		if err != nil {
			return err
		}
		call := &apiCall{method: http.MethodPost, path: withID(api.PathDrain, id), idempotent: true}
		if *undo {
			call.method = http.MethodDelete
		}
		if err := t.call(ctx, call, nil, nil); err != nil {
			return err
		}
		outcome := drained{Upstream: id, Drained: !*undo}
		return t.print(outcome, []string{"upstream", "drained"}, [][]string{{id, strconv.FormatBool(outcome.Drained)}})
	})
}

// dumpCommand prints JSON whatever the output format.
func (t *Tool) dumpCommand() *ffcli.Command {
	flags := t.flags("dump")
	vars := flags.Bool("vars", false, "the counters instead of the state")
	return t.command("dump", "", flags, func(ctx context.Context, _ []string) error {
		path := api.PathState
		if *vars {
			path = api.PathVars
		}
		text, err := t.send(ctx, &apiCall{method: http.MethodGet, path: path, idempotent: true})
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
