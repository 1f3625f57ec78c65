package peers

import (
	"context"
	"crypto/tls"
	"expvar"
	"net"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// handshakeTimeout limits how long a peer that does not complete the handshake holds a
// connection.
const handshakeTimeout = 5 * time.Second

var handshakesRefused = expvar.NewInt("peer_handshakes_refused")

// secureServer does the TLS handshake of an accepted connection if TLS is enabled. It
// comes before any call: an unauthenticated client could otherwise use the peer protocol
// and vote.
func (n *Network) secureServer(ctx context.Context, conn net.Conn) (net.Conn, error) {
	if n.tls == nil {
		return conn, nil
	}
	return handshake(ctx, conn, tls.Server(conn, n.tls.MutualServer()))
}

func (n *Network) secureClient(ctx context.Context, to string, conn net.Conn) (net.Conn, error) {
	if n.tls == nil {
		return conn, nil
	}
	return handshake(ctx, conn, tls.Client(conn, n.tls.MutualClient(to)))
}

func handshake(ctx context.Context, conn net.Conn, secure *tls.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := secure.HandshakeContext(ctx); err != nil {
		handshakesRefused.Add(1)
		conn.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "handshake with %s", conn.RemoteAddr())
	}
	return secure, nil
}
