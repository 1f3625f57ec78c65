package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// keepAliveConfig sets how often a link pings its peer and how long it waits for the
// reply. An unresponsive peer is detected within the sum of the two.
type keepAliveConfig struct {
	interval time.Duration
	timeout  time.Duration
}

// defaultKeepAlive costs an idle link 2 frames of 12 bytes in each direction every 5 s.
var defaultKeepAlive = keepAliveConfig{interval: 5 * time.Second, timeout: 5 * time.Second}

// link is a yamux session that unblocks pending reads on its streams before the session
// shuts down.
//
// Between the shutdown of a yamux session and the moment at which it marks its streams
// as closed, a pending read on a stream busy-loops. Two such reads occupy both threads
// of a process that has two, the goroutine that marks the streams never runs, and the
// process hangs at full CPU load. Therefore the deadlines of all streams are set to a
// time in the past before the session shuts down, so that pending reads return a
// timeout instead. A session shuts down only when a read or write of its connection
// fails or Close is called, because yamux's own keep-alive is disabled.
type link struct {
	*yamux.Session
	keepAlive keepAliveConfig
	mu        sync.Mutex
	closing   bool
	streams   map[*yamux.Stream]struct{}
}

// newLink creates a link over conn; newSession is the constructor of the client or the
// server side of a yamux session.
func newLink(conn net.Conn, keepAlive keepAliveConfig, newSession func(conn net.Conn) (*yamux.Session, error)) (*link, error) {
	l := &link{keepAlive: keepAlive, streams: map[*yamux.Stream]struct{}{}}
	session, err := newSession(&notifyingConn{Conn: conn, onError: l.expireStreams})
	if err != nil {
		return nil, err
	}
	l.Session = session
	go l.runKeepAlive()
	return l, nil
}

func clientLink(conn net.Conn) (*link, error) {
	return newLink(conn, defaultKeepAlive, func(conn net.Conn) (*yamux.Session, error) { return yamux.Client(conn, sessionConfig()) })
}

func serverLink(conn net.Conn) (*link, error) {
	return newLink(conn, defaultKeepAlive, func(conn net.Conn) (*yamux.Session, error) { return yamux.Server(conn, sessionConfig()) })
}

// runKeepAlive pings the peer until the link is closed, and closes the link when a ping
// fails or is not answered in time.
func (l *link) runKeepAlive() {
	ticker := time.NewTicker(l.keepAlive.interval)
	defer ticker.Stop()
	for {
		select {
		case <-l.CloseChan():
			return
		case <-ticker.C:
		}
		answered := make(chan error, 1)
		go func() {
			_, err := l.Session.Ping()
			answered <- err
		}()
		select {
		case err := <-answered:
			if err == nil {
				continue
			}
		case <-time.After(l.keepAlive.timeout):
		}
		l.Close()
		return
	}
}

// stream is a yamux stream that the link tracks until it is closed.
type stream struct {
	*yamux.Stream
	link *link
}

// Close closes the stream and removes it from the link.
func (s *stream) Close() error {
	s.link.remove(s.Stream)
	return s.Stream.Close()
}

// Open opens a stream to the peer.
func (l *link) Open() (*stream, error) {
	opened, err := l.OpenStream()
	if err != nil {
		return nil, err
	}
	return l.add(opened), nil
}

// Accept waits for a stream that the peer opens.
func (l *link) Accept() (*stream, error) {
	accepted, err := l.AcceptStream()
	if err != nil {
		return nil, err
	}
	return l.add(accepted), nil
}

func (l *link) remove(s *yamux.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s)
}

func (l *link) add(s *yamux.Stream) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[s] = struct{}{}
	if l.closing {
		_ = s.SetDeadline(pastDeadline)
	}
	return &stream{Stream: s, link: l}
}

// expireStreams makes all pending and later reads and writes of streams time out.
func (l *link) expireStreams() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closing = true
	for s := range l.streams {
		// SetDeadline of a yamux stream never fails.
		_ = s.SetDeadline(pastDeadline)
	}
}

// Close closes the session and all its streams.
func (l *link) Close() {
	l.expireStreams()
	l.Session.Close()
}

// closeOnDone closes the link when ctx is done, unless stop is called first.
func (l *link) closeOnDone(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, l.Close)
}

// notifyingConn calls onError on the first failed read or write, before the error is
// returned to the caller.
type notifyingConn struct {
	net.Conn
	once    sync.Once
	onError func()
}

func (c *notifyingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.once.Do(c.onError)
	}
	return n, err
}

func (c *notifyingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(c.onError)
	}
	return n, err
}
