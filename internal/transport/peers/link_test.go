package peers

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

// stuckConn takes as long to close as the test wants.
type stuckConn struct {
	net.Conn
	release chan struct{}
}

func (c *stuckConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// patience bounds the wait of a test for what never comes where the fault is back.
const patience = 20 * time.Second

// linkWithReader gives a link whose connection is slow to close, a read that waits on
// one of its streams, and the other end.
func linkWithReader(t *testing.T) (l *link, ended chan error, there net.Conn) {
	here, there := net.Pipe()
	stuck := &stuckConn{Conn: here, release: make(chan struct{})}
	l, err := clientLink(stuck)
	is.New(t).NoErr(err)
	go func() { _, _ = io.Copy(io.Discard, there) }()
	s, err := l.Open()
	is.New(t).NoErr(err)
	ended = make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 1))
		ended <- err
	}()
	t.Cleanup(func() {
		close(stuck.release)
		there.Close()
	})
	return l, ended, there
}

// An instance closes a link while a read waits on a stream. From then until its
// streams are marked as closed, such a read would go round without sleeping; with two
// of them on two threads the marking never runs and the process hangs.
func TestReadsOfAClosingLinkEndBeforeItsStreams(t *testing.T) {
	l, ended, _ := linkWithReader(t)
	go l.Close()
	endsWithTimeout(t, ended)
}

// The connection breaks under a link. Its reads end before the session learns of it.
func TestReadsOfABrokenLinkEndBeforeItsStreams(t *testing.T) {
	_, ended, there := linkWithReader(t)
	there.Close()
	endsWithTimeout(t, ended)
}

func endsWithTimeout(t *testing.T, ended chan error) {
	t.Helper()
	select {
	case err := <-ended:
		is.New(t).Equal(err, yamux.ErrTimeout)
	case <-time.After(patience):
		t.Fatal("the read goes on while the link closes")
	}
}

// The other end takes everything and says nothing. The link finds that out by itself.
func TestSilentLinkIsClosed(t *testing.T) {
	here, there := net.Pipe()
	defer there.Close()
	go func() { _, _ = io.Copy(io.Discard, there) }()
	quick := pace{every: time.Millisecond, timeout: time.Millisecond}
	l, err := newLink(here, quick, func(guarded net.Conn) (*yamux.Session, error) { return yamux.Client(guarded, sessionConfig()) })
	is.New(t).NoErr(err)
	select {
	case <-l.CloseChan():
	case <-time.After(patience):
		t.Fatal("the link was never closed")
	}
}
