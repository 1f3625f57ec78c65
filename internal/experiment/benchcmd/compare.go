package benchcmd

import (
	"context"
	"flag"
	"io"
	"strings"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/experiment/load"
)

func compareCommand(out io.Writer) *ffcli.Command {
	flags := flag.NewFlagSet("compare", flag.ContinueOnError)
	servers := flags.String("servers", "http://127.0.0.1:7100", "instances, separated by commas")
	minions := flags.String("minions", "", "minions for direct requests, separated by commas")
	token := flags.String("token", "", "customer's token")
	repeatable := flags.String("idempotent", "report", "idempotent service")
	once := flags.String("once", "cut-order", "service that is not idempotent")
	perSecond := flags.Float64("rate", 400, "arrivals a second, for the latencies")
	callers := flags.Int("callers", 16, "concurrent callers, for the saturated rate")
	rounds := flags.Int("rounds", 5, "rounds of each mode")
	round := flags.Duration("round", time.Second, "length of one round")
	return &ffcli.Command{Name: "compare", FlagSet: flags, Exec: func(ctx context.Context, _ []string) error {
		client := load.NewClient(*token)
		body := []byte(strings.Repeat("x", 100))
		instances, direct := strings.Split(*servers, ","), strings.Split(*minions, ",")
		modes := []load.Mode{
			{Name: "direct", Servers: direct, Do: client.Direct(*repeatable, body)},
			{Name: "idempotent", Servers: instances, Do: client.Requests(*repeatable, false, body)},
			{Name: "at most once", Servers: instances, Do: client.Requests(*once, true, body)},
		}
		reports := load.Compare(ctx, modes, *perSecond, *rounds, *round)
		rates := load.Saturate(ctx, modes, *callers, *rounds, *round)
		return load.PrintComparison(out, modes, reports, rates)
	}}
}
