package command

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"
	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	revisionTimeout      = 30 * time.Second
	revisionPollInterval = 50 * time.Millisecond
)

// applyOptions holds the flags of the apply subcommand.
type applyOptions struct {
	wait            bool
	client          string
	allowInfeasible bool
	expected        int64
}

// applied is the JSON output of apply and diff.
type applied struct {
	Set       []string `json:"set,omitempty"`
	Remove    []string `json:"remove,omitempty"`
	Revision  uint64   `json:"revision"`
	Instances int      `json:"instances_in_force,omitempty"`
	// Earlier is set if this was a resend: Revision is that of the first outcome.
	Earlier bool `json:"earlier,omitempty"`
}

// anyRevision stands for the revision that the tool itself has read.
const anyRevision = -1

func (t *Tool) applyCommand() *ffcli.Command {
	flags := t.flags("apply")
	options := &applyOptions{}
	flags.BoolVar(&options.wait, "wait", false, "return once every live instance has the revision")
	flags.StringVar(&options.client, "client", "", "name of this apply: given again with the same files it prints the first outcome")
	flags.BoolVar(&options.allowInfeasible, "allow-infeasible", false, "accept classes that no known worker could run")
	flags.Int64Var(&options.expected, "revision", anyRevision, "the revision that the change was made from; refused if there is a newer one")
	return t.command("apply", "FILE|FOLDER", flags, func(ctx context.Context, args []string) error {
		path, err := singleArgument(args, "file or folder")
		if err != nil {
			return err
		}
		return t.apply(ctx, path, options)
	})
}

func (t *Tool) diffCommand() *ffcli.Command {
	return t.command("diff", "FILE|FOLDER", t.flags("diff"), func(ctx context.Context, args []string) error {
		path, err := singleArgument(args, "file or folder")
		if err != nil {
			return err
		}
		compared, err := t.compare(ctx, path)
		if err != nil {
			return err
		}
		return t.printChange(compared.change, compared.outcome())
	})
}

// comparison is the change that an apply would make to the declarations in force.
type comparison struct {
	wanted   []*controlpb.Item
	change   declaration.Change
	revision uint64
}

func (c *comparison) outcome() *applied {
	outcome := &applied{Remove: c.change.Remove, Revision: c.revision}
	for _, item := range c.change.Set {
		outcome.Set = append(outcome.Set, item.Key)
	}
	return outcome
}

func (t *Tool) compare(ctx context.Context, path string) (*comparison, error) {
	wanted, err := declaration.Load(path)
	if err != nil {
		return nil, err
	}
	current, revision, err := t.declarations(ctx)
	if err != nil {
		return nil, err
	}
	return &comparison{wanted: wanted, change: declaration.Diff(current, wanted), revision: revision}, nil
}

func (t *Tool) declarations(ctx context.Context) ([]*controlpb.Item, uint64, error) {
	answer := api.Declarations{}
	if err := t.get(ctx, api.PathDeclarations, &answer); err != nil {
		return nil, 0, err
	}
	snapshot := &controlpb.Snapshot{}
	if err := protojson.Unmarshal(answer.Items, snapshot); err != nil {
		return nil, 0, failure.Ran(failure.WrongAnswer, failure.NotRunTrue, err, "declarations do not decode")
	}
	return snapshot.Items, answer.Revision, nil
}

