// Package peers implements the transport between instances: yamux sessions over TCP,
// optionally with mutual TLS, one stream per call. Each protobuf message is preceded by
// its length: 4 bytes, little-endian.
package peers

import (
	"bufio"
	"context"
	"encoding/binary"
	"errors"
	"expvar"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/softstate"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/transport/counted"
	"pinewinch.example/pinewinch/internal/transport/tlsfiles"
)

const (
	maxMessage = 64 << 20
	// maxWrite limits the bytes of one frame, because messages of other streams queue
	// behind it and its reader receives nothing before its end. A frame of this size
	// takes 66 ms at 2 Mbit/s.
	maxWrite    = 16 << 10
	dialTimeout = 2 * time.Second
	// acceptRetryDelay is the wait after a failed accept, in which a file descriptor may
	// become free.
	acceptRetryDelay = 100 * time.Millisecond
)

var (
	traffic     = counted.NewCounters("peer")
	callsSent   = expvar.NewInt("peer_calls_sent")
	callsFailed = expvar.NewInt("peer_calls_failed")

	acceptsFailed = expvar.NewInt("peer_accepts_failed")
)

// Handler handles calls from other instances.
type Handler interface {
	// Call handles a unary call.
	Call(ctx context.Context, call *peerpb.Call) (*peerpb.Reply, error)
	// Follow sends batches of the log until ctx is done or the stream fails.
	Follow(ctx context.Context, call *peerpb.Follow, stream control.Stream) error
	// Watch sends soft state until ctx is done or the stream fails.
	Watch(ctx context.Context, call *peerpb.Watch, stream softstate.Stream) error
	// Deliver passes on one consensus message without blocking.
	Deliver(message *consensuspb.Message)
}

// Network calls other instances and serves their calls.
type Network struct {
	name      string
	addresses map[string]netip.AddrPort
	// tls is nil for plain TCP.
	tls      *tlsfiles.Source
	mu       sync.Mutex
	sessions map[string]*link
	// discovered holds instances that are not in addresses; their names are addresses.
	discovered map[string]bool
	silent     silentConns
}

// NewNetwork creates the network of the named instance; addresses maps the names of its
// configured peers to their addresses.
func NewNetwork(name string, addresses map[string]netip.AddrPort) *Network {
	return &Network{name: name, addresses: addresses, sessions: map[string]*link{}, discovered: map[string]bool{}}
}

// AddDiscovered adds discovered instances, whose names are their addresses.
func (n *Network) AddDiscovered(names ...string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, name := range names {
		if _, known := n.addresses[name]; !known && name != n.name && name != "" {
			n.discovered[name] = true
		}
	}
}

// addressOf returns the address of an instance. The name of an instance that is not in
// the settings is its address.
func (n *Network) addressOf(name string) (netip.AddrPort, error) {
	if address, ok := n.addresses[name]; ok {
		return address, nil
	}
	address, err := netip.ParseAddrPort(name)
	if err != nil {
		return address, failure.New(failure.Unreachable, "no address of instance %q", name)
	}
	return address, nil
}

// UseTLS enables mutual TLS for all connections. It must be called before the first
// connection is made or accepted.
func (n *Network) UseTLS(source *tlsfiles.Source) { n.tls = source }

// Peers returns the names of all other known instances.
func (n *Network) Peers() []string {
	names := make([]string, 0, len(n.addresses))
	for name := range n.addresses {
		if name != n.name {
			names = append(names, name)
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	for name := range n.discovered {
		names = append(names, name)
	}
	return names
}

// Serve handles the calls that arrive on the listener until it is closed. An accept that
// fails for another reason, such as a lack of file descriptors, is retried: without the
// accept loop the instance would be unreachable for the others until it restarts.
func (n *Network) Serve(ctx context.Context, listener net.Listener, handler Handler) error {
	for {
		conn, err := listener.Accept()
		switch {
		case err == nil:
			go n.serveConn(ctx, conn, handler)
		case ctx.Err() != nil:
			return nil
		case errors.Is(err, net.ErrClosed):
			return failure.Wrap(failure.Unreachable, err, "accept on %s", listener.Addr())
		default:
			acceptsFailed.Add(1)
			control.Sleep(ctx, acceptRetryDelay)
		}
	}
}

func (n *Network) serveConn(ctx context.Context, conn net.Conn, handler Handler) {
	spoke := n.silent.add(conn)
	defer spoke()
	conn, err := n.secureServer(ctx, traffic.Conn(conn))
	if err != nil {
		return
	}
	l, err := serverLink(conn)
	if err != nil {
		conn.Close()
		return
	}
	defer l.Close()
	defer l.closeOnDone(ctx)()
	for {
		stream, err := l.Accept()
		if err != nil {
			return
		}
		spoke()
		go serveStream(ctx, stream, handler)
	}
}

func serveStream(ctx context.Context, stream net.Conn, handler Handler) {
	defer stream.Close()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	call := &peerpb.Call{}
	reader := bufio.NewReader(stream)
	if err := readMessage(reader, call); err != nil {
		return
	}
	switch call.Body.(type) {
	case *peerpb.Call_Follow:
		serveFollow(ctx, call, stream, reader, handler)
		return
	case *peerpb.Call_Watch:
		serveWatch(ctx, call, stream, reader, handler)
		return
	}
	if call.GetReplicate() != nil {
		serveReplicate(ctx, reader, handler)
		return
	}
	reply, err := handler.Call(ctx, call)
	if err != nil {
		reply = &peerpb.Reply{Failure: encodeFailure(failure.From(err))}
	}
	_ = writeMessage(stream, reply)
}

// Call sends a call to an instance and waits for its reply. An error that occurs before
// the call is written says that it has not run; after that, the outcome is unknown.
func (n *Network) Call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	callsSent.Add(1)
	reply, err := n.call(ctx, to, call)
	if err != nil {
		callsFailed.Add(1)
	}
	return reply, err
}

func (n *Network) call(ctx context.Context, to string, call *peerpb.Call) (*peerpb.Reply, error) {
	stream, err := n.open(ctx, to)
	if err != nil {
		return nil, err
	}
	defer stream.Close()
	stop := expireOnDone(ctx, stream)
	defer stop()
	call.From = n.name
	if err := writeMessage(stream, call); err != nil {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "call %s", to)
	}
	reply := &peerpb.Reply{}
	if err := readMessage(bufio.NewReader(stream), reply); err != nil {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "answer of %s", to)
	}
	if reply.Failure != nil {
		return nil, decodeFailure(reply.Failure)
	}
	return reply, nil
}

