package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// A healthy worker that lost its tasks because the instance it announced itself to was
// cut off, and answered all the same.
func TestWorkersBehindACutOffInstanceKeepTheirGang(t *testing.T) {
	is := is.New(t)
	m := gangOf(3, &controlpb.Job{RunTimeMs: 60000})
	m.other = &entry{clock: steady(), state: m.state}
	m.untilState(t, running)
	m.entry.cut = true
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}
