package peers

import (
	"context"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// The peer takes the call and never answers, but its session lives, as that of a
// process does whose control thread is stuck. The caller's context ends. A call must then give up with an unknown outcome, and a
// follower must return, or a stopping instance would wait for its peer.
func TestSilentPeerDoesNotOutliveContext(t *testing.T) {
	is := is.New(t)
	silent, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer silent.Close()
	go func() {
		conn, err := silent.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			return
		}
		<-session.CloseChan()
	}()
	network := NewNetwork("a", map[string]netip.AddrPort{"b": netip.MustParseAddrPort(silent.Addr().String())})
	defer network.Close()

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 2)
	go func() {
		_, err := network.Call(ctx, "b", &peerpb.Call{})
		ended <- err
	}()
	go func() {
		stream, err := network.Follow(ctx, "b", &peerpb.Follow{})
		if err == nil {
			_, err = stream.Receive()
		}
		ended <- err
	}()
	time.AfterFunc(10*time.Millisecond, cancel)
	for range 2 {
		f := failure.From(<-ended)
		is.True(f.Code == failure.OutcomeUnknown || f.Code == failure.Unreachable)
	}
}

// scarce is a listener that finds no descriptor left a few times.
type scarce struct {
	net.Listener
	failures int
}

func (l *scarce) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// answering answers every call; its other methods are not called.
type answering struct{ Handler }

func (answering) Call(context.Context, *peerpb.Call) (*peerpb.Reply, error) {
	return &peerpb.Reply{}, nil
}

// An instance that the others could never reach again, once an accept had failed for
// want of a descriptor.
func TestListenerOutlivesAFailedAccept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() {
		served <- NewNetwork("b", nil).Serve(ctx, &scarce{listener, 2}, answering{})
	}()
	network := NewNetwork("a", map[string]netip.AddrPort{"b": netip.MustParseAddrPort(listener.Addr().String())})
	defer network.Close()
	_, err = network.Call(t.Context(), "b", &peerpb.Call{})
	is.NoErr(err)
	cancel()
	listener.Close()
	is.NoErr(<-served)
}
