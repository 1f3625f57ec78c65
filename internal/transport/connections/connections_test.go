package connections

import (
	"context"
	"errors"
	"io"
	"net"
	"syscall"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
)

// Connections must not use up the descriptors that files and other instances need.
func TestAllocationReservesDescriptorsForFiles(t *testing.T) {
	for _, limit := range []int{64, 256, 1024, 4096, 4100, 1 << 20} {
		for _, dialsUpstreams := range []bool{false, true} {
			is := is.New(t)
			s := Allocate(limit, dialsUpstreams)
			is.True(s.Dialled+s.Accepted <= limit-min(reservedDescriptors, limit/4))
			is.True(s.Accepted > 0)
			is.Equal(s.Dialled > 0, dialsUpstreams)
			is.True(s.Idle <= s.Dialled)
		}
	}
}

// A leader with the designed 1,900 workers must have a descriptor for a poll of each beside
// 256 commands.
func TestAllocationCoversAPollOfEveryWorker(t *testing.T) {
	const workers, commands = 1900, 256
	is.New(t).True(Allocate(4096, true).Dialled >= workers+commands)
}

// dialPipe dials an in-memory connection whose remote end discards all data.
func dialPipe(context.Context, string, string) (net.Conn, error) {
	local, remote := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	return local, nil
}

// Unlimited connections to workers would leave no descriptor for files. A dial at the limit
// closes idle connections; if none is idle, it fails with EMFILE.
func TestDialsStayWithinLimit(t *testing.T) {
	is := is.New(t)
	logger, lines := test.NewNullLogger()
	g := NewGroup("dialled_test", 10, logger)
	var idle []net.Conn
	dial := g.Dialer(dialPipe, func() {
		for _, conn := range idle {
			conn.Close()
		}
		idle = nil
	})
	for range 10 {
		conn, err := dial(t.Context(), "tcp", "w")
		is.NoErr(err)
		idle = append(idle, conn)
	}
	is.Equal(lines.LastEntry().Message, "connections near their bound")
	used, err := dial(t.Context(), "tcp", "w")
	is.NoErr(err) // the idle connections were closed
	is.Equal(g.open.Value(), int64(1))
	is.Equal(lines.LastEntry().Message, "connections away from their bound")
	for range 9 {
		_, err := dial(t.Context(), "tcp", "w")
		is.NoErr(err)
	}
	_, err = dial(t.Context(), "tcp", "w")
	is.True(errors.Is(err, syscall.EMFILE))
	is.Equal(g.peak.Value(), int64(10))
	used.Close()
	used.Close()
	is.Equal(g.open.Value(), int64(9)) // a second Close releases nothing
}

// A dial that fails must release its slot.
func TestFailedDialReleasesSlot(t *testing.T) {
	is := is.New(t)
	g := NewGroup("failed_test", 1, nil)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for range 3 {
		_, err := g.Dialer(refuse, func() {})(t.Context(), "tcp", "w")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	}
	is.Equal(g.open.Value(), int64(0))
}

// chanListener accepts connections from a channel.
type chanListener struct{ conns chan net.Conn }

func (l chanListener) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l chanListener) Close() error   { return nil }
func (l chanListener) Addr() net.Addr { return &net.TCPAddr{} }

// Callers that keep connections open could exhaust the instance's descriptors. Connections
// beyond the limit must be closed at once.
func TestConnectionsOverLimitAreRefused(t *testing.T) {
	is := is.New(t)
	g := NewGroup("accepted_test", 2, logrus.New())
	l := chanListener{make(chan net.Conn, 4)}
	listener := g.Listener(l)
	var callers []net.Conn
	for range 4 {
		caller, accepted := net.Pipe()
		callers = append(callers, caller)
		l.conns <- accepted
	}
	close(l.conns)
	first, err := listener.Accept()
	is.NoErr(err)
	_, err = listener.Accept()
	is.NoErr(err)
	_, err = listener.Accept()
	is.True(errors.Is(err, net.ErrClosed)) // the third and fourth were closed
	_, err = callers[2].Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	first.Close()
	is.Equal(g.open.Value(), int64(1))
	is.Equal(g.refused.Value(), int64(2))
}
