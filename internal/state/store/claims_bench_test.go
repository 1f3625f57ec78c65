package store

import (
	"fmt"
	"runtime"
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkClaimMemory measures the bytes of a retained claim and of a spent key.
func BenchmarkClaimMemory(b *testing.B) {
	const count = 200_000
	for range b.N {
		before := heapBytes()
		state := stateAt(testStart)
		for n := range count {
			claim := claimOf(fmt.Sprintf("order-%d", n), 1, "01M8W1D6B3NN436GYXQEJG0T8B")
			claim.BodyHash, claim.Service, claim.Instance = make([]byte, 32), "cut-order", "i1"
			state.acquireClaims(&controlpb.ClaimRequests{Claims: []*controlpb.Claim{claim}})
		}
		kept := heapBytes()
		state.timeMs += 2 * claimRetention.Milliseconds()
		state.expireClaims(count)
		spent := heapBytes()
		runtime.KeepAlive(state)
		b.ReportMetric((kept-before)/count, "B/claim")
		b.ReportMetric((spent-before)/count, "B/spent-key")
	}
}
