// Package relay forwards TCP connections and can block, slow down or reset them, to
// simulate faults of the link between two processes of a test.
package relay

import (
	"io"
	"net"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Relay forwards the TCP connections of one instance to another. While it is blocked
// it neither closes nor refuses connections: it holds the data, as a partition that
// drops packets does until TCP times out, and delivers it late once it is open again.
type Relay struct {
	From, To string
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     chan struct{} // closed while traffic is forwarded
	delay    time.Duration
	// rate is in bytes per second; 0 for no limit.
	rate  int
	conns map[net.Conn]struct{}
}

const (
	bufferSize = 32 << 10
	// piecesPerSecond is how often data is forwarded on a link with a rate.
	piecesPerSecond = 20
)

// Start listens on a free port of 127.0.0.1 and forwards connections to the target.
func Start(from, to, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "listen")
	}
	r := &Relay{
		From: from, To: to, target: target, listener: listener,
		open: make(chan struct{}), conns: map[net.Conn]struct{}{},
	}
	close(r.open)
	go r.accept()
	return r, nil
}

// Address returns the host and port on which the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Connects reports whether the relay connects from or to the instance.
func (r *Relay) Connects(instance string) bool { return r.From == instance || r.To == instance }

// Close stops accepting connections and delivers the data that the relay holds.
func (r *Relay) Close() {
	r.listener.Close()
	r.SetOpen(true)
}

// SetOpen starts or stops the forwarding of traffic.
func (r *Relay) SetOpen(open bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	select {
	case <-r.open:
		if !open {
			r.open = make(chan struct{})
		}
	default:
		if open {
			close(r.open)
		}
	}
}

// SetDelay holds each piece of up to 32 KiB back for the given time, one after the other,
// so that a delay also limits the bandwidth.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// SetRate limits what each connection forwards in one direction, in bytes per second; 0 removes the
// limit.
func (r *Relay) SetRate(bytesPerSecond int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.rate = bytesPerSecond
}

// Reset resets all open connections, also while the relay is blocked; the data that it
// holds is lost.
func (r *Relay) Reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for conn := range r.conns {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		conn.Close()
	}
}

func (r *Relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.forward(conn)
	}
}

func (r *Relay) forward(conn net.Conn) {
	defer r.track(conn)()
	<-r.opened()
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer r.track(outbound)()
	done := make(chan struct{}, 2)
	go r.forwardData(outbound, conn, done)
	go r.forwardData(conn, outbound, done)
	<-done
}

// track makes Reset reach a connection; the returned function closes it.
func (r *Relay) track(conn net.Conn) (end func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.conns[conn] = struct{}{}
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		delete(r.conns, conn)
		conn.Close()
	}
}

func (r *Relay) forwardData(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		rate := r.currentRate()
		n, err := from.Read(buffer[:pieceSize(rate)])
		if rate > 0 {
			time.Sleep(time.Duration(n) * time.Second / time.Duration(rate))
		}
		time.Sleep(r.currentDelay())
		<-r.opened()
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) currentDelay() time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.delay
}

func (r *Relay) currentRate() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.rate
}

// pieceSize returns the most bytes that are forwarded at once at a rate.
func pieceSize(rate int) int {
	if rate == 0 {
		return bufferSize
	}
	return min(max(rate/piecesPerSecond, 1), bufferSize)
}

func (r *Relay) opened() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
