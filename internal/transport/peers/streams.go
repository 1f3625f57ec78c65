package peers

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/softstate"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// duplex is one end of a bidirectional message stream: the serving instance sends
// batches, the instance that opened the stream sends pings.
type duplex[Out proto.Message, In any, InMessage interface {
	*In
	proto.Message
}] struct {
	peer   string
	stream net.Conn
	reader *bufio.Reader
	// bytesReceived counts the bytes received; nil if they are not counted.
	bytesReceived *atomic.Uint64
	// failureOf returns the failure with which the peer ends the stream, or nil; it is nil
	// itself on the serving side.
	failureOf func(InMessage) *peerpb.Failure
	stop      func() bool
}

// Send writes one message.
func (d *duplex[Out, In, InMessage]) Send(message Out) error {
	if err := writeMessage(d.stream, message); err != nil {
		return failure.Wrap(failure.Unreachable, err, "send to %s", d.peer)
	}
	return nil
}

// Receive reads the next message.
func (d *duplex[Out, In, InMessage]) Receive() (InMessage, error) {
	message := InMessage(new(In))
	if err := readMessage(d.reader, message); err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "receive from %s", d.peer)
	}
	if d.failureOf != nil {
		if f := d.failureOf(message); f != nil {
			return nil, decodeFailure(f)
		}
	}
	return message, nil
}

// BytesReceived returns the number of bytes received.
func (d *duplex[Out, In, InMessage]) BytesReceived() uint64 { return d.bytesReceived.Load() }

// Close closes the stream and unblocks a pending Receive; see expireOnDone.
func (d *duplex[Out, In, InMessage]) Close() error {
	d.stop()
	_ = d.stream.SetDeadline(pastDeadline)
	return d.stream.Close()
}

// countingReader counts the bytes read from a stream.
type countingReader struct {
	stream net.Conn
	count  *atomic.Uint64
}

func (r *countingReader) Read(p []byte) (int, error) {
	n, err := r.stream.Read(p)
	r.count.Add(uint64(n))
	return n, err
}

type (
	followServerStream = duplex[*peerpb.FollowBatch, peerpb.FollowPing, *peerpb.FollowPing]
	followClientStream = duplex[*peerpb.FollowPing, peerpb.FollowBatch, *peerpb.FollowBatch]
	watchServerStream  = duplex[*peerpb.SoftBatch, peerpb.WatchPing, *peerpb.WatchPing]
	watchClientStream  = duplex[*peerpb.WatchPing, peerpb.SoftBatch, *peerpb.SoftBatch]
)

// serveFollow sends the follower the failure that ends its stream, so that it switches
// to the next source at once. The deadline set on return unblocks the reader of pings.
func serveFollow(ctx context.Context, call *peerpb.Call, stream net.Conn, reader *bufio.Reader, handler Handler) {
	defer stream.SetDeadline(pastDeadline)
	server := &followServerStream{peer: call.From, stream: stream, reader: reader}
	if err := handler.Follow(ctx, call.GetFollow(), server); err != nil {
		_ = server.Send(&peerpb.FollowBatch{Failure: encodeFailure(failure.From(err))})
	}
}

func serveWatch(ctx context.Context, call *peerpb.Call, stream net.Conn, reader *bufio.Reader, handler Handler) {
	defer stream.SetDeadline(pastDeadline)
	server := &watchServerStream{peer: call.From, stream: stream, reader: reader}
	if err := handler.Watch(ctx, call.GetWatch(), server); err != nil {
		_ = server.Send(&peerpb.SoftBatch{Failure: encodeFailure(failure.From(err))})
	}
}

// Follow opens a stream of the log of an instance. It is closed by Close or when ctx is
// done.
func (n *Network) Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error) {
	stream, stop, err := n.openStream(ctx, to, &peerpb.Call{Body: &peerpb.Call_Follow{Follow: follow}})
	if err != nil {
		return nil, err
	}
	bytesReceived := &atomic.Uint64{}
	reader := bufio.NewReader(&countingReader{stream: stream, count: bytesReceived})
	return &followClientStream{
		peer: to, stream: stream, reader: reader, bytesReceived: bytesReceived, stop: stop, failureOf: (*peerpb.FollowBatch).GetFailure,
	}, nil
}

// Watch opens a stream of the soft state of an instance. It is closed by Close or when
// ctx is done.
func (n *Network) Watch(ctx context.Context, to string, watch *peerpb.Watch) (softstate.SourceStream, error) {
	stream, stop, err := n.openStream(ctx, to, &peerpb.Call{Body: &peerpb.Call_Watch{Watch: watch}})
	if err != nil {
		return nil, err
	}
	return &watchClientStream{
		peer: to, stream: stream, reader: bufio.NewReader(stream), stop: stop, failureOf: (*peerpb.SoftBatch).GetFailure,
	}, nil
}

// openStream opens a stream and sends the call that the peer answers with batches. stop
// releases the association of the stream with ctx.
func (n *Network) openStream(ctx context.Context, to string, call *peerpb.Call) (net.Conn, func() bool, error) {
	stream, err := n.open(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	call.From = n.name
	if err := writeMessage(stream, call); err != nil {
		stream.Close()
		return nil, nil, failure.Wrap(failure.Unreachable, err, "request stream from %s", to)
	}
	return stream, expireOnDone(ctx, stream), nil
}
