package consensus

import (
	"fmt"
	"slices"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
)

const (
	commandBytes = 200
	// identityBytes is what a real identity is longer than the network's ones:
	// 26 characters of ULID in place of one.
	identityBytes = 25
)

// ready gives a cluster with a leader that has committed, unchecked.
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

// measure repeats an event and gives messages and bytes of all replicas, and
// their processor time together, for each unit of it.
func measure(b *testing.B, w *world, units int, unit string, event func()) {
	messages, bytes := 0, 0
	w.sent = func(m *consensuspb.Message) {
		messages++
		bytes += proto.Size(m) + 2*identityBytes
	}
	for b.Loop() {
		event()
		w.forget()
	}
	all := float64(b.N * units)
	b.ReportMetric(float64(messages)/all, "messages/"+unit)
	b.ReportMetric(float64(bytes)/all, "B/"+unit)
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/all, "ns/"+unit)
}

func BenchmarkCommit(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		for _, batch := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("voters=%d/batch=%d", voters, batch), func(b *testing.B) {
				w, leader := ready(voters)
				commands := slices.Repeat([][]byte{make([]byte, commandBytes)}, batch)
				measure(b, w, batch, "command", func() {
					_, _ = leader.node.Propose(commands...)
					w.drain()
				})
			})
		}
	}
}

// BenchmarkIdleTick: heartbeats every second tick, and their answers.
func BenchmarkIdleTick(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			w, _ := ready(voters)
			measure(b, w, 1, "tick", w.round)
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
