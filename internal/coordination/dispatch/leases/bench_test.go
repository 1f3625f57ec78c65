package leases

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// BenchmarkReport measures what one poll response costs the leader: the tracker applies
// the report of a worker with 8 runs, acknowledges committed ends, looks for orphaned
// runs and builds the view for dispatch, with 2,800 open jobs in the state.
func BenchmarkReport(b *testing.B) {
	snapshot := &controlpb.Snapshot{}
	for i := range 2800 {
		snapshot.Jobs = append(snapshot.Jobs, &controlpb.Job{
			Id: fmt.Sprintf("w%d.0.0.0", i), Tasks: 1, Epoch: 1, State: controlpb.JobState_JOB_STATE_RUNNING,
		})
	}
	state := store.Restore(snapshot)
	report := &Report{Clock: 100}
	for i := range 8 {
		report.Running = append(report.Running, Running{Task: fmt.Sprintf("w%d.0.0.0", 300*i), Run: 1, Percent: 20})
	}
	worker := &peerpb.Upstream{Id: "worker", Address: "127.0.0.1:1", Services: []string{"s"}}
	tracker := NewTracker(lease, startTime)
	for b.Loop() {
		report.Clock++
		tracker.ApplyReport(report, at(0))
		tracker.rates(state)
		tracker.AcknowledgeCommitted(state)
		tracker.Orphans(state)
		proto.CloneOf(worker).Tasks = tracker.Tasks(state)
	}
}
