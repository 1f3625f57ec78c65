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

// duplex is one end of a stream that carries messages both ways: batches from
// the instance that was asked, pings from the one that asked.
type duplex[Out proto.Message, In any, InMessage interface {
	*In
	proto.Message
}] struct {
	other  string
	stream net.Conn
	reader *bufio.Reader
	// bytesReceived counts the bytes received; nil if the count is not used.
	bytesReceived *atomic.Uint64
	// refused finds the failure with which the other side ends the stream.
	refused func(InMessage) *peerpb.Failure
	stop    func() bool
}

// Send writes one message.
func (d *duplex[Out, In, InMessage]) Send(message Out) error {
	if err := writeMessage(d.stream, message); err != nil {
		return failure.Wrap(failure.Unreachable, err, "send to %s", d.other)
	}
	return nil
}

// Receive reads the next message.
func (d *duplex[Out, In, InMessage]) Receive() (InMessage, error) {
	message := InMessage(new(In))
	if err := readMessage(d.reader, message); err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "receive from %s", d.other)
	}
	if d.refused != nil {
		if f := d.refused(message); f != nil {
			return nil, decodeFailure(f)
		}
	}
	return message, nil
}

// BytesReceived returns the number of bytes received.
func (d *duplex[Out, In, InMessage]) BytesReceived() uint64 { return d.bytesReceived.Load() }

// Close ends the stream, and a Receive that waits on it: see endWith.
func (d *duplex[Out, In, InMessage]) Close() error {
	d.stop()
	_ = d.stream.SetDeadline(longAgo)
	return d.stream.Close()
}

// countingReader counts what is read from a stream.
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
	followServing = duplex[*peerpb.FollowBatch, peerpb.FollowPing, *peerpb.FollowPing]
	followAsking  = duplex[*peerpb.FollowPing, peerpb.FollowBatch, *peerpb.FollowBatch]
	watchServing  = duplex[*peerpb.SoftBatch, peerpb.WatchPing, *peerpb.WatchPing]
	watchAsking   = duplex[*peerpb.WatchPing, peerpb.SoftBatch, *peerpb.SoftBatch]
)

// serveFollow tells the follower why its stream ends, so that it goes to the
// next source at once. The deadline at the end frees the reader of its pings.
func serveFollow(ctx context.Context, call *peerpb.Call, stream net.Conn, reader *bufio.Reader, handler Handler) {
	defer stream.SetDeadline(longAgo)
	serving := &followServing{other: call.From, stream: stream, reader: reader}
	if err := handler.Follow(ctx, call.GetFollow(), serving); err != nil {
		_ = serving.Send(&peerpb.FollowBatch{Failure: encodeFailure(failure.From(err))})
	}
}

func serveWatch(ctx context.Context, call *peerpb.Call, stream net.Conn, reader *bufio.Reader, handler Handler) {
	defer stream.SetDeadline(longAgo)
	serving := &watchServing{other: call.From, stream: stream, reader: reader}
	if err := handler.Watch(ctx, call.GetWatch(), serving); err != nil {
		_ = serving.Send(&peerpb.SoftBatch{Failure: encodeFailure(failure.From(err))})
	}
}

// Follow asks an instance for its log. The stream ends with ctx or by Close.
func (n *Network) Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error) {
	stream, stop, err := n.ask(ctx, to, &peerpb.Call{Body: &peerpb.Call_Follow{Follow: follow}})
	if err != nil {
		return nil, err
	}
	bytesReceived := &atomic.Uint64{}
	reader := bufio.NewReader(&countingReader{stream: stream, count: bytesReceived})
	return &followAsking{
		other: to, stream: stream, reader: reader, bytesReceived: bytesReceived, stop: stop, refused: (*peerpb.FollowBatch).GetFailure,
	}, nil
}

// Watch asks an instance for its soft state. The stream ends with ctx or by Close.
func (n *Network) Watch(ctx context.Context, to string, watch *peerpb.Watch) (softstate.SourceStream, error) {
	stream, stop, err := n.ask(ctx, to, &peerpb.Call{Body: &peerpb.Call_Watch{Watch: watch}})
	if err != nil {
		return nil, err
	}
	return &watchAsking{
		other: to, stream: stream, reader: bufio.NewReader(stream), stop: stop, refused: (*peerpb.SoftBatch).GetFailure,
	}, nil
}

// ask opens a stream with a call that batches answer.
func (n *Network) ask(ctx context.Context, to string, call *peerpb.Call) (net.Conn, func() bool, error) {
	stream, err := n.open(ctx, to)
	if err != nil {
		return nil, nil, err
	}
	call.From = n.name
	if err := writeMessage(stream, call); err != nil {
		stream.Close()
		return nil, nil, failure.Wrap(failure.Unreachable, err, "ask %s", to)
	}
	return stream, endWith(ctx, stream), nil
}
