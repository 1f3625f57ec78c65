package store

import (
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// BenchmarkBytes measures the bytes that one item of the state takes in memory and in a
// snapshot, for docs/CAPACITY.md.
func BenchmarkBytes(b *testing.B) {
	placed := func(tasks int) func(n int) *controlpb.Command {
		return func(n int) *controlpb.Command {
			job := &controlpb.Job{Id: fmt.Sprintf("crews:span-%08d", n), Customer: "crews", WorkClass: "clearance", Tasks: uint32(tasks), Accelerators: 1}
			for task := range tasks {
				job.Placements = append(job.Placements, &controlpb.Placement{Task: uint32(task), Worker: fmt.Sprintf("worker-%04d", task), Accelerators: []uint32{3}})
			}
			return &controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}}
		}
	}
	entry := func(n int) *controlpb.Command {
		item := &controlpb.Item{Key: fmt.Sprintf("entry/span-%08d", n), Body: &controlpb.Item_Entry{Entry: &controlpb.Entry{
			Name: fmt.Sprintf("span-%08d", n), Customer: "crews", WorkClass: "clearance", PeriodMs: 86400000,
			Attributes: map[string]string{"line": "Dolgarrog-12", "pole": "17"},
		}}}
		return &controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{ExpectedRevision: uint64(n), Set: []*controlpb.Item{item}}}}
	}
	workflow := func(n int) *controlpb.Command {
		w := &controlpb.Workflow{
			Id: fmt.Sprintf("%016x", n), Queue: "r-2g7f9kf", Customer: "jeye332", Specification: "analyse span 17 of line Dolgarrog-12",
			Steps:   []*controlpb.Step{{Count: 16, CoresMilli: 11000, MemoryMb: 59000, Accelerators: 1, RunTimeMs: 9500}},
			Service: "citas", MaxAttempts: 3, SlackThousandths: 3000, TargetLatencyMs: 3000, Priority: 2,
		}
		return &controlpb.Command{Op: &controlpb.Command_SubmitWorkflow{SubmitWorkflow: &controlpb.SubmitWorkflow{Workflow: w}}}
	}
	for _, kind := range []struct {
		name    string
		command func(n int) *controlpb.Command
	}{
		{"entry", entry},
		{"job-1-task", placed(1)},
		{"workflow-16-tasks", workflow},
		{"job-16-tasks", placed(16)},
		{"job-128-tasks", placed(128)},
	} {
		b.Run(kind.name, func(b *testing.B) { measureBytes(b, kind.command) })
	}
}

func measureBytes(b *testing.B, command func(n int) *controlpb.Command) {
	const items = 4000
	for b.Loop() {
		before := heapBytes()
		state := New()
		for n := range items {
			state, _ = state.Apply(uint64(n+1), command(n))
		}
		inMemory := (heapBytes() - before) / items
		inSnapshot := float64(proto.Size(state.Snapshot())) / items
		b.ReportMetric(inMemory, "B/item")
		b.ReportMetric(inSnapshot, "snapshot-B/item")
		runtime.KeepAlive(state)
	}
}
