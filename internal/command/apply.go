package command

import (
	"context"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	waitLimit = 30 * time.Second
	waitPause = 50 * time.Millisecond
)

func (t *Tool) applyCommand() *ffcli.Command {
	flags := t.flags("apply")
	wait := flags.Bool("wait", false, "return once every live instance has the revision")
	client := flags.String("client", "", "name of this apply, for a resend after a lost answer")
	return t.command("apply", "FILE|FOLDER", flags, func(ctx context.Context, args []string) error {
		path, err := one(args, "file or folder")
		if err != nil {
			return err
		}
		return t.apply(ctx, path, *client, *wait)
	})
}

func (t *Tool) diffCommand() *ffcli.Command {
	return t.command("diff", "FILE|FOLDER", t.flags("diff"), func(ctx context.Context, args []string) error {
		path, err := one(args, "file or folder")
		if err != nil {
			return err
		}
		change, _, err := t.compare(ctx, path)
		if err != nil {
			return err
		}
		t.printChange(change)
		return nil
	})
}

func (t *Tool) compare(ctx context.Context, path string) (declaration.Change, uint64, error) {
	wanted, err := declaration.Load(path)
	if err != nil {
		return declaration.Change{}, 0, err
	}
	current, revision, err := t.declarations(ctx)
	if err != nil {
		return declaration.Change{}, 0, err
	}
	return declaration.Diff(current, wanted), revision, nil
}

func (t *Tool) declarations(ctx context.Context) ([]*controlpb.Item, uint64, error) {
	answer := api.Declarations{}
	if err := t.call(ctx, http.MethodGet, api.PathDeclarations, nil, &answer); err != nil {
		return nil, 0, err
	}
	snapshot := &controlpb.Snapshot{}
	if err := protojson.Unmarshal(answer.Items, snapshot); err != nil {
		return nil, 0, failure.Ran(failure.WrongAnswer, failure.NotRunTrue, err, "declarations do not decode")
	}
	return snapshot.Items, answer.Revision, nil
}

func (t *Tool) apply(ctx context.Context, path, client string, wait bool) error {
	change, revision, err := t.compare(ctx, path)
	if err != nil {
		return err
	}
	t.printChange(change)
	if change.Empty() {
		return nil
	}
	if client == "" {
		client = ulid.Make().String()
	}
	request := api.ApplyRequest{Client: client, Sequence: 1, ExpectedRevision: revision, Remove: change.Remove}
	for _, item := range change.Set {
		text, err := protojson.Marshal(item)
		if err != nil {
			return failure.Wrap(failure.Internal, err, "encode %s", item.Key)
		}
		request.Set = append(request.Set, text)
	}
	reply := api.ApplyReply{}
	if err := t.call(ctx, http.MethodPost, api.PathDeclarations, &request, &reply); err != nil {
		return err
	}
	fmt.Fprintf(t.out, "accepted as revision %d\n", reply.Revision)
	if !wait {
		return nil
	}
	return t.awaitRevision(ctx, reply.Revision)
}

func (t *Tool) printChange(change declaration.Change) {
	for _, item := range change.Set {
		fmt.Fprintln(t.out, "set", item.Key)
	}
	for _, key := range change.Remove {
		fmt.Fprintln(t.out, "remove", key)
	}
	if change.Empty() {
		fmt.Fprintln(t.out, "no change")
	}
}

func (t *Tool) awaitRevision(ctx context.Context, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, waitLimit)
	defer cancel()
	for {
		members := []api.Instance{}
		if err := t.call(ctx, http.MethodGet, api.PathMembers, nil, &members); err != nil {
			return err
		}
		if allAt(members, revision) {
			fmt.Fprintf(t.out, "in force on %d instances\n", len(members))
			return nil
		}
		select {
		case <-ctx.Done():
			return failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, ctx.Err(), "revision %d is accepted but not yet everywhere", revision)
		case <-time.After(waitPause):
		}
	}
}

func allAt(members []api.Instance, revision uint64) bool {
	for _, member := range members {
		if member.Revision < revision {
			return false
		}
	}
	return len(members) > 0
}
