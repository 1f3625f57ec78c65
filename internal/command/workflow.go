package command

import (
	"context"
	"encoding/json"
	"net/http"
	"os"
	"strconv"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// workflowCommand submits a graph of steps, or shows or cancels a submitted one.
func (t *Tool) workflowCommand() *ffcli.Command {
	flags := t.flags("workflow")
	key := flags.String("key", "", "the same key again gets the same workflow")
	wait := flags.Bool("wait", false, "return once it has ended; fail unless it completed")
	cancel := flags.Bool("cancel", false, "cancel the workflow of that id")
	show := flags.Bool("show", false, "show the workflow of that id and its jobs")
	return t.command("workflow", "FILE.json | -show ID | -cancel ID", flags, func(ctx context.Context, args []string) error {
		argument, err := singleArgument(args, "file or id")
		if err != nil {
			return err
		}
		workflow := &api.Workflow{}
		switch {
		case *cancel:
			call := &apiCall{method: http.MethodDelete, path: withID(api.PathWorkflow, argument), idempotent: true}
			err = t.call(ctx, call, nil, workflow)
		case *show:
			err = t.get(ctx, withID(api.PathWorkflow, argument), workflow)
		default:
			err = t.submitWorkflow(ctx, argument, *key, workflow)
		}
		if err == nil && *wait {
			err = t.awaitWorkflow(ctx, workflow)
		}
		if err != nil {
			return err
		}
		return t.printWorkflow(workflow)
	})
}

// submitWorkflow generates a key if none was given, so that a resend after a lost
// response returns the same workflow.
func (t *Tool) submitWorkflow(ctx context.Context, file, key string, into *api.Workflow) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return failure.Wrap(failure.BadRequest, err, "read %s", file)
	}
	request := &api.WorkflowRequest{}
	if err := json.Unmarshal(text, request); err != nil {
		return failure.Wrap(failure.BadRequest, err, "%s is not a valid workflow", file)
	}
	if key != "" {
		request.Key = key
	}
	if request.Key == "" {
		request.Key = ulid.Make().String()
	}
	return t.call(ctx, &apiCall{method: http.MethodPost, path: api.PathWorkflows, idempotent: true}, request, into)
}

func (t *Tool) awaitWorkflow(ctx context.Context, workflow *api.Workflow) error {
	for !workflow.Ended() {
		if err := sleep(ctx, jobPollInterval); err != nil {
			return err
		}
		if err := t.get(ctx, withID(api.PathWorkflow, workflow.ID), workflow); err != nil {
			return err
		}
	}
	if workflow.State != api.WorkflowCompleted {
		return failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "workflow %s is %s", workflow.ID, workflow.State)
	}
	return nil
}

func (t *Tool) printWorkflow(workflow *api.Workflow) error {
	rows := [][]string{{workflow.ID, workflow.State, "", ""}}
	for _, job := range workflow.Jobs {
		rows = append(rows, []string{job.ID, job.State, strconv.Itoa(int(job.Tasks)), strconv.Itoa(int(job.Attempts))})
	}
	return t.print(workflow, []string{"id", "state", "tasks", "attempts"}, rows)
}
