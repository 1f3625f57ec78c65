package admission

import (
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"
)

// Conn is an accepted connection that hands one message at a time to net/http, and only once
// its head is complete and charged: an incomplete head costs its bytes here, a complete one
// many times as much in net/http's map of header fields.
type Conn struct {
	net.Conn
	gate *Gate
	// entry and waiting are protected by the mutex of the gate.
	entry   Entry
	waiting chan struct{}

	// The rest belongs to Read, of which net/http has one at a time.

	// buffer holds bytes that were read and not handed on. The first ready of them belong to
	// a message whose head is complete.
	buffer []byte
	ready  int
	// early tells that the first byte of buffer was handed on ahead of its head: while a
	// request is handled, net/http reads one byte to learn whether its client has gone.
	early bool
	// scanned bytes of buffer are known to hold no end of a head.
	scanned int
	// emptyBytes counts the line ends before the next head.
	emptyBytes int
	inBody     bool
	// secured tells that there is no TLS or its handshake is complete.
	secured bool
	body    body
	charged int64
	failed  error

	deadlines sync.Mutex
	// asked is the deadline for reads that net/http has set, headBy that for the end of a
	// head that has begun; zero for none.
	asked, headBy time.Time
}

// NetConn returns the connection that messages are read from.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Read hands on bytes of the current message, or waits for the next one.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.failed != nil:
		return 0, c.failed
	case !c.secured:
		return c.readSecured(p)
	case c.ready > 0:
		return c.handOn(p), nil
	case c.inBody:
		return c.readBody(p)
	case len(p) == 1 && !c.early:
		return c.readAhead(p)
	}
	return c.readHead(p)
}

func (c *Conn) handOn(p []byte) int {
	n := copy(p, c.buffer[:c.ready])
	c.ready -= n
	c.discard(n)
	return n
}

// discard drops the first n bytes of the buffer, and the buffer if it is empty.
func (c *Conn) discard(n int) {
	c.buffer = c.buffer[n:]
	if len(c.buffer) == 0 {
		c.buffer = nil
	}
}

// readBody reads and charges a part of the body. It never reads into the next message if the
// length of the body is known.
func (c *Conn) readBody(p []byte) (int, error) {
	n, err := c.Conn.Read(p[:c.body.most(len(p))])
	if n == 0 {
		return 0, err
	}
	used, complete, err := c.body.scan(p[:n])
	if err != nil {
		c.failed = err
		c.gate.refused(err)
		return 0, err
	}
	if used < n {
		c.buffer = append(c.buffer, p[used:n]...)
	}
	c.charged += int64(used)*bodyFactor + c.body.trailerCost()
	c.inBody = !complete
	if err := c.gate.charge(c, c.charged, phaseOf(complete)); err != nil {
		c.failed = err
		return 0, err
	}
	return used, nil
}

// refuse answers a message that isn't handed on, and makes all reads fail from now on.
// net/http would answer other errors than io.EOF by itself.
func (c *Conn) refuse(err error) error {
	c.gate.refused(err)
	c.failed = io.EOF
	if answer := refusals[causeOf(err)]; answer != "" {
		_ = c.Conn.SetWriteDeadline(time.Now().Add(refusalTimeout))
		// The client may be gone; it is closed in any case.
		_, _ = c.Conn.Write([]byte(answer))
	}
	return io.EOF
}

// Write marks the connection while the write lasts: a client that doesn't read its answer
// may be closed.
func (c *Conn) Write(p []byte) (int, error) {
	c.gate.writes(c)
	defer c.gate.wrote(c)
	return c.Conn.Write(p)
}

// Close closes the connection and returns what it holds to the budget.
func (c *Conn) Close() error {
	c.gate.leave(c)
	return c.Conn.Close()
}

// abort closes the connection without the last words of TLS, which a client that doesn't read
// would hold up.
func (c *Conn) abort() {
	if secure, ok := c.Conn.(*tls.Conn); ok {
		secure.NetConn().Close()
		return
	}
	c.Conn.Close()
}
