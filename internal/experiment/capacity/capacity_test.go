package capacity

import (
	"bytes"
	"context"
	"net/http"
	"net/http/httptest"
	"os"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestFitFindsSlopeOfEachRole(t *testing.T) {
	is := is.New(t)
	var points []Point
	for _, size := range []float64{0, 10, 20} {
		points = append(points,
			Point{"followers", size, "leader", MetricCPU, 1 + 0.5*size},
			Point{"followers", size, "voter", MetricCPU, 2},
			Point{"followers", size, "voter", MetricCPU, 4},
			Point{"followers", size, "voter", MetricMemory, 0},
		)
	}
	lines := Fit(points)
	is.Equal(len(lines), 2)
	is.Equal(lines[0].Role, "leader")
	is.True(lines[0].Linear())
	is.Equal(lines[0].At(100), 51.0)
	is.Equal(lines[1].Slope, 0.0)
	is.Equal(lines[1].At(100), 3.0)
}

// Growth that is not linear must not be extrapolated by its slope: the slope of a quadratic
// measured at a few sizes, for example, would predict far too little at the planned size.
func TestFitDetectsNonlinearGrowth(t *testing.T) {
	is := is.New(t)
	var points []Point
	for _, size := range []float64{0, 10, 20, 30, 400} {
		points = append(points, Point{"workers", size, "leader", MetricCPU, 100 * (1 - 1/(1+size))})
	}
	is.True(!Fit(points)[0].Linear())
}

func TestPointsRoundTripThroughFile(t *testing.T) {
	is := is.New(t)
	points := []Point{{"workers", 50, "entry", MetricMemory, 31.25}}
	var file bytes.Buffer
	is.NoErr(WritePoints(&file, points))
	read, err := ReadPoints(&file)
	is.NoErr(err)
	is.Equal(read, points)
	_, err = ReadPoints(bytes.NewBufferString("workers,many,entry,x,1\n"))
	is.True(err != nil)
}

func TestSampleConvertsCountersToRates(t *testing.T) {
	is := is.New(t)
	served := 0
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		is.Equal(r.Header.Get("Authorization"), "Bearer secret")
		served++
		body := `{"peer_bytes_sent":1000,"peer_bytes_received":0,"http_bytes_sent":0,"http_bytes_received":0,` +
			`"upstream_bytes_sent":0,"upstream_bytes_received":0,"control_commits":0,"control_syncs":0}`
		if served == 1 {
			body = `{"peer_bytes_sent":0,` + body[len(`{"peer_bytes_sent":1000,`):]
		}
		_, _ = w.Write([]byte(body))
	}))
	defer server.Close()
	targets := []Target{{Role: "leader", PID: os.Getpid(), Server: server.URL}}
	points, err := Sample(context.Background(), "workers", 1, "secret", targets, time.Millisecond)
	is.NoErr(err)
	for _, p := range points {
		if p.Metric == "peer_bytes_sent_per_s" {
			is.True(p.Value > 0)
		}
	}
	is.Equal(len(points), len(rateCounters)+2)
}
