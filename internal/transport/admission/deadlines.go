package admission

import (
	"errors"
	"os"
	"time"
)

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
