package peers

import (
	"errors"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
)

// Somebody holds connections open and says nothing. They must not take the descriptors of the process, nor the
// place of an instance that calls.
func TestOldestSilentConnectionMakesWay(t *testing.T) {
	is := is.New(t)
	var silent silentConns
	dial := func() (client net.Conn, spoke func()) {
		client, server := net.Pipe()
		return client, silent.add(server)
	}
	caller, spoke := dial()
	spoke()
	spoke()
	oldest, _ := dial()
	for range maxSilent {
		dial()
	}
	_, err := oldest.Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	is.Equal(silent.conns.Len(), maxSilent)
	go func() { _ = caller.Close() }()
	_, err = caller.Write([]byte("x"))
	is.True(errors.Is(err, io.ErrClosedPipe)) // not closed by the other side
}
