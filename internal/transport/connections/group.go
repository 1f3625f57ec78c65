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

// A group logs a warning when its open connections reach warnTenths tenths of the limit,
// and again when they fall below clearTenths tenths.
const (
	warnTenths  = 9
	clearTenths = 8
	tenths      = 10
)

// dialWait is how long a dial at the limit waits for a connection to close. Between two
// commands a connection is briefly neither idle nor in use, so closing the idle ones may
// not free one at once.
const dialWait = 100 * time.Millisecond

// Group is a set of connections with a common limit.
type Group struct {
	name   string
	limit  int64
	logger *logrus.Logger
	// refused counts the dials and accepts refused at the limit.
	refused, open, peak *expvar.Int
	// freed is signalled when a connection has closed, to wake a waiting dial.
	freed     chan struct{}
	mu        sync.Mutex
	nearLimit bool
}

// NewGroup creates a group limited to limit connections and publishes the metrics
// <name>_connections_open, _peak, _bound and _refused. It logs a warning when nine tenths
// of the limit are reached, and when the number falls below eight tenths; logger may be
// nil.
func NewGroup(name string, limit int, logger *logrus.Logger) *Group {
	g := &Group{
		name: name, limit: int64(limit), logger: logger,
		refused: publishedInt(name + "_connections_refused"),
		open:    publishedInt(name + "_connections_open"),
		peak:    publishedInt(name + "_connections_peak"),
		freed:   make(chan struct{}, 1),
	}
	publishedInt(name + "_connections_bound").Set(int64(limit))
	return g
}

// publishedInt returns the published variable of that name, and publishes it if there is
// none: tests create several groups of the same name.
func publishedInt(name string) *expvar.Int {
	if known, ok := expvar.Get(name).(*expvar.Int); ok {
		return known
	}
	return expvar.NewInt(name)
}

// acquire counts one more connection and returns true, or false at the limit.
func (g *Group) acquire() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.open.Value() >= g.limit {
		return false
	}
	g.open.Add(1)
	g.peak.Set(max(g.peak.Value(), g.open.Value()))
	g.logThreshold()
	return true
}

func (g *Group) release() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open.Add(-1)
	g.logThreshold()
	g.signalFreed()
}

// signalFreed wakes one waiting dial.
func (g *Group) signalFreed() {
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

// acquireWait waits until it can acquire, and returns false after dialWait or when ctx is
// done.
func (g *Group) acquireWait(ctx context.Context) bool {
	timer := time.NewTimer(dialWait)
	defer timer.Stop()
	for !g.acquire() {
		select {
		case <-g.freed:
		case <-timer.C:
			return false
		case <-ctx.Done():
			return false
		}
	}
	// One signal may stand for several closed connections.
	g.signalFreed()
	return true
}

// logThreshold logs when the number of open connections crosses warnTenths or clearTenths.
func (g *Group) logThreshold() {
	open := g.open.Value()
	switch {
	case !g.nearLimit && open*tenths >= g.limit*warnTenths:
		g.nearLimit = true
		g.log(open, "connections near their bound")
	case g.nearLimit && open*tenths < g.limit*clearTenths:
		g.nearLimit = false
		g.log(open, "connections away from their bound")
	}
}

func (g *Group) log(open int64, message string) {
	if g.logger != nil {
		g.logger.WithFields(logrus.Fields{"group": g.name, "open": open, "bound": g.limit}).Warn(message)
	}
}

// Listener accepts connections up to the limit and closes those beyond it at once, so that
// their callers try another instance instead of waiting here.
func (g *Group) Listener(listener net.Listener) net.Listener { return limitedListener{listener, g} }

type limitedListener struct {
	net.Listener
	group *Group
}

func (l limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.group.acquire() {
			return &limitedConn{Conn: conn, group: l.group}, nil
		}
		l.group.refused.Add(1)
		conn.Close()
	}
}

// Dialer limits the connections that dial opens. At the limit it calls closeIdle once,
// which should close idle connections, and waits up to dialWait for a free slot. If there
// is none, the dial fails with EMFILE, like one that the kernel refuses for lack of file
// descriptors.
func (g *Group) Dialer(dial counted.DialContext, closeIdle func()) counted.DialContext {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		if !g.acquire() {
			closeIdle()
			if !g.acquireWait(ctx) {
				g.refused.Add(1)
				return nil, &net.OpError{Op: "dial", Net: network, Err: os.NewSyscallError("socket", syscall.EMFILE)}
			}
		}
		conn, err := dial(ctx, network, address)
		if err != nil {
			g.release()
			return nil, err
		}
		return &limitedConn{Conn: conn, group: g}, nil
	}
}

// limitedConn releases its slot in the group on the first Close.
type limitedConn struct {
	net.Conn
	group  *Group
	closed sync.Once
}

// NetConn returns the connection that holds the slot.
func (c *limitedConn) NetConn() net.Conn { return c.Conn }

func (c *limitedConn) Close() error {
	err := c.Conn.Close()
	c.closed.Do(c.group.release)
	return err
}
