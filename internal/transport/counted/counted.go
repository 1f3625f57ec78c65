// Package counted counts the bytes sent and received on connections, so that the network
// traffic of the control plane can be measured in a running process.
package counted

import (
	"context"
	"expvar"
	"net"
)

// Counters counts the bytes of a group of connections.
type Counters struct {
	Sent     *expvar.Int
	Received *expvar.Int
}

// NewCounters publishes the metrics <group>_bytes_sent and <group>_bytes_received.
func NewCounters(group string) Counters {
	return Counters{
		Sent:     expvar.NewInt(group + "_bytes_sent"),
		Received: expvar.NewInt(group + "_bytes_received"),
	}
}

// Conn returns the connection with its bytes counted.
func (c Counters) Conn(conn net.Conn) net.Conn { return countedConn{conn, c} }

// Listener returns a listener whose accepted connections are counted.
func (c Counters) Listener(listener net.Listener) net.Listener {
	return countedListener{listener, c}
}

// DialContext is the type of the method net.Dialer.DialContext.
type DialContext func(ctx context.Context, network, address string) (net.Conn, error)

// Dialer returns a dial function whose connections are counted.
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

// NetConn returns the connection whose bytes are counted.
func (c countedConn) NetConn() net.Conn { return c.Conn }

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
