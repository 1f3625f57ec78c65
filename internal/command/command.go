// Package command implements the pinewinch tool, with related subcommands in a file each.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// defaultRetryTimeout is longer than the election of a new leader takes.
const defaultRetryTimeout = 5 * time.Second

// Tool holds the flags and the client that all subcommands share.
type Tool struct {
	out          io.Writer
	servers      string
	token        string
	authority    string
	format       string
	retryTimeout time.Duration
	client       *client
}

// Run parses the arguments, runs one subcommand and returns the exit code.
func Run(args []string, out, errors io.Writer) int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	tool := &Tool{out: out}
	root := tool.root()
	if err := root.Parse(args); err != nil {
		if !isHelp(err) {
			err = failure.Wrap(failure.BadRequest, err, "command line")
		}
		return reportTo(errors, err)
	}
	if err := root.Run(ctx); err != nil {
		return reportTo(errors, err)
	}
	return 0
}

func isHelp(err error) bool { return errors.Is(err, flag.ErrHelp) }

func reportTo(w io.Writer, err error) int {
	if isHelp(err) {
		return 0
	}
	f := failure.From(err)
	fmt.Fprintln(w, f.Error())
	if f.Code == failure.Conflict {
		fmt.Fprintf(w, "the declarations are at revision %d now\n", f.Revision)
	}
	if f.RetryAfter > 0 {
		fmt.Fprintf(w, "retry after %s\n", f.RetryAfter)
	}
	fmt.Fprintf(w, "not run: %s\n", f.NotRun)
	return f.ExitCode()
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
			t.watchCommand(),
			t.submitCommand(),
			t.cancelCommand(),
			t.workflowCommand(),
			t.requestCommand(),
			t.explainCommand(),
			t.interferenceCommand(),
			t.traceCommand(),
			t.drainCommand(),
			t.evacuateCommand(),
			t.readmitCommand(),
			t.evacuationsCommand(),
			t.dumpCommand(),
			t.membersCommand(),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return failure.New(failure.BadRequest, "no subcommand %q", args[0])
			}
			return flag.ErrHelp
		},
	}
}

// flags returns the flag set of a subcommand with the flags that all share.
func (t *Tool) flags(name string) *flag.FlagSet {
	flags := flag.NewFlagSet("pinewinch "+name, flag.ContinueOnError)
	flags.StringVar(&t.servers, "server", "http://127.0.0.1:7100", "addresses of any instances, separated by commas")
	flags.StringVar(&t.token, "token", "", "token of the operator or customer")
	flags.StringVar(&t.authority, "authority", "", "file with the certificates to trust, for https")
	flags.StringVar(&t.format, "o", formatTable, "table or json")
	flags.DurationVar(&t.retryTimeout, "patience", defaultRetryTimeout, "how long to retry where that is safe")
	return flags
}

// help is the short help of each subcommand.
var help = map[string]string{
	"apply":        "bring declarations into force",
	"diff":         "show what an apply would change",
	"get":          "show the declarations in force, or jobs",
	"status":       "completion, fragmentation and waste",
	"watch":        "the same, a line for each change",
	"submit":       "submit jobs of a class",
	"cancel":       "cancel jobs",
	"workflow":     "submit, show or cancel a graph of steps",
	"request":      "send a request to a minion and print its answer",
	"explain":      "why a job waits",
	"interference": "which classes slow down which others on one worker",
	"trace":        "the log lines about an id, from the logs of all processes",
	"drain":        "give an upstream no new work",
	"evacuate":     "send nothing more to the upstreams of a data centre",
	"readmit":      "end the evacuation of a data centre",
	"evacuations":  "data centres, and which are evacuated",
	"dump":         "what one process knows",
	"members":      "instances, and who keeps the log",
}

func options() []ff.Option {
	return []ff.Option{ff.WithEnvVarPrefix("PINEWINCH")}
}

func (t *Tool) command(name, usage string, flags *flag.FlagSet, exec func(context.Context, []string) error) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortHelp:  help[name],
		ShortUsage: "pinewinch " + name + " [flags] " + usage,
		FlagSet:    flags,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if t.format != formatTable && t.format != formatJSON {
				return failure.New(failure.BadRequest, "-o is table or json, not %q", t.format)
			}
			for _, arg := range args {
				if strings.HasPrefix(arg, "-") {
					return failure.New(failure.BadRequest, "flags go before arguments: %s", arg)
				}
			}
			return exec(ctx, args)
		},
	}
}

// get reads a path and decodes the response.
func (t *Tool) get(ctx context.Context, path string, into any) error {
	return t.call(ctx, &apiCall{method: http.MethodGet, path: path, idempotent: true}, nil, into)
}

// call makes an API call and decodes the response; body and into may be nil.
func (t *Tool) call(ctx context.Context, call *apiCall, body, into any) error {
	if body != nil {
		var err error
		if call.body, err = json.Marshal(body); err != nil {
			return failure.Wrap(failure.Internal, err, "encode")
		}
	}
	text, err := t.send(ctx, call)
	if err != nil {
		return err
	}
	if into == nil {
		return nil
	}
	if err := json.Unmarshal(text, into); err != nil {
		return failure.Ran(failure.WrongAnswer, failure.NotRunUnknown, err, "answer of %s", call.path)
	}
	return nil
}

func (t *Tool) send(ctx context.Context, call *apiCall) ([]byte, error) {
	if t.client == nil {
		c, err := newClient(t.servers, t.token, t.authority, t.retryTimeout)
		if err != nil {
			return nil, err
		}
		t.client = c
	}
	return t.client.send(ctx, call)
}

// singleArgument returns the only argument of a subcommand.
func singleArgument(args []string, what string) (string, error) {
	if len(args) != 1 {
		return "", failure.New(failure.BadRequest, "give one %s", what)
	}
	return args[0], nil
}
