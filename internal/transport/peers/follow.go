package peers

import (
	"bufio"
	"context"
	"net"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// servingStream is the serving end of a follower's stream.
type servingStream struct {
	stream net.Conn
	reader *bufio.Reader
}

// Send writes one batch.
func (s *servingStream) Send(batch *peerpb.FollowBatch) error {
	return writeMessage(s.stream, batch)
}

// Receive reads the follower's next ping.
func (s *servingStream) Receive() (*peerpb.FollowPing, error) {
	ping := &peerpb.FollowPing{}
	return ping, readMessage(s.reader, ping)
}

// serveFollow tells the follower why its stream ends, so that it goes to the
// next source at once.
func serveFollow(ctx context.Context, follow *peerpb.Follow, stream *servingStream, handler Handler) {
	if err := handler.Follow(ctx, follow, stream); err != nil {
		_ = stream.Send(&peerpb.FollowBatch{Failure: encodeFailure(failure.From(err))})
	}
}

// followingStream is the following end.
type followingStream struct {
	to     string
	stream net.Conn
	reader *bufio.Reader
	stop   func() bool
}

// Follow asks an instance for its log. The stream ends with ctx or by Close.
func (n *Network) Follow(ctx context.Context, to string, follow *peerpb.Follow) (control.SourceStream, error) {
	stream, err := n.open(ctx, to)
	if err != nil {
		return nil, err
	}
	call := &peerpb.Call{From: n.name, Body: &peerpb.Call_Follow{Follow: follow}}
	if err := writeMessage(stream, call); err != nil {
		stream.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "follow %s", to)
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	return &followingStream{to: to, stream: stream, reader: bufio.NewReader(stream), stop: stop}, nil
}

// Send writes one ping.
func (s *followingStream) Send(ping *peerpb.FollowPing) error {
	if err := writeMessage(s.stream, ping); err != nil {
		return failure.Wrap(failure.Unreachable, err, "ping %s", s.to)
	}
	return nil
}

// Receive reads the next batch.
func (s *followingStream) Receive() (*peerpb.FollowBatch, error) {
	batch := &peerpb.FollowBatch{}
	if err := readMessage(s.reader, batch); err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "follow %s", s.to)
	}
	if batch.Failure != nil {
		return nil, decodeFailure(batch.Failure)
	}
	return batch, nil
}

// Close ends the stream.
func (s *followingStream) Close() error {
	s.stop()
	return s.stream.Close()
}
