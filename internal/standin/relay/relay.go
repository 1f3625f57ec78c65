// Package relay carries TCP connections and can be cut, to put a network
// partition between two processes of a test.
package relay

import (
	"io"
	"net"
	"sync"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Relay carries the TCP connections of one instance to another. While it is cut
// it neither closes nor refuses: it holds what is sent, as a partition that drops
// packets does until TCP gives up. What it holds is delivered, late, after a heal.
type Relay struct {
	From, To string
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     chan struct{} // closed while traffic may pass
}

const bufferSize = 32 << 10

// Start listens on a free port of loopback and relays to the target.
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

// Address is where the relay listens.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Touches tells whether the relay leads from or to the instance.
func (r *Relay) Touches(instance string) bool { return r.From == instance || r.To == instance }

// Close ends the relay and lets go of what it holds.
func (r *Relay) Close() {
	r.listener.Close()
	r.Set(true)
}

// Set lets traffic pass, or holds it.
func (r *Relay) Set(open bool) {
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
		go r.carry(conn)
	}
}

func (r *Relay) carry(conn net.Conn) {
	defer conn.Close()
	<-r.passage()
	onward, err := net.Dial("tcp", r.target)
	if err != nil {
		return
	}
	defer onward.Close()
	done := make(chan struct{}, 2)
	go r.pump(onward, conn, done)
	go r.pump(conn, onward, done)
	<-done
}

func (r *Relay) pump(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, bufferSize)
	for {
		n, err := from.Read(buffer)
		<-r.passage()
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

func (r *Relay) passage() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}
