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
	// identityBytes is the difference in length between a real identity, which contains
	// a ULID of 26 characters, and the simulation's, which has one character in its
	// place.
	identityBytes = 25
)

// benchmarkSimulation returns a simulation without checks and disks, and its leader,
// which has committed an entry of its term.
func benchmarkSimulation(voters int) (*simulation, *replica) {
	config := typicalConfig
	config.MaxAppendBytes, config.MaxInflight = 128<<10, 32
	sim := newSimulation(1, voters, config, injectedFaults{})
	leader, _ := sim.electLeader()
	sim.unchecked = true
	for _, r := range sim.replicas {
		r.disk.discard = true
	}
	return sim, leader
}

// measure repeats an event and reports, per unit of it, the messages and bytes sent by
// all replicas and their total processor time.
func measure(b *testing.B, sim *simulation, units int, unit string, event func()) {
	messages, bytes := 0, 0
	sim.onSend = func(m *consensuspb.Message) {
		messages++
		bytes += proto.Size(m) + 2*identityBytes
	}
	for b.Loop() {
		event()
		sim.compactLogs()
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
				sim, leader := benchmarkSimulation(voters)
				commands := slices.Repeat([][]byte{make([]byte, commandBytes)}, batch)
				measure(b, sim, batch, "command", func() {
					_, _ = leader.node.Propose(commands...)
					sim.drain()
				})
			})
		}
	}
}

// BenchmarkIdleTick measures heartbeats, sent every second tick, and their replies.
func BenchmarkIdleTick(b *testing.B) {
	for _, voters := range []int{3, 5, 7} {
		b.Run(fmt.Sprintf("voters=%d", voters), func(b *testing.B) {
			sim, _ := benchmarkSimulation(voters)
			measure(b, sim, 1, "tick", sim.round)
		})
	}
}

// compactLogs limits the memory that a benchmark uses.
func (sim *simulation) compactLogs() {
	for _, r := range sim.replicas {
		r.history.acknowledgedTermAt = r.history.acknowledgedTermAt[:1]
		if r.node.log.applied-r.node.log.base > 4096 {
			r.node.Compact(r.node.log.applied)
		}
	}
}
