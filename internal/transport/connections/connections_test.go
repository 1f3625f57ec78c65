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

// Sockets that take the descriptors which files and other instances need.
func TestShareLeavesRoomForFiles(t *testing.T) {
	for _, limit := range []int{64, 256, 1024, 4096, 4100, 1 << 20} {
		for _, dials := range []bool{false, true} {
			is := is.New(t)
			s := ShareOf(limit, dials)
			is.True(s.Dialled+s.Accepted <= limit-min(reserved, limit/4))
			is.True(s.Accepted > 0)
			is.Equal(s.Dialled > 0, dials)
			is.True(s.Idle <= s.Dialled)
		}
	}
}

// A leader of the size that is designed for: a look at each of 1,900 workers beside 256
// orders must find a descriptor.
func TestShareHoldsALookAtEveryWorker(t *testing.T) {
	const workers, orders = 1900, 256
	is.New(t).True(ShareOf(4096, true).Dialled >= workers+orders)
}

// pipes dials connections in memory.
func pipes(context.Context, string, string) (net.Conn, error) {
	near, far := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, far) }()
	return near, nil
}

// A process whose connections to workers grow without a bound, until none is left for
// a file.
func TestDialsStayWithinTheirBound(t *testing.T) {
	is := is.New(t)
	logger, lines := test.NewNullLogger()
	g := NewGroup("dialled_test", 10, logger)
	var idle []net.Conn
	dial := g.Dialer(pipes, func() {
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
	is.NoErr(err) // the idle ones made room
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
	is.Equal(g.open.Value(), int64(9)) // a connection gives its place back once
}

// A dial that fails must not use up a place for good.
func TestFailedDialGivesItsPlaceBack(t *testing.T) {
	is := is.New(t)
	g := NewGroup("failed_test", 1, nil)
	refuse := func(context.Context, string, string) (net.Conn, error) { return nil, syscall.ECONNREFUSED }
	for range 3 {
		_, err := g.Dialer(refuse, func() {})(t.Context(), "tcp", "w")
		is.True(errors.Is(err, syscall.ECONNREFUSED))
	}
	is.Equal(g.open.Value(), int64(0))
}

// offered is a listener of connections in memory.
type offered struct{ conns chan net.Conn }

func (l offered) Accept() (net.Conn, error) {
	conn, ok := <-l.conns
	if !ok {
		return nil, net.ErrClosed
	}
	return conn, nil
}

func (l offered) Close() error   { return nil }
func (l offered) Addr() net.Addr { return &net.TCPAddr{} }

// Callers that keep their connections open, until the instance has no descriptor left:
// those beyond the bound are turned away at once.
func TestCallersBeyondTheBoundAreTurnedAway(t *testing.T) {
	is := is.New(t)
	g := NewGroup("accepted_test", 2, logrus.New())
	l := offered{make(chan net.Conn, 4)}
	listener := g.Listener(l)
	var callers []net.Conn
	for range 4 {
		caller, here := net.Pipe()
		callers = append(callers, caller)
		l.conns <- here
	}
	close(l.conns)
	first, err := listener.Accept()
	is.NoErr(err)
	_, err = listener.Accept()
	is.NoErr(err)
	_, err = listener.Accept()
	is.True(errors.Is(err, net.ErrClosed)) // the third and fourth were not handed on
	_, err = callers[2].Read(make([]byte, 1))
	is.True(errors.Is(err, io.EOF))
	first.Close()
	is.Equal(g.open.Value(), int64(1))
	is.Equal(g.refused.Value(), int64(2))
}
