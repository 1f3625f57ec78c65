// Package relay forwards TCP connections and can block them, to simulate a network
// partition between two processes of a test.
package relay

import (
	"io"
	"net"
	"sync"

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
}

const bufferSize = 32 << 10

// Start listens on a free port of 127.0.0.1 and forwards connections to the target.
func Start(from, to, target string) (*Relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, failure.Wrap(failure.BadSettings, err, "listen")
	}
	r := &Relay{From: from, To: to, target: target, listener: listener, open: make(chan struct{})}
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
	defer conn.Close()
	<-r.opened()
	outbound, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer outbound.Close()
	done := make(chan struct{}, 2)
	go r.forwardData(outbound, conn, done)
	go r.forwardData(conn, outbound, done)
	<-done
}

func (r *Relay) forwardData(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
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

func (r *Relay) opened() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