// pastDeadline makes pending reads and writes time out at once.
var pastDeadline = time.Unix(1, 0)

// expireOnDone makes reads and writes of a stream time out once ctx is done. Closing the
// stream is not enough: a read on a locally closed yamux stream still waits for the
// peer, and a frozen or partitioned peer never answers. The caller would exceed its
// deadline, and a stopping instance its grace period. A deadline in the past unblocks
// the read whatever the peer does.
func expireOnDone(ctx context.Context, stream net.Conn) (stop func() bool) {
	return context.AfterFunc(ctx, func() { _ = stream.SetDeadline(pastDeadline) })
}

func (n *Network) open(ctx context.Context, to string) (*stream, error) {
	l, err := n.session(ctx, to)
	if err != nil {
		return nil, err
	}
	opened, err := l.Open()
	if err != nil {
		l.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "open a stream to %s", to)
	}
	return opened, nil
}

func (n *Network) session(ctx context.Context, to string) (*link, error) {
	n.mu.Lock()
	session := n.sessions[to]
	n.mu.Unlock()
	if session != nil && !session.IsClosed() {
		return session, nil
	}
	address, err := n.addressOf(to)
	if err != nil {
		return nil, err
	}
	dialer := net.Dialer{Timeout: dialTimeout}
	conn, err := dialer.DialContext(ctx, "tcp", address.String())
	if err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "dial %s", to)
	}
	conn, err = n.secureClient(ctx, to, traffic.Conn(conn))
	if err != nil {
		return nil, err
	}
	session, err = clientLink(conn)
	if err != nil {
		conn.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "session with %s", to)
	}
	return n.storeSession(to, session), nil
}

// storeSession stores and returns the session, unless an open one was stored meanwhile
// by a concurrent dial: then it closes the given one and returns the stored one.
func (n *Network) storeSession(to string, session *link) *link {
	n.mu.Lock()
	defer n.mu.Unlock()
	if earlier := n.sessions[to]; earlier != nil && !earlier.IsClosed() {
		session.Close()
		return earlier
	}
	n.sessions[to] = session
	return session
}

// Close closes all sessions to other instances.
func (n *Network) Close() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, session := range n.sessions {
		session.Close()
	}
}

func sessionConfig() *yamux.Config {
	config := yamux.DefaultConfig()
	config.LogOutput = io.Discard
	// The link does the keep-alive itself; see link.
	config.EnableKeepAlive = false
	config.ConnectionWriteTimeout = 5 * time.Second
	return config
}

func writeMessage(w io.Writer, message proto.Message) error {
	buffer := make([]byte, 4, 4+proto.Size(message))
	buffer, err := proto.MarshalOptions{}.MarshalAppend(buffer, message)
	if err != nil {
		return err
	}
	binary.LittleEndian.PutUint32(buffer, uint32(len(buffer)-4))
	for len(buffer) > 0 && err == nil {
		size := min(len(buffer), maxWrite)
		_, err = w.Write(buffer[:size])
		buffer = buffer[size:]
	}
	return err
}

func readMessage(r io.Reader, message proto.Message) error {
	var header [4]byte
	if _, err := io.ReadFull(r, header[:]); err != nil {
		return err
	}
	size := binary.LittleEndian.Uint32(header[:])
	if size > maxMessage {
		return failure.New(failure.TooLarge, "message of %d bytes", size)
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return proto.Unmarshal(body, message)
}

func encodeFailure(f *failure.Error) *peerpb.Failure {
	encoded := &peerpb.Failure{Code: string(f.Code), Message: f.Error(), NotRun: string(f.NotRun), Leader: f.Leader}
	for _, source := range f.Sources {
		encoded.Sources = append(encoded.Sources, &peerpb.Source{Instance: source.Instance, DataCentre: source.DataCentre, Replica: source.Replica})
	}
	return encoded
}

func decodeFailure(f *peerpb.Failure) error {
	decoded := &failure.Error{Code: failure.Code(f.Code), Message: f.Message, NotRun: failure.NotRun(f.NotRun), Leader: f.Leader}
	for _, source := range f.Sources {
		decoded.Sources = append(decoded.Sources, failure.Source{Instance: source.Instance, DataCentre: source.DataCentre, Replica: source.Replica})
	}
	return decoded
}
