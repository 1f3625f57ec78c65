// Package command is the pinewinch tool: one file a subcommand.
package command

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const requestTimeout = 30 * time.Second

// Tool is what every subcommand shares.
type Tool struct {
	out    io.Writer
	server string
	token  string
	format string
}

// Run parses the arguments, runs one subcommand and gives the exit code.
func Run(args []string, out, errors io.Writer) int {
	tool := &Tool{out: out}
	root := tool.root()
	if err := root.ParseAndRun(context.Background(), args); err != nil {
		return reportTo(errors, err)
	}
	return 0
}

func reportTo(w io.Writer, err error) int {
	if errors.Is(err, flag.ErrHelp) {
		return 0
	}
	fmt.Fprintln(w, err)
	return failure.From(err).ExitCode()
}

func (t *Tool) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "pinewinch",
		ShortUsage: "pinewinch <subcommand> [flags] [arguments]",
		Subcommands: []*ffcli.Command{
			t.applyCommand(),
			t.diffCommand(),
			t.getCommand(),
			t.statusCommand(),
			t.submitCommand(),
			t.cancelCommand(),
			t.requestCommand(),
			t.explainCommand(),
			t.drainCommand(),
			t.dumpCommand(),
			t.membersCommand(),
		},
		Exec: func(context.Context, []string) error { return flag.ErrHelp },
	}
}

// flags gives the flag set of a subcommand with the flags that all share.
func (t *Tool) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet("pinewinch "+name, flag.ContinueOnError)
	flags.StringVar(&t.server, "server", "http://127.0.0.1:7100", "address of any instance")
	flags.StringVar(&t.token, "token", "", "token of the operator or customer")
	flags.StringVar(&t.format, "o", "table", "table or json")
	return flags
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("PINEWINCH")}
}

func (t *Tool) command(name, usage string, flags *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "pinewinch " + name + " [flags] " + usage,
		FlagSet:    flags,
		Options:    options(),
		Exec:       exec,
	}
}

// call sends one request and decodes its answer; into may be nil.
func (t *Tool) call(ctx context.Context, method, path string, body, into any) error {
	var content []byte
	if body != nil {
		var err error
		if content, err = json.Marshal(body); err != nil {
			return failure.Wrap(failure.Internal, err, "encode")
		}
	}
	text, _, err := t.raw(ctx, method, path, content, nil)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return failure.Ran(failure.WrongAnswer, failure.NotRunUnknown, err, "answer of %s", path)
	}
	return nil
}

func (t *Tool) raw(ctx context.Context, method, path string, body []byte, header http.Header) ([]byte, http.Header, error) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(t.server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return nil, nil, failure.Wrap(failure.BadRequest, err, "address %s", t.server)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+t.token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, nil, failure.Ran(failure.Unreachable, failure.NotRunUnknown, err, "%s %s", method, path)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return nil, nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunUnknown, err, "%s %s", method, path)
	}
	if response.StatusCode >= http.StatusBadRequest {
		return nil, nil, decodeError(response, text)
	}
	return text, response.Header, nil
}

func decodeError(response *http.Response, text []byte) error {
	body := api.ErrorBody{}
	if err := json.Unmarshal(text, &body); err != nil || body.Code == "" {
		return failure.Ran(failure.UpstreamFailed, failure.NotRunUnknown, nil, "%s: %s", response.Status, text)
	}
	return &failure.Error{
		Code:       body.Code,
		Message:    body.Message,
		NotRun:     body.NotRun,
		Revision:   body.Revision,
		RetryAfter: time.Duration(body.RetryAfterMs) * time.Millisecond,
	}
}

// one gives the single argument of a subcommand.
func two(args []string, what string) (string, string, error) {
	if len(args) != 2 {
		return "", "", failure.New(failure.BadRequest, "give %s", what)
	}
	return args[0], args[1], nil
}

func one(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", failure.New(failure.BadRequest, "give one %s", what)
	}
	return args[0], nil
}
