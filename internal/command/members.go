package command

import (
	"context"
	"net/http"
	"strconv"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

func (t *Tool) membersCommand() *ffcli.Command {
	members := t.command("members", "[add INSTANCE | remove MEMBER | replace OLD NEW]", t.flags("members"), t.listMembers)
	members.Subcommands = []*ffcli.Command{
		t.changeCommand("members add", "INSTANCE", func(ctx context.Context, args []string) error {
			instance, err := one(args, "instance")
			if err != nil {
				return err
			}
			return t.changeMembers(ctx, api.MembersChange{Add: instance})
		}),
		t.changeCommand("members remove", "MEMBER", func(ctx context.Context, args []string) error {
			member, err := one(args, "member")
			if err != nil {
				return err
			}
			return t.changeMembers(ctx, api.MembersChange{Remove: member})
		}),
		t.changeCommand("members replace", "OLD NEW", func(ctx context.Context, args []string) error {
			old, next, err := two(args, "old member and new instance")
			if err != nil {
				return err
			}
			return t.changeMembers(ctx, api.MembersChange{Add: next, Remove: old})
		}),
	}
	return members
}

// changeCommand is a subcommand of members; its name is the last word.
func (t *Tool) changeCommand(name, usage string, exec func(context.Context, []string) error) *ffcli.Command {
	command := t.command(name, usage, t.flags(name), exec)
	command.Name = name[len("members "):]
	return command
}

func (t *Tool) changeMembers(ctx context.Context, change api.MembersChange) error {
	return t.call(ctx, http.MethodPost, api.PathMembers, change, nil)
}

func (t *Tool) listMembers(ctx context.Context, _ []string) error {
	members := []api.Instance{}
	if err := t.call(ctx, http.MethodGet, api.PathMembers, nil, &members); err != nil {
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
