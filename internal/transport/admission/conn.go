package admission

import (
	"bytes"
	"crypto/tls"
	"errors"
	"io"
	"net"
	"os"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
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
	body       body
	charged    int64
	failed     error

	deadlines sync.Mutex
	// asked is the deadline for reads that net/http has set, headBy that for the end of a
	// head that has begun; zero for none.
	asked, headBy time.Time
}

// Read hands on bytes of the current message, or waits for the next one.
func (c *Conn) Read(p []byte) (int, error) {
	switch {
	case len(p) == 0:
		return 0, nil
	case c.failed != nil:
		return 0, c.failed
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

// readAhead hands on one byte of the next message, and keeps it for its head.
func (c *Conn) readAhead(p []byte) (int, error) {
	for len(c.buffer) == 0 {
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, err
		}
		text, err := c.skipEmptyLines(p)
		if err != nil {
			return 0, c.refuse(err)
		}
		c.buffer = append(c.buffer, text...)
	}
	c.early = true
	p[0] = c.buffer[0]
	return 1, nil
}

// readHead waits for a complete head, and hands on the start of its message. The head is
// buffered only if it doesn't arrive as a whole.
func (c *Conn) readHead(p []byte) (int, error) {
	for {
		if len(c.buffer) > 0 {
			if err := c.admitBuffered(); err != nil {
				return 0, c.refuse(err)
			}
			if c.ready > 0 {
				return c.handOn(p), nil
			}
		}
		n, err := c.Conn.Read(p)
		if n == 0 {
			return 0, c.readFailed(err)
		}
		if len(c.buffer) > 0 {
			c.buffer = append(c.buffer, p[:n]...)
			continue
		}
		if n, err = c.admitDirectly(p, n); err != nil {
			return 0, c.refuse(err)
		}
		if n > 0 {
			return n, nil
		}
	}
}

// admitDirectly admits a message whose head is complete in the first n bytes of p, and
// returns how many bytes of p are handed on. What isn't, is buffered.
func (c *Conn) admitDirectly(p []byte, n int) (int, error) {
	text, err := c.skipEmptyLines(p[:n])
	if err != nil {
		return 0, err
	}
	used, err := c.admit(text)
	if err != nil {
		return 0, err
	}
	c.buffer = append(c.buffer, text[used:]...)
	return copy(p, text[:used]), nil
}

// admitBuffered admits the message at the start of the buffer if its head is complete. If
// not, it charges the buffer and sets the deadline of the head.
func (c *Conn) admitBuffered() error {
	if !c.early && c.scanned == 0 {
		text, err := c.skipEmptyLines(c.buffer)
		if err != nil {
			return err
		}
		c.discard(len(c.buffer) - len(text))
	}
	used, err := c.admit(c.buffer)
	if err != nil {
		return err
	}
	if used == 0 {
		c.expectHead()
		return c.gate.charge(c, int64(cap(c.buffer)), Head)
	}
	c.ready = used
	if c.early {
		c.early = false
		c.ready--
		c.discard(1)
	}
	return nil
}

// skipEmptyLines returns text without the empty lines before a head.
func (c *Conn) skipEmptyLines(text []byte) ([]byte, error) {
	rest := bytes.TrimLeft(text, "\r\n")
	if c.emptyBytes += len(text) - len(rest); c.emptyBytes > maxEmptyBytes {
		return nil, errEmptyLines
	}
	return rest, nil
}

// admit charges the message at the start of text if its head is complete, and returns how
// many bytes of text are part of it; 0 if the head is incomplete.
func (c *Conn) admit(text []byte) (used int, err error) {
	end := headEnd(text, c.scanned)
	limit := c.gate.limits.HeadBytes
	if end > limit || end == 0 && len(text) > limit {
		return 0, failure.New(failure.TooLarge, "request head exceeds %d bytes", limit)
	}
	if end == 0 {
		c.scanned = len(text)
		return 0, nil
	}
	framing, err := parseFraming(text[:end])
	if err != nil {
		return 0, err
	}
	c.body = newBody(framing, limit)
	used, complete, err := c.body.scan(text[end:])
	if err != nil {
		return 0, err
	}
	used += end
	c.charged = headCost(text[:end]) + int64(used-end)*bodyFactor + c.body.trailerCost()
	c.charged += int64(cap(c.buffer) + len(text) - used)
	if err := c.gate.charge(c, c.charged, phaseOf(complete)); err != nil {
		return 0, err
	}
	c.headArrived()
	c.inBody = !complete
	return used, nil
}

// headCost returns what a head costs in net/http, in bytes.
func headCost(head []byte) int64 {
	return int64(len(head)) + int64(bytes.Count(head, []byte("\n")))*lineCost
}

// phaseOf returns the phase of a connection whose head is complete.
func phaseOf(complete bool) Phase {
	if complete {
		return Handling
	}
	return Body
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
		c.gate.count(causeOf(err))
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
	c.gate.count(causeOf(err))
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

// SetDeadline sets the deadlines of reads and writes.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.Conn.SetWriteDeadline(t)
}

// SetReadDeadline sets the deadline of reads. The end of a head is expected no later than its
// own deadline.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	c.asked = t
	return c.applyDeadlines()
}

func (c *Conn) applyDeadlines() error {
	earliest := c.asked
	if !c.headBy.IsZero() && (earliest.IsZero() || c.headBy.Before(earliest)) {
		earliest = c.headBy
	}
	return c.Conn.SetReadDeadline(earliest)
}

// expectHead sets the deadline of a head that has begun, once.
func (c *Conn) expectHead() {
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if c.headBy.IsZero() {
		c.headBy = time.Now().Add(c.gate.limits.HeadTimeout)
		// It fails on a closed connection only, as the next read will.
		_ = c.applyDeadlines()
	}
}

func (c *Conn) headArrived() {
	c.scanned, c.emptyBytes = 0, 0
	c.deadlines.Lock()
	defer c.deadlines.Unlock()
	if !c.headBy.IsZero() {
		c.headBy = time.Time{}
		_ = c.applyDeadlines()
	}
}

// readFailed counts a head that has missed its deadline.
func (c *Conn) readFailed(err error) error {
	c.deadlines.Lock()
	late := !c.headBy.IsZero() && !time.Now().Before(c.headBy)
	c.deadlines.Unlock()
	if late && errors.Is(err, os.ErrDeadlineExceeded) {
		c.gate.count(slowHead)
	}
	return err
}
