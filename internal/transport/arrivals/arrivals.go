// Package arrivals tells when a request reached this machine. Its process may read it seconds later, if it was stopped in
// between; the kernel answers the connection and takes the data all the same.
package arrivals

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/arrival"
)

// Listener returns a listener whose connections know when the data arrived that was read from them.
func Listener(listener net.Listener) net.Listener { return timedListener{listener} }

type timedListener struct{ net.Listener }

func (l timedListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: accepted}, nil
}

// conn records when the data arrived that was read first since the last write: that is the head of a request.
type conn struct {
	net.Conn
	mu    sync.Mutex
	first time.Time
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		age := sinceLastData(c.Conn)
		c.mu.Lock()
		if c.first.IsZero() {
			c.first = time.Now().Add(-age)
		}
		c.mu.Unlock()
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	c.first = time.Time{}
	c.mu.Unlock()
	return c.Conn.Write(p)
}

// arrived returns when the data arrived that was read first since the last write; false if none was read.
func (c *conn) arrived() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.first, !c.first.IsZero()
}

type contextKey struct{}

// ConnContext is for http.Server.ConnContext. Wrapped connections are found by their method NetConn.
func ConnContext(ctx context.Context, accepted net.Conn) context.Context {
	for accepted != nil {
		if timed, ok := accepted.(*conn); ok {
			return context.WithValue(ctx, contextKey{}, timed)
		}
		wrapper, ok := accepted.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		accepted = wrapper.NetConn()
	}
	return ctx
}

// Handler passes requests on with the time of their arrival, where that is known.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if timed, ok := r.Context().Value(contextKey{}).(*conn); ok {
			if arrived, known := timed.arrived(); known {
				r = r.WithContext(arrival.WithTime(r.Context(), arrived))
			}
		}
		next.ServeHTTP(w, r)
	})
}
