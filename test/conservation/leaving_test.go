package conservation

import (
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/experiment/load"
	"pinewinch.example/pinewinch/internal/standin"
	"pinewinch.example/pinewinch/test/process"
)

// BenchmarkLeaving measures the time from a minion's announcement that it leaves until
// the last request that it receives from any of 9 instances under load.
func BenchmarkLeaving(b *testing.B) {
	running := startInstances(b, 9, "notice = 10ms\ngrace = 1s\n")
	options := standin.MinionOptions{Delay: 5 * time.Millisecond}
	minions := []*standin.Minion{startMinion(b, running, options), startMinion(b, running, options)}
	var servers []string
	for _, i := range running {
		servers = append(servers, i.URL)
	}
	client := load.NewClient(process.Tokens["crews"])
	serve := load.Options{Servers: servers, Rate: 400, Over: 2 * time.Second}
	var worst, sum time.Duration
	b.ResetTimer()
	for n := range b.N {
		leaving := minions[n%2]
		var announced time.Time
		time.AfterFunc(time.Second, func() {
			announced = time.Now()
			leaving.Leave()
		})
		load.Run(b.Context(), serve, client.Requests("report", false, []byte("ash")))
		took := max(0, leaving.LastRun().Sub(announced))
		worst, sum = max(worst, took), sum+took
		leaving.Return()
		time.Sleep(time.Second)
	}
	b.ReportMetric(worst.Seconds(), "worst-s")
	b.ReportMetric(sum.Seconds()/float64(b.N), "mean-s")
}
