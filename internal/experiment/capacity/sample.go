// Package capacity measures the resource use of running instances and fits lines through
// the points, which gives the slopes in docs/CAPACITY.md. A script starts the processes;
// this package only reads them.
package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Target is one process to measure: its role, process id and base URL.
type Target struct {
	Role   string
	PID    int
	Server string
}

// ParseTargets parses a list such as "leader=123@http://127.0.0.1:7100,...". Of a target
// without an address, such as a stand-in, only the process itself is measured.
func ParseTargets(text string) ([]Target, error) {
	var targets []Target
	for _, part := range strings.Split(text, ",") {
		role, process, ok := strings.Cut(part, "=")
		pidText, server, _ := strings.Cut(process, "@")
		pid, err := strconv.Atoi(pidText)
		if !ok || err != nil {
			return nil, failure.New(failure.BadRequest, "%q is not role=pid@address", part)
		}
		targets = append(targets, Target{Role: role, PID: pid, Server: server})
	}
	return targets, nil
}

// Point is one measured value of one role at one size.
type Point struct {
	Series string
	Size   float64
	Role   string
	Metric string
	Value  float64
}

// The metrics that the operating system gives for a process.
const (
	MetricCPU    = "cpu_percent_of_a_core"
	MetricMemory = "resident_mb"
)

// rateCounters are the counters of /debug/vars that are converted to rates per second.
var rateCounters = []string{
	"peer_bytes_sent", "peer_bytes_received",
	"http_bytes_sent", "http_bytes_received",
	"upstream_bytes_sent", "upstream_bytes_received",
	"control_commits", "control_syncs",
}

// reading holds the measurements of a process at one time.
type reading struct {
	at       time.Time
	cpu      time.Duration
	memoryMB float64
	counters map[string]float64
}

// Sample reads every target twice, the given time apart, and returns the points of the
// given series and size. The metrics of counters are rates per second.
func Sample(ctx context.Context, series string, size float64, token string, targets []Target, over time.Duration) ([]Point, error) {
	before, err := readAll(ctx, token, targets)
	if err != nil {
		return nil, err
	}
	select {
	case <-ctx.Done():
		return nil, failure.Wrap(failure.OutcomeUnknown, ctx.Err(), "sample")
	case <-time.After(over):
	}
	after, err := readAll(ctx, token, targets)
	if err != nil {
		return nil, err
	}
	var points []Point
	for i, target := range targets {
		for metric, value := range pointValues(before[i], after[i]) {
			points = append(points, Point{Series: series, Size: size, Role: target.Role, Metric: metric, Value: value})
		}
	}
	return points, nil
}

func readAll(ctx context.Context, token string, targets []Target) ([]reading, error) {
	readings := make([]reading, len(targets))
	for i, target := range targets {
		var err error
		if readings[i], err = read(ctx, token, target); err != nil {
			return nil, err
		}
	}
	return readings, nil
}

func pointValues(before, after reading) map[string]float64 {
	seconds := after.at.Sub(before.at).Seconds()
	values := map[string]float64{
		MetricCPU:    100 * (after.cpu - before.cpu).Seconds() / seconds,
		MetricMemory: after.memoryMB,
	}
	for name, value := range after.counters {
		values[name+"_per_s"] = (value - before.counters[name]) / seconds
	}
	return values
}

func read(ctx context.Context, token string, target Target) (reading, error) {
	r := reading{}
	var err error
	if r.cpu, err = processorTime(target.PID); err != nil {
		return r, err
	}
	if r.memoryMB, err = residentMB(target.PID); err != nil {
		return r, err
	}
	r.at = time.Now()
	if target.Server == "" {
		return r, nil
	}
	r.counters, err = counters(ctx, token, target.Server)
	return r, err
}

// ticksPerSecond is the unit of the processor times in /proc on Linux.
const ticksPerSecond = 100

// Indices of fields of /proc/PID/stat after the command name, from 0.
const (
	fieldUserTicks   = 11
	fieldSystemTicks = 12
)

func processorTime(pid int) (time.Duration, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, failure.Wrap(failure.NotFound, err, "process %d", pid)
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= fieldSystemTicks {
		return 0, failure.New(failure.Internal, "short stat of process %d", pid)
	}
	var ticks int64
	for _, field := range []int{fieldUserTicks, fieldSystemTicks} {
		n, err := strconv.ParseInt(fields[field], 10, 64)
		if err != nil {
			return 0, failure.Wrap(failure.Internal, err, "stat of process %d", pid)
		}
		ticks += n
	}
	return time.Duration(ticks) * time.Second / ticksPerSecond, nil
}

func residentMB(pid int) (float64, error) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, failure.Wrap(failure.NotFound, err, "process %d", pid)
	}
	for _, line := range strings.Split(string(text), "\n") {
		kilobytes, ok := strings.CutPrefix(line, "VmRSS:")
		if !ok {
			continue
		}
		n, err := strconv.ParseFloat(strings.Fields(kilobytes)[0], 64)
		if err != nil {
			return 0, failure.Wrap(failure.Internal, err, "status of process %d", pid)
		}
		return n / 1024, nil
	}
	return 0, failure.New(failure.Internal, "no VmRSS of process %d", pid)
}

func counters(ctx context.Context, token, server string) (map[string]float64, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, server+api.PathVars, nil)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", server)
	}
	request.Header.Set("Authorization", "Bearer "+token)
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "counters of %s", server)
	}
	defer response.Body.Close()
	all := map[string]json.RawMessage{}
	if err := json.NewDecoder(response.Body).Decode(&all); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "counters of %s", server)
	}
	selected := map[string]float64{}
	for _, name := range rateCounters {
		value, err := strconv.ParseFloat(string(all[name]), 64)
		if err != nil {
			return nil, failure.New(failure.WrongAnswer, "%s has no counter %s", server, name)
		}
		selected[name] = value
	}
	return selected, nil
}
