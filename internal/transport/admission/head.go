package admission

import (
	"bytes"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

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
