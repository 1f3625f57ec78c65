package peers

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"
)

// slowCloseConn blocks in Close until release is closed.
type slowCloseConn struct {
	net.Conn
	release chan struct{}
}

func (c *slowCloseConn) Close() error {
	<-c.release
	return c.Conn.Close()
}

// testTimeout limits how long a test waits for an event that a regression would prevent.
const testTimeout = 20 * time.Second

// newLinkWithPendingRead returns a link whose connection is slow to close, the channel
// for the result of a pending read on one of its streams, and the remote end.
func newLinkWithPendingRead(t *testing.T) (l *link, readErr chan error, remote net.Conn) {
	local, remote := net.Pipe()
	slow := &slowCloseConn{Conn: local, release: make(chan struct{})}
	l, err := clientLink(slow)
	is.New(t).NoErr(err)
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	s, err := l.Open()
	is.New(t).NoErr(err)
	readErr = make(chan error, 1)
	go func() {
		_, err := s.Read(make([]byte, 1))
		readErr <- err
	}()
	t.Cleanup(func() {
		close(slow.release)
		remote.Close()
	})
	return l, readErr, remote
}

// A read pends on a stream while its link is closed. Unless the read ends first, it
// busy-loops until yamux marks the stream as closed; two such reads on two threads keep
// that from happening and the process hangs.
func TestPendingReadsEndWhenLinkCloses(t *testing.T) {
	l, readErr, _ := newLinkWithPendingRead(t)
	go l.Close()
	expectReadTimeout(t, readErr)
}

// The connection of a link breaks. Pending reads must end before the session handles the
// error, for the same reason as on Close.
func TestPendingReadsEndWhenConnectionBreaks(t *testing.T) {
	_, readErr, remote := newLinkWithPendingRead(t)
	remote.Close()
	expectReadTimeout(t, readErr)
}

func expectReadTimeout(t *testing.T, readErr chan error) {
	t.Helper()
	select {
	case err := <-readErr:
		is.New(t).Equal(err, yamux.ErrTimeout)
	case <-time.After(testTimeout):
		t.Fatal("read still pending while the link closes")
	}
}

// The peer reads everything and never replies. The keep-alive must close the link.
func TestUnresponsiveLinkIsClosed(t *testing.T) {
	local, remote := net.Pipe()
	defer remote.Close()
	go func() { _, _ = io.Copy(io.Discard, remote) }()
	fast := keepAliveConfig{interval: time.Millisecond, timeout: time.Millisecond}
	l, err := newLink(local, fast, func(conn net.Conn) (*yamux.Session, error) { return yamux.Client(conn, sessionConfig()) })
	is.New(t).NoErr(err)
	select {
	case <-l.CloseChan():
	case <-time.After(testTimeout):
		t.Fatal("link not closed after keep-alive timeout")
	}
}