func (t *Tool) apply(ctx context.Context, path string, options *applyOptions) error {
	compared, err := t.compare(ctx, path)
	if err != nil {
		return err
	}
	outcome := compared.outcome()
	if t.format == formatTable {
		if err := t.printChange(compared.change, outcome); err != nil {
			return err
		}
	}
	// An apply with a client name is sent even if nothing differs: it may be the resend
	// of one that was accepted, whose outcome is still in the replicated state.
	if compared.change.Empty() && options.client == "" {
		return t.finishApply(ctx, outcome, options)
	}
	request, err := applyRequest(compared, options)
	if err != nil {
		return err
	}
	reply := api.ApplyReply{}
	call := &apiCall{method: http.MethodPost, path: api.PathDeclarations, idempotent: true}
	if err := t.call(ctx, call, request, &reply); err != nil {
		return err
	}
	outcome.Earlier = reply.Revision <= compared.revision
	outcome.Revision = reply.Revision
	if outcome.Earlier && !compared.change.Empty() {
		return &failure.Error{
			Code: failure.Conflict, NotRun: failure.NotRunFalse, Revision: compared.revision,
			Message: fmt.Sprintf("accepted before as revision %d, and changed by others since", reply.Revision),
		}
	}
	return t.finishApply(ctx, outcome, options)
}

func applyRequest(compared *comparison, options *applyOptions) (*api.ApplyRequest, error) {
	request := &api.ApplyRequest{
		Client:           clientName(compared.wanted, options.client),
		Sequence:         1,
		ExpectedRevision: compared.revision,
		Remove:           compared.change.Remove,
		AllowInfeasible:  options.allowInfeasible,
	}
	if options.expected != anyRevision {
		request.ExpectedRevision = uint64(options.expected)
	}
	for _, item := range compared.change.Set {
		text, err := protojson.Marshal(item)
		if err != nil {
			return nil, failure.Wrap(failure.Internal, err, "encode %s", item.Key)
		}
		request.Set = append(request.Set, text)
	}
	return request, nil
}

// clientName combines the name given for an apply with a hash of its declarations.
// With the name alone, an apply with other contents would get the outcome of an
// earlier one. Without a name it returns a new unique one.
func clientName(wanted []*controlpb.Item, name string) string {
	if name == "" {
		return ulid.Make().String()
	}
	hash := sha256.New()
	for _, item := range wanted {
		text, err := proto.MarshalOptions{Deterministic: true}.Marshal(item)
		if err != nil {
			continue
		}
		fmt.Fprintf(hash, "%d:", len(text))
		hash.Write(text)
	}
	return name + "/" + hex.EncodeToString(hash.Sum(nil))
}

func (t *Tool) finishApply(ctx context.Context, outcome *applied, options *applyOptions) error {
	if options.wait {
		instances, err := t.awaitRevision(ctx, outcome.Revision)
		if err != nil {
			return err
		}
		outcome.Instances = instances
	}
	if t.format == formatJSON {
		return t.printJSON(outcome)
	}
	if outcome.Earlier {
		fmt.Fprintf(t.out, "accepted before as revision %d\n", outcome.Revision)
	} else if len(outcome.Set)+len(outcome.Remove) > 0 {
		fmt.Fprintf(t.out, "accepted as revision %d\n", outcome.Revision)
	}
	if outcome.Instances > 0 {
		fmt.Fprintf(t.out, "in force on %d instances\n", outcome.Instances)
	}
	return nil
}

func (t *Tool) printChange(change declaration.Change, outcome *applied) error {
	if t.format == formatJSON {
		return t.printJSON(outcome)
	}
	for _, item := range change.Set {
		fmt.Fprintln(t.out, "set", item.Key)
	}
	for _, key := range change.Remove {
		fmt.Fprintln(t.out, "remove", key)
	}
	if change.Empty() {
		fmt.Fprintln(t.out, "no change")
	}
	return nil
}

// awaitRevision polls until every live instance has applied the revision, and returns
// their number.
func (t *Tool) awaitRevision(ctx context.Context, revision uint64) (int, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	for {
		members := []api.Instance{}
		if err := t.get(ctx, api.PathMembers, &members); err != nil {
			return 0, failure.Ran(failure.From(err).Code, failure.NotRunFalse, err, "revision %d is accepted", revision)
		}
		if allAt(members, revision) {
			return len(members), nil
		}
		select {
		case <-ctx.Done():
			return 0, failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, ctx.Err(), "revision %d is accepted but not yet everywhere", revision)
		case <-time.After(revisionPollInterval):
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
