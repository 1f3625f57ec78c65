package peers

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
)

// pace is how often a link asks the other end for a sign of life, and how long it
// waits: a link that went silent is found in their sum.
type pace struct {
	every   time.Duration
	timeout time.Duration
}

// signsOfLife cost an idle link 2 frames of 12 bytes each way in 5 s.
var signsOfLife = pace{every: 5 * time.Second, timeout: 5 * time.Second}

// link is a yamux session that frees the readers of its streams before it ends.
//
// Between the moment at which a session is shut down and the one at which it marks
// its streams as closed, a read that waits on a stream goes round in its loop without
// ever sleeping. Two such reads take both threads of the process, the goroutine that
// would mark the streams never runs, and the process hangs at full load. So before
// anything shuts a session down, the deadlines of all its streams are moved into the
// past: their reads end with a timeout instead. A session is shut down by a failed
// read or write of its connection, by Close, and by nothing else, for its own
// keep-alive is off.
type link struct {
	*yamux.Session
	signs   pace
	mu      sync.Mutex
	ended   bool
	streams map[*yamux.Stream]struct{}
}

// newLink makes a session over the connection with the given side's constructor.
func newLink(conn net.Conn, signs pace, side func(guarded net.Conn) (*yamux.Session, error)) (*link, error) {
	l := &link{signs: signs, streams: map[*yamux.Stream]struct{}{}}
	session, err := side(&guardedConn{Conn: conn, broken: l.expire})
	if err != nil {
		return nil, err
	}
	l.Session = session
	go l.ping()
	return l, nil
}

func clientLink(conn net.Conn) (*link, error) {
	return newLink(conn, signsOfLife, func(guarded net.Conn) (*yamux.Session, error) { return yamux.Client(guarded, sessionConfig()) })
}

func serverLink(conn net.Conn) (*link, error) {
	return newLink(conn, signsOfLife, func(guarded net.Conn) (*yamux.Session, error) { return yamux.Server(guarded, sessionConfig()) })
}

// ping closes the link when the other end is silent.
func (l *link) ping() {
	ticker := time.NewTicker(l.signs.every)
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
		case <-time.After(l.signs.timeout):
		}
		l.Close()
		return
	}
}

// stream is a stream of a link.
type stream struct {
	*yamux.Stream
	link *link
}

// Close ends the stream.
func (s *stream) Close() error {
	s.link.forget(s.Stream)
	return s.Stream.Close()
}

// Open opens a stream.
func (l *link) Open() (*stream, error) {
	opened, err := l.OpenStream()
	if err != nil {
		return nil, err
	}
	return l.add(opened), nil
}

// Accept waits for a stream of the other end.
func (l *link) Accept() (*stream, error) {
	accepted, err := l.AcceptStream()
	if err != nil {
		return nil, err
	}
	return l.add(accepted), nil
}

func (l *link) forget(s *yamux.Stream) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.streams, s)
}

func (l *link) add(s *yamux.Stream) *stream {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.streams[s] = struct{}{}
	if l.ended {
		_ = s.SetDeadline(longAgo)
	}
	return &stream{Stream: s, link: l}
}

// expire ends every read and write that waits on a stream.
func (l *link) expire() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for s := range l.streams {
		// A stream takes any deadline.
		_ = s.SetDeadline(longAgo)
	}
}

// Close ends the link and all its streams.
func (l *link) Close() {
	l.expire()
	l.Session.Close()
}

// closeWith closes the link when ctx ends.
func (l *link) closeWith(ctx context.Context) (stop func() bool) {
	return context.AfterFunc(ctx, l.Close)
}

// guardedConn tells of its first failure before whoever uses it learns of it.
type guardedConn struct {
	net.Conn
	once   sync.Once
	broken func()
}

func (c *guardedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if err != nil {
		c.once.Do(c.broken)
	}
	return n, err
}

func (c *guardedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.once.Do(c.broken)
	}
	return n, err
}
