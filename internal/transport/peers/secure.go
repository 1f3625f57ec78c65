package peers

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// handshakeTimeout keeps a peer that never finishes from holding a connection.
const handshakeTimeout = 5 * time.Second

var handshakesRefused = expvar.NewInt("peer_handshakes_refused")

// secureServer wraps an accepted connection. Without the handshake first, a
// stranger could speak the peers' protocol and vote.
func (n *Network) secureServer(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if n.tls == nil {
		return conn, nil
	}
	return shakeHands(ctx, conn, tls.Server(conn, n.tls.MutualServer()))
}

func (n *Network) secureClient(ctx context.Context, to string, conn net.Conn) (net.Conn, error) {
	if n.tls == nil {
		return conn, nil
	}
	return shakeHands(ctx, conn, tls.Client(conn, n.tls.MutualClient(to)))
}

func shakeHands(ctx context.Context, conn net.Conn, secure *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		handshakesRefused.Add(1)
		conn.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "handshake with %s", conn.RemoteAddr())
	}
	return secure, nil
}
