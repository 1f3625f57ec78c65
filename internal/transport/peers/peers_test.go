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

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// The peer accepts the call and never answers while its session stays open, as with a
// process whose control thread is stuck. When the caller's context ends, a call must
// return with an unknown outcome and a follower must return; otherwise a stopping
// instance would wait for its peer.
func TestCallEndsWithContextWhenPeerIsUnresponsive(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	defer listener.Close()
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		session, err := yamux.Server(conn, sessionConfig())
		if err != nil {
			return
		}
		<-session.CloseChan()
	}()
	network := NewNetwork("a", map[string]netip.AddrPort{"b": netip.MustParseAddrPort(listener.Addr().String())})
	defer network.Close()

	ctx, cancel := context.WithCancel(context.Background())
	results := make(chan error, 2)
	go func() {
		_, err := network.Call(ctx, "b", &peerpb.Call{})
		results <- err
	}()
	go func() {
		stream, err := network.Follow(ctx, "b", &peerpb.Follow{})
		if err == nil {
			_, err = stream.Receive()
		}
		results <- err
	}()
	time.AfterFunc(10*time.Millisecond, cancel)
	for range 2 {
		f := failure.From(<-results)
		is.True(f.Code == failure.OutcomeUnknown || f.Code == failure.Unreachable)
	}
}

// failingListener fails the given number of accepts for lack of file descriptors.
type failingListener struct {
	net.Listener
	failures int
}

func (l *failingListener) Accept() (net.Conn, error) {
	if l.failures > 0 {
		l.failures--
		return nil, &net.OpError{Op: "accept", Net: "tcp", Err: syscall.EMFILE}
	}
	return l.Listener.Accept()
}

// replyingHandler replies to every call; its other methods are not used.
type replyingHandler struct{ Handler }

func (replyingHandler) Call(context.Context, *peerpb.Call) (*peerpb.Reply, error) {
	return &peerpb.Reply{}, nil
}

// An accept fails for lack of file descriptors. The instance must go on accepting, or the
// others could not reach it again.
func TestServeContinuesAfterFailedAccept(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	ctx, cancel := context.WithCancel(t.Context())
	served := make(chan error)
	go func() {
		served <- NewNetwork("b", nil).Serve(ctx, &failingListener{listener, 2}, replyingHandler{})
	}()
	network := NewNetwork("a", map[string]netip.AddrPort{"b": netip.MustParseAddrPort(listener.Addr().String())})
	defer network.Close()
	_, err = network.Call(t.Context(), "b", &peerpb.Call{})
	is.NoErr(err)
	cancel()
	listener.Close()
	is.NoErr(<-served)
}

// The sender of consensus messages writes on to a receiver that gave up reading, and nothing arrives.
func TestSenderNoticesThatItsReceiverEnded(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	network := NewNetwork("a", map[string]netip.AddrPort{"b": netip.MustParseAddrPort(listener.Addr().String())})
	defer network.Close()
	handler := &messageHandler{received: make(chan *consensuspb.Message, 16)}
	go func() { _ = NewNetwork("b", nil).Serve(t.Context(), listener, handler) }()
	defer listener.Close()

	messages, err := network.Messages(t.Context(), "b")
	is.NoErr(err)
	is.NoErr(messages.Send(&consensuspb.Message{Term: 1}))
	is.Equal((<-handler.received).Term, uint64(1))
	// A length beyond the limit ends the receiver's reading.
	_, err = messages.(*messageStream).stream.Write([]byte{0xff, 0xff, 0xff, 0xff})
	is.NoErr(err)
	for deadline := time.Now().Add(10 * time.Second); messages.Send(&consensuspb.Message{Term: 2}) == nil; time.Sleep(10 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("the sender writes on although nobody reads")
		}
	}
	is.NoErr(messages.Close())
	again, err := network.Messages(t.Context(), "b")
	is.NoErr(err)
	is.NoErr(again.Send(&consensuspb.Message{Term: 3}))
	is.Equal((<-handler.received).Term, uint64(3))
}

// messageHandler passes on the consensus messages that arrive.
type messageHandler struct {
	Handler
	received chan *consensuspb.Message
}

// Deliver passes on one message.
func (h *messageHandler) Deliver(message *consensuspb.Message) { h.received <- message }
