// Package admission bounds the memory that accepted connections may take. All listeners of a
// process pass through one Gate, which charges each connection for what it makes the process
// hold. While that is within the Budget, nothing is closed. When it is exhausted, the
// connections that have been longest in an incomplete message or a blocked answer are closed
// for new ones: a crowd that never ends its requests displaces its own oldest, while the
// message of an ordinary caller is always among the youngest. A message of which a handler
// has all bytes is never closed, so of what is closed nothing was run.
package admission

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// DefaultHeadBytes limits the head of a request, in bytes.
	DefaultHeadBytes = 64 << 10
	// DefaultHeadTimeout limits the time from the first byte of a head to its last.
	DefaultHeadTimeout = 5 * time.Second

	// maxEmptyBytes limits the line ends before a request, in bytes.
	maxEmptyBytes = 16
	// lineCost is what net/http holds for a line of a head beside its bytes, in bytes.
	lineCost = 160
	// bodyFactor is what a handler holds for each byte of a body: a buffer that grows, and
	// what is decoded from it.
	bodyFactor = 4
	// handshakeBytes is what an incomplete TLS handshake may hold, in bytes.
	handshakeBytes = 128 << 10
	// waitLimit is how long a message waits for bytes that messages in handling hold.
	waitLimit = 2 * patience
	waitStep  = patience / 4
	// refusalTimeout limits the time in which a client takes a refusal.
	refusalTimeout = time.Second
)

// Limits are the limits of a Gate.
type Limits struct {
	// Connections is the number of open connections.
	Connections int
	// MessageBytes is what all messages together may hold, in bytes.
	MessageBytes int64
	// HeadBytes limits a head, and the trailers of a message, in bytes.
	HeadBytes int
	// HeadTimeout is the time from the first byte of a head to its last.
	HeadTimeout time.Duration
}

// Gate admits connections and their messages within a Budget. It is safe for concurrent use.
type Gate struct {
	limits Limits
	report *report

	mu     sync.Mutex
	budget *Budget
	// queue holds the connections that wait for bytes, first come first served.
	queue []*Conn
	// wanted is what each of them asks for, in bytes.
	wanted map[*Conn]int64
}

// NewGate creates a gate and publishes its metrics, which begin with name. The logger may be
// nil.
func NewGate(name string, limits Limits, logger *logrus.Logger) *Gate {
	return &Gate{
		limits: limits,
		report: newReport(name, limits, logger),
		budget: NewBudget(limits.Connections, limits.MessageBytes),
		wanted: map[*Conn]int64{},
	}
}

// Serve makes a server's connections pass through the gate: web must serve the listener that
// is returned, which goes above TLS.
func (g *Gate) Serve(web *http.Server, listener net.Listener) net.Listener {
	web.MaxHeaderBytes = g.limits.HeadBytes
	web.ConnState = func(conn net.Conn, state http.ConnState) {
		if c, ok := conn.(*Conn); ok && state == http.StateIdle {
			g.answered(c)
		}
	}
	return gateListener{listener, g}
}

type gateListener struct {
	net.Listener
	gate *Gate
}

// Accept returns the next connection that there is room for.
func (l gateListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: conn, gate: l.gate}
		c.entry.Owner = c
		if l.gate.open(c) {
			return c, nil
		}
		c.abort()
	}
}

func (g *Gate) open(c *Conn) bool {
	g.mu.Lock()
	evicted, ok := g.budget.Open(&c.entry, time.Now())
	if evicted != nil {
		g.abandon(evicted.Owner.(*Conn))
	}
	g.mu.Unlock()
	if evicted != nil {
		g.closeEvicted(evicted, connectionLimit)
	}
	if !ok {
		g.count(noConnectionLeft)
	}
	return ok
}

// closeAll closes connections whose bytes are needed. The caller doesn't hold the mutex.
func (g *Gate) closeAll(evicted []*Entry) {
	for _, e := range evicted {
		g.closeEvicted(e, messageBytes)
	}
}

func (g *Gate) closeEvicted(e *Entry, why cause) {
	e.Owner.(*Conn).abort()
	g.count(why)
}

// charge sets the bytes that a connection holds and its phase. It waits while messages in
// handling hold the bytes. The error is failure.Overloaded if there are none in time or the
// connection was closed for another.
func (g *Gate) charge(c *Conn, bytes int64, phase Phase) error {
	g.mu.Lock()
	evicted, ok := g.budget.Charge(&c.entry, bytes, time.Now())
	if !ok && c.entry.admitted() {
		g.enqueue(c, bytes)
	}
	g.abandonAll(evicted)
	if ok {
		g.budget.Enter(&c.entry, phase, time.Now())
		evicted = append(evicted, g.grant()...)
	}
	g.publish()
	granted := c.waiting
	g.mu.Unlock()
	g.closeAll(evicted)
	if ok {
		return nil
	}
	return g.wait(c, granted, phase)
}

// answered returns what a message held: its answer is sent.
func (g *Gate) answered(c *Conn) {
	phase := Idle
	if len(c.buffer) > 0 {
		phase = Head
	}
	c.charged = 0
	g.mu.Lock()
	_, _ = g.budget.Charge(&c.entry, int64(cap(c.buffer)), time.Now())
	g.budget.Enter(&c.entry, phase, time.Now())
	evicted := g.grant()
	g.publish()
	g.mu.Unlock()
	g.closeAll(evicted)
}

func (g *Gate) leave(c *Conn) {
	g.mu.Lock()
	g.abandon(c)
	g.budget.Close(&c.entry)
	evicted := g.grant()
	g.publish()
	g.mu.Unlock()
	g.closeAll(evicted)
}

func (g *Gate) writes(c *Conn) { g.move(c, Handling, Answering) }

func (g *Gate) wrote(c *Conn) { g.move(c, Answering, Handling) }

func (g *Gate) move(c *Conn, from, to Phase) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if c.entry.phase == from {
		g.budget.Enter(&c.entry, to, time.Now())
	}
}

// publish sets the gauges; the caller holds the mutex.
func (g *Gate) publish() { g.report.gauges(g.budget) }

func (g *Gate) count(why cause) { g.report.closed(why, time.Now()) }

// refused counts a connection that is closed for an error. Those without bytes are counted
// where these are missed.
func (g *Gate) refused(err error) {
	if !errors.Is(err, errNoBytes) {
		g.count(causeOf(err))
	}
}

var (
	errEmptyLines = failure.New(failure.BadRequest, "empty lines before a request exceed %d bytes", maxEmptyBytes)
	errNoBytes    = failure.New(failure.Overloaded, "connection closed for lack of memory")
)
