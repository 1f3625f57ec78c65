// Package counted counts the bytes of connections, so that what control costs
// on the network is read from a running process and not guessed.
package counted

import (
	"context"
	"expvar"
	"net"
)

// Counters count the bytes of a group of connections.
type Counters struct {
	Sent     *expvar.Int
	Received *expvar.Int
}

// NewCounters publishes <group>_bytes_sent and <group>_bytes_received.
func NewCounters(group string) Counters {
	return Counters{
		Sent:     expvar.NewInt(group + "_bytes_sent"),
		Received: expvar.NewInt(group + "_bytes_received"),
	}
}

// Conn counts what passes through the connection.
func (c Counters) Conn(conn net.Conn) net.Conn { return countedConn{conn, c} }

// Listener counts what passes through every accepted connection.
func (c Counters) Listener(listener net.Listener) net.Listener {
	return countedListener{listener, c}
}

// DialContext is the type of a dialler's method.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer counts what passes through every dialled connection.
func (c Counters) Dialer(dial DialContext) DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return c.Conn(conn), nil
	}
}

type countedListener struct {
	net.Listener
	counters Counters
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.counters.Conn(conn), nil
}

type countedConn struct {
	net.Conn
	counters Counters
}

func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.counters.Received.Add(int64(n))
	return n, err
}

func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.counters.Sent.Add(int64(n))
	return n, err
}
