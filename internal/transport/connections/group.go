package connections

import (
	"context"
	"expvar"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/transport/counted"
)

// nearParts and farParts, in tenths of the bound, are when a group is said to be near
// it, and no more.
const (
	nearParts = 9
	farParts  = 8
	allParts  = 10
)

// placeWait is how long a dial at the bound waits for a connection that is between two
// orders, and for a moment neither idle nor in use.
const placeWait = 100 * time.Millisecond

// Group is connections that share one bound.
type Group struct {
	name   string
	most   int64
	logger *logrus.Logger
	// refused counts what was turned away at the bound.
	refused, open, peak *expvar.Int
	// freed is ready when a place was given back that nobody has taken since.
	freed chan struct{}
	mu    sync.Mutex
	near  bool
}

// NewGroup publishes <name>_connections_open, _peak, _bound and _refused. Logger gets a
// line when nine tenths of the bound are used, and when fewer are again; nil for none.
func NewGroup(name string, most int, logger *logrus.Logger) *Group {
	g := &Group{
		name: name, most: int64(most), logger: logger,
		refused: variable(name + "_connections_refused"),
		open:    variable(name + "_connections_open"),
		peak:    variable(name + "_connections_peak"),
		freed:   make(chan struct{}, 1),
	}
	variable(name + "_connections_bound").Set(int64(most))
	return g
}

// variable gives the published counter of that name, and publishes it where there is
// none: tests make more than one group of a name.
func variable(name string) *expvar.Int {
	if known, ok := expvar.Get(name).(*expvar.Int); ok {
		return known
	}
	return expvar.NewInt(name)
}

// take counts one more connection, unless the bound is reached.
func (g *Group) take() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open.Value() >= g.most {
		return false
	}
	g.open.Add(1)
	g.peak.Set(max(g.peak.Value(), g.open.Value()))
	g.tell()
	return true
}

func (g *Group) giveBack() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open.Add(-1)
	g.tell()
	g.wake()
}

// wake lets one that waits for a place look again.
func (g *Group) wake() {
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

// await takes a place once one is given back, within placeWait.
func (g *Group) await(ctx context.Context) bool {
	timer := time.NewTimer(placeWait)
	defer timer.Stop()
	for !g.take() {
		select {
		case <-g.freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	// More than one place may have come free with one wake.
	g.wake()
	return true
}

// tell writes a line where the group came near its bound or is away from it again.
func (g *Group) tell() {
	open := g.open.Value()
	switch {
	case !g.near && open*allParts >= g.most*nearParts:
		g.near = true
		g.log(open, "connections near their bound")
	case g.near && open*allParts < g.most*farParts:
		g.near = false
		g.log(open, "connections away from their bound")
	}
}

func (g *Group) log(open int64, message string) {
	if g.logger != nil {
		g.logger.WithFields(logrus.Fields{"group": g.name, "open": open, "bound": g.most}).Warn(message)
	}
}

// Listener accepts connections up to the bound and closes those beyond it at once: their
// callers turn to another instance, instead of waiting for a place here.
func (g *Group) Listener(listener net.Listener) net.Listener { return boundedListener{listener, g} }

type boundedListener struct {
	net.Listener
	group *Group
}

func (l boundedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.group.take() {
			return &boundedConn{Conn: conn, group: l.group}, nil
		}
		l.group.refused.Add(1)
		conn.Close()
	}
}

// Dialer dials up to the bound. At the bound makeRoom is called once, to close
// connections that nobody uses; a dial that finds no place even so, or a moment later,
// fails as one that the kernel refuses for want of a descriptor.
func (g *Group) Dialer(dial counted.DialContext, makeRoom func()) counted.DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !g.take() {
			makeRoom()
			if !g.await(ctx) {
				g.refused.Add(1)
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
			}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			g.giveBack()
			return nil, err
		}
		return &boundedConn{Conn: conn, group: g}, nil
	}
}

// boundedConn gives its place back when it is closed.
type boundedConn struct {
	net.Conn
	group  *Group
	closed sync.Once
}

func (c *boundedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.group.giveBack)
	return err
}
