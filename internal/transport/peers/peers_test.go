package peers

import (
	"context"
	"net"
	"net/netip"
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
