package leases

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// BenchmarkReport reports what one answer to a look costs the leader: the ledger takes in
// a worker of 8 runs, settles, looks for unwanted runs and makes the view for dispatch,
// with 2,800 open jobs in the state.
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
	ledger := NewLedger(lease, begin)
	for b.Loop() {
		report.Clock++
		ledger.Take(report, at(0))
		ledger.rates(state)
		ledger.Settle(state)
		ledger.Orphans(state)
		proto.CloneOf(worker).Tasks = ledger.Tasks(state)
	}
}
