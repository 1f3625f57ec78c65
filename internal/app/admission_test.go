package app

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that is ended for its memory: with all connections open and all
// bytes charged, a part of the memory must be left for its state.
func TestAdmissionLeavesMemoryForTheState(t *testing.T) {
	for _, memory := range []uint64{32 * bytesPerMB, 284 * bytesPerMB, 4096 * bytesPerMB} {
		is := is.New(t)
		limits := admissionLimits(memory, 3588)
		is.True(limits.Connections <= 3588-acceptMargin)
		is.True(limits.Connections > 0)
		held := int64(limits.Connections)*connectionBytes + limits.MessageBytes
		is.True(float64(held) <= (connectionShare+messageShare)*float64(memory))
	}
	is.New(t).Equal(admissionLimits(0, 100).Connections, 96)
}
