package admission

import (
	"context"
	"crypto/tls"
	"errors"
	"io"
)

// readSecured completes the TLS handshake, if there is one, before the first read. Its messages
// are buffered by TLS, so they are charged as the most that it takes.
func (c *Conn) readSecured(p []byte) (int, error) {
	c.secured = true
	if secure, ok := c.Conn.(*tls.Conn); ok {
		if err := c.handshake(secure); err != nil {
			c.failed = io.EOF
			return 0, io.EOF
		}
	}
	return c.Read(p)
}

func (c *Conn) handshake(secure *tls.Conn) error {
	if err := c.gate.charge(c, handshakeBytes, Head); err != nil {
		return err
	}
	// The deadlines of the connection limit it.
	if err := secure.HandshakeContext(context.Background()); err != nil {
		// A connection without any bytes is a probe.
		if !errors.Is(err, io.EOF) {
			c.gate.count(failedHandshake)
		}
		return err
	}
	return c.gate.charge(c, 0, Idle)
}
