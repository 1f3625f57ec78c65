package command

import (
	"context"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/oklog/ulid/v2"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// jobPollInterval is the interval at which jobs are polled until they end.
const jobPollInterval = 200 * time.Millisecond

func (t *Tool) submitCommand() *ffcli.Command {
	flags := t.flags("submit")
	key := flags.String("key", "", "the same key again gets the same job")
	wait := flags.Bool("wait", false, "return once every job has ended; fail unless all completed")
	return t.command("submit", "CLASS...", flags, func(ctx context.Context, classes []string) error {
		if len(classes) == 0 || (*key != "" && len(classes) > 1) {
			return failure.New(failure.BadRequest, "give classes of work, and a -key for one only")
		}
		jobs := []api.Job{}
		for _, class := range classes {
			job, err := t.submit(ctx, class, *key)
			if err != nil {
				return err
			}
			jobs = append(jobs, *job)
		}
		if !*wait {
			return t.printJobs(jobs)
		}
		return t.awaitJobs(ctx, jobs)
	})
}

// submit generates a key if none was given, so that a resend after a lost response
// returns the same job.
func (t *Tool) submit(ctx context.Context, class, key string) (*api.Job, error) {
	if key == "" {
		key = ulid.Make().String()
	}
	job := &api.Job{}
	call := &apiCall{method: http.MethodPost, path: api.PathJobs, idempotent: true}
	return job, t.call(ctx, call, &api.SubmitRequest{Key: key, WorkClass: class}, job)
}

func (t *Tool) awaitJobs(ctx context.Context, jobs []api.Job) error {
	for i := range jobs {
		for !jobs[i].Ended() {
			if err := sleep(ctx, jobPollInterval); err != nil {
				return err
			}
			if err := t.get(ctx, withID(api.PathJob, jobs[i].ID), &jobs[i]); err != nil {
				return err
			}
		}
	}
	if err := t.printJobs(jobs); err != nil {
		return err
	}
	for _, job := range jobs {
		if job.State != api.JobCompleted {
			return failure.Ran(failure.UpstreamFailed, failure.NotRunFalse, nil, "job %s is %s", job.ID, job.State)
		}
	}
	return nil
}

func sleep(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "stopped waiting")
	case <-time.After(d):
		return nil
	}
}

func (t *Tool) cancelCommand() *ffcli.Command {
	return t.command("cancel", "JOB...", t.flags("cancel"), func(ctx context.Context, ids []string) error {
		if len(ids) == 0 {
			return failure.New(failure.BadRequest, "give jobs")
		}
		jobs := []api.Job{}
		for _, id := range ids {
			job := api.Job{}
			call := &apiCall{method: http.MethodDelete, path: withID(api.PathJob, id), idempotent: true}
			if err := t.call(ctx, call, nil, &job); err != nil {
				return err
			}
			jobs = append(jobs, job)
		}
		return t.printJobs(jobs)
	})
}

func (t *Tool) printJobs(jobs []api.Job) error {
	var rows [][]string
	for _, job := range jobs {
		rows = append(rows, []string{
			job.ID, job.WorkClass, job.State, strconv.FormatUint(uint64(job.Attempts), 10), strings.Join(job.Workers, " "),
		})
	}
	return t.print(jobs, []string{"job", "class", "state", "attempts", "workers"}, rows)
}

func (t *Tool) explainCommand() *ffcli.Command {
	return t.command("explain", "JOB", t.flags("explain"), func(ctx context.Context, args []string) error {
		id, err := singleArgument(args, "job")
		if err != nil {
			return err
		}
		explanation := api.Explanation{}
		if err := t.get(ctx, withID(api.PathExplain, id), &explanation); err != nil {
			return err
		}
		return t.print(explanation, []string{"job", "state", "reason", "wanted", "free", "failures", "crashes"}, [][]string{{
			explanation.Job.ID, explanation.Job.State, explanation.Reason,
			strconv.FormatUint(uint64(explanation.Wanted), 10), strconv.FormatUint(uint64(explanation.Free), 10),
			strings.Join(explanation.Job.Failures, "\n"), strings.Join(explanation.Crashes, "\n"),
		}})
	})
}

// requestOutcome is the JSON output of request.
type requestOutcome struct {
	Body string `json:"body"`
}

func (t *Tool) requestCommand() *ffcli.Command {
	flags := t.flags("request")
	key := flags.String("key", "", "the same key again gets the same outcome")
	file := flags.String("file", "", "file with the body")
	return t.command("request", "SERVICE", flags, func(ctx context.Context, args []string) error {
		service, err := singleArgument(args, "service")
		if err != nil {
			return err
		}
		call := &apiCall{
			method: http.MethodPost,
			path:   strings.Replace(api.PathRequests, "{service}", service, 1),
			header: http.Header{},
			// Without a key a lost response is reported and not retried: the request
			// may have run.
			idempotent: *key != "",
		}
		if *file != "" {
			if call.body, err = os.ReadFile(*file); err != nil {
				return failure.Wrap(failure.BadRequest, err, "read %s", *file)
			}
		}
		if *key != "" {
			call.header.Set(api.HeaderKey, *key)
		}
		text, err := t.send(ctx, call)
		if err != nil {
			return err
		}
		if t.format == formatJSON {
			return t.printJSON(requestOutcome{Body: string(text)})
		}
		_, err = t.out.Write(text)
		return wrapOutput(err)
	})
}
