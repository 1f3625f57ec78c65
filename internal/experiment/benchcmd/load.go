package benchcmd

import (
	"context"
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/load"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

func loadCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("load", flag.ContinueOnError)
	servers := flags.String("servers", "http://127.0.0.1:7100", "instances, separated by commas")
	token := flags.String("token", "", "customer's token, or operator's token for changes")
	perSecond := flags.Float64("rate", 10, "arrivals a second")
	over := flags.Duration("over", 10*time.Second, "how long")
	kind := flags.String("kind", "requests", "kind of load: requests, keyed, jobs or changes")
	name := flags.String("name", "", "service for requests, class of work for jobs and changes")
	customer := flags.String("customer", "crews", "customer of changed entries")
	bytes := flags.Int("bytes", 100, "size of the request body in bytes")
	return &ffcli.Command{Name: "load", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		options := load.Options{Servers: strings.Split(*servers, ","), Token: *token, Rate: *perSecond, Over: *over}
		client := load.NewClient(*token)
		body := []byte(strings.Repeat("x", *bytes))
		var do load.Do
		switch *kind {
		case "requests":
			do = client.Requests(*name, false, body)
		case "keyed":
			do = client.Requests(*name, true, body)
		case "jobs":
			do = client.Jobs(*name)
		case "changes":
			changer, err := load.NewChanger(ctx, client, options.Servers[0], *customer, *name)
			if err != nil {
				return err
			}
			do = changer.Do
		default:
			return failure.New(failure.BadRequest, "unknown kind of load %q", *kind)
		}
		return load.Run(ctx, options, do).Print(out)
	}}
}
