package command

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func (t *Tool) submitCommand() *ffcli.Command {
	flags := t.flags("submit")
	key := flags.String("key", "", "the same key again gets the same job")
	return t.command("submit", "CLASS", flags, func(ctx context.Context, args []string) error {
		class, err := one(args, "class of work")
		if err != nil {
			return err
		}
		job := api.Job{}
		if err := t.call(ctx, http.MethodPost, api.PathJobs, &api.SubmitRequest{Key: *key, WorkClass: class}, &job); err != nil {
			return err
		}
		return t.printJob(&job)
	})
}

func (t *Tool) cancelCommand() *ffcli.Command {
	return t.command("cancel", "JOB", t.flags("cancel"), func(ctx context.Context, args []string) error {
		id, err := one(args, "job")
		if err != nil {
			return err
		}
		job := api.Job{}
		if err := t.call(ctx, http.MethodDelete, withID(api.PathJob, id), nil, &job); err != nil {
			return err
		}
		return t.printJob(&job)
	})
}

func (t *Tool) printJob(job *api.Job) error {
	return t.print(job, []string{"job", "class", "state", "attempts", "workers"}, [][]string{
		{job.ID, job.WorkClass, job.State, strconv.FormatUint(uint64(job.Attempts), 10), strings.Join(job.Workers, " ")},
	})
}

func (t *Tool) explainCommand() *ffcli.Command {
	return t.command("explain", "JOB", t.flags("explain"), func(ctx context.Context, args []string) error {
		id, err := one(args, "job")
		if err != nil {
			return err
		}
		explanation := api.Explanation{}
		if err := t.call(ctx, http.MethodGet, withID(api.PathExplain, id), nil, &explanation); err != nil {
			return err
		}
		return t.print(explanation, []string{"job", "state", "reason", "wanted", "free"}, [][]string{{
			explanation.Job.ID, explanation.Job.State, explanation.Reason,
			strconv.FormatUint(uint64(explanation.Wanted), 10), strconv.FormatUint(uint64(explanation.Free), 10),
		}})
	})
}

func (t *Tool) requestCommand() *ffcli.Command {
	flags := t.flags("request")
	key := flags.String("key", "", "the same key again gets the same outcome")
	file := flags.String("file", "", "file with the body")
	return t.command("request", "SERVICE", flags, func(ctx context.Context, args []string) error {
		service, err := one(args, "service")
		if err != nil {
			return err
		}
		var body []byte
		if *file != "" {
			if body, err = os.ReadFile(*file); err != nil {
				return failure.Wrap(failure.BadRequest, err, "read %s", *file)
			}
		}
		header := http.Header{}
		if *key != "" {
			header.Set(api.HeaderKey, *key)
		}
		path := strings.Replace(api.PathRequests, "{service}", service, 1)
		text, _, err := t.raw(ctx, http.MethodPost, path, body, header)
		if err != nil {
			return err
		}
		_, err = t.out.Write(text)
		return wrapOutput(err)
	})
}
