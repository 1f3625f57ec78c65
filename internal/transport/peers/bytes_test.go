package peers

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// frameHeader is the size of the header that yamux adds to each write, in bytes.
const frameHeader = 12

// wireBytes returns the bytes that a message takes on an open stream.
func wireBytes(b *testing.B, message proto.Message) float64 {
	b.Helper()
	var out bytes.Buffer
	if err := writeMessage(&out, message); err != nil {
		b.Fatal(err)
	}
	return float64(out.Len() + frameHeader)
}

func announcementOf(tasks int) *api.Announcement {
	a := &api.Announcement{
		ID: "worker-dc07-rack12-0042", Address: "10.123.45.67:7200", DataCentre: "dc07", Rack: "rack12",
		Cores: 128, MemoryMB: 262144, Accelerators: 8, Incarnation: time.Unix(1.8e9, 0).UnixNano(), Version: 1 << 20,
	}
	for i := range tasks {
		a.Tasks = append(a.Tasks, api.TaskReport{
			Job: fmt.Sprintf("span-%03d@c2026-12-01", i), Task: uint32(i), Epoch: 3, Phase: api.PhaseRunning, MemoryMB: 16384, CheckpointedMs: 1_200_000,
		})
	}
	return a
}

// BenchmarkBytesOfAnnouncement reports the size of an announcement and its answer over
// HTTP: with HTTP headers, without those of TCP and IP.
func BenchmarkBytesOfAnnouncement(b *testing.B) {
	for _, tasks := range []int{0, 10} {
		b.Run(fmt.Sprintf("tasks=%d", tasks), func(b *testing.B) {
			var out bytes.Buffer
			reply := &api.AnnounceReply{NextMs: 1000, LeaseMs: 10000}
			for range b.N {
				out.Reset()
				a := announcementOf(tasks)
				body, err := json.Marshal(a)
				if err != nil {
					b.Fatal(err)
				}
				request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://10.123.45.1:7100"+api.PathAnnounceWorker, bytes.NewReader(body))
				if err != nil {
					b.Fatal(err)
				}
				if err := request.Write(&out); err != nil {
					b.Fatal(err)
				}
				reply.Renew = reply.Renew[:0]
				for _, task := range a.Tasks {
					reply.Renew = append(reply.Renew, api.TaskRef{Job: task.Job, Task: task.Task, Epoch: task.Epoch})
				}
			}
			answer, err := json.Marshal(reply)
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(out.Len()), "B/request")
			b.ReportMetric(float64(len(answer)), "B/answer_body")
		})
	}
}

// BenchmarkBytesOfSoftState reports the bytes per upstream between two instances: its
// full state when it is new, a partial update when tasks or load change, and a renewal,
// which only the leader gets. The overhead of a batch is shared by its upstreams.
func BenchmarkBytesOfSoftState(b *testing.B) {
	now := time.Unix(1_000_000, 0)
	const upstreams = 158 // 1,900 workers over 12 instances
	announce := func(registry *membership.Registry, version uint64, tasks int) {
		for i := range upstreams {
			a := announcementOf(tasks)
			a.ID = fmt.Sprintf("worker-dc07-rack12-%04d", i)
			a.Version = version
			if err := registry.Merge(a.Upstream(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, time.Hour)); err != nil {
				b.Fatal(err)
			}
		}
	}
	for range b.N {
		registry := membership.NewRegistry(membership.Config{Self: "i1", Incarnation: 1, Now: func() time.Time { return now }})
		announce(registry, 1, 9)
		full := registry.Changes(1, 0, 1<<20)
		announce(registry, 1<<20, 10)
		partial := registry.Changes(1, full.To, 1<<20)
		renewal := &peerpb.SoftBatch{}
		renewal.Renewed, renewal.Versions = registry.Renewals(map[uint32]uint64{})
		b.ReportMetric(wireBytes(b, full)/upstreams, "B/upstream_whole")
		b.ReportMetric(wireBytes(b, partial)/upstreams, "B/upstream_part")
		b.ReportMetric(wireBytes(b, renewal)/upstreams, "B/upstream_renewal")
	}
}

// BenchmarkBytesOfHeartbeat reports the size of a ping and its answer on a watch and on a
// follow stream.
func BenchmarkBytesOfHeartbeat(b *testing.B) {
	for range b.N {
		b.ReportMetric(wireBytes(b, &peerpb.WatchPing{Number: 1 << 16}), "B/watch_ping")
		b.ReportMetric(wireBytes(b, &peerpb.SoftBatch{Echo: 1 << 16}), "B/watch_answer")
		b.ReportMetric(wireBytes(b, &peerpb.FollowPing{Number: 1 << 16}), "B/follow_ping")
		b.ReportMetric(wireBytes(b, &peerpb.FollowBatch{Echo: 1 << 16, Commit: 1 << 20, AgeMs: 300}), "B/follow_answer")
	}
}

// BenchmarkBytesOfCommands reports the size of a log batch with one command.
func BenchmarkBytesOfCommands(b *testing.B) {
	entry := &controlpb.Entry{Name: "span-001", Customer: "crews", WorkClass: "clearance", PeriodMs: 86_400_000, Attributes: map[string]string{"line": "Dolgarrog-12"}}
	item := &controlpb.Item{Key: "entry/span-001", Body: &controlpb.Item_Entry{Entry: entry}}
	claim := &controlpb.Claim{
		Key: "01JE4Y8Q6V8Z0Y3M5N7P9R1S2T", Customer: "crews", Service: "cut-order", BodyHash: make([]byte, 32),
		Instance: "i1/01JE4Y8Q6V8Z0Y3M5N7P9R1S2T", ExpiresMs: 1_796_237_462_774,
	}
	commands := map[string]*controlpb.Command{
		"B/apply_one_entry": {Client: "ops/01JE4Y8Q6V8Z0Y3M5N7P9R1S2T", Sequence: 1, TimeMs: 1_796_237_462_774, Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{ExpectedRevision: 1000, Set: []*controlpb.Item{item}}}},
		"B/claim":           {TimeMs: 1_796_237_462_774, Op: &controlpb.Command_Claims{Claims: &controlpb.ClaimRequests{Claims: []*controlpb.Claim{claim}}}},
	}
	for range b.N {
		for name, command := range commands {
			batch := &peerpb.FollowBatch{Echo: 1 << 16, Commit: 1 << 20, Entries: []*peerpb.LogEntry{{Index: 1 << 20, Term: 3, Command: command}}}
			b.ReportMetric(wireBytes(b, batch), name)
		}
	}
}
