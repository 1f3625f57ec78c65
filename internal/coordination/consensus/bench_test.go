package consensus

import (
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

var command = make([]byte, 200)

// ready gives a cluster with a leader that has committed.
func ready(voters int) (*world, *replica) {
	config := calm
	config.MaxAppendBytes, config.MaxInflight = 128<<10, 32
	w := newWorld(1, voters, config, planted{})
	leader, _ := w.led()
	w.unchecked = true
	for _, r := range w.replicas {
		r.disk.none = true
	}
	return w, leader
}

// BenchmarkCommit gives messages and bytes of all replicas for each committed
// command of 200 bytes, and the processor time of all of them together.
func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		for _, batch := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				w, leader := ready(voters)
				var messages, bytes int
				w.sent = func(m *consensuspb.Message) {
					messages++
					bytes += proto.Size(m)
				}
				commands := make([][]byte, batch)
				for i := range commands {
					commands[i] = command
				}
				for b.Loop() {
					_, _ = leader.node.Propose(commands...)
					w.drain()
					w.forget()
				}
				done := float64(b.N * batch)
				b.ReportMetric(float64(messages)/done, "messages/command")
				b.ReportMetric(float64(bytes)/done, "B/command")
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/done, "ns/command")
			})
		}
	}
}

// BenchmarkIdleTick is a tick of all replicas with nothing to do: heartbeats
// every second tick, and their answers.
func BenchmarkIdleTick(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			w, _ := ready(voters)
			messages, bytes := 0, 0
			w.sent = func(m *consensuspb.Message) {
				messages++
				bytes += proto.Size(m)
			}
			for b.Loop() {
				w.round()
				w.forget()
			}
			b.ReportMetric(float64(messages)/float64(b.N), "messages/tick")
			b.ReportMetric(float64(bytes)/float64(b.N), "B/tick")
		})
	}
}

// forget compacts what a benchmark has left behind.
func (w *world) forget() {
	for _, r := range w.replicas {
		r.view.acknowledgedAt = r.view.acknowledgedAt[:1]
		if r.node.log.applied-r.node.log.base > 4096 {
			r.node.Compact(r.node.log.applied)
		}
	}
}
