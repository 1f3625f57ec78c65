package scenarios

import (
	"io"
	"net"
	"sync"

	"github.com/rogpeppe/go-internal/testscript"
)

// relay carries the TCP connections of one instance to another and can be cut.
// A cut relay neither closes nor refuses: it holds what is sent, as a partition
// that drops packets does until TCP gives up. What it holds is delivered, late,
// after a heal.
type relay struct {
	from, to string
	target   string
	listener net.Listener
	mu       sync.Mutex
	open     chan struct{} // closed while traffic may pass
}

func startRelay(ts *testscript.TestScript, from, to, target string) *relay {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	ts.Check(err)
	r := &relay{from: from, to: to, target: target, listener: listener, open: make(chan struct{})}
	close(r.open)
	ts.Defer(func() {
		listener.Close()
		r.set(true)
	})
	go r.accept()
	return r
}

func (r *relay) accept() {
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		go r.carry(conn)
	}
}

func (r *relay) carry(conn net.Conn) {
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

func (r *relay) pump(to io.Writer, from io.Reader, done chan<- struct{}) {
	defer func() { done <- struct{}{} }()
	buffer := make([]byte, 32<<10)
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

func (r *relay) passage() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.open
}

func (r *relay) set(open bool) {
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

// cut A [B] drops, without a word, what goes between the instances A and B in
// both directions, or between A and every other. It needs `cluster N relayed`.
func cut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: cut A [B]")
	}
	found := false
	for _, r := range fixtureOf(ts).relays {
		touches := r.from == args[0] || r.to == args[0]
		if len(args) == 2 {
			touches = touches && (r.from == args[1] || r.to == args[1])
		}
		if touches {
			r.set(false)
			found = true
		}
	}
	if !found {
		ts.Fatalf("no relay to cut: is it `cluster N relayed`?")
	}
}

// heal lets everything pass again.
func heal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, r := range fixtureOf(ts).relays {
		r.set(true)
	}
}
