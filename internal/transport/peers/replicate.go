package peers

import (
	"bufio"
	"context"
	"io"
	"net"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// serveReplicate delivers consensus messages to the handler until the stream ends.
func serveReplicate(ctx context.Context, reader *bufio.Reader, handler Handler) {
	for ctx.Err() == nil {
		message := &consensuspb.Message{}
		if err := readMessage(reader, message); err != nil {
			return
		}
		handler.Deliver(message)
	}
}

// messageStream sends consensus messages to one instance.
type messageStream struct {
	to     string
	stream net.Conn
	writer *bufio.Writer
	stop   func() bool
}

// Messages opens a stream of consensus messages to an instance. It is closed by Close or
// when ctx is done.
func (n *Network) Messages(ctx context.Context, to string) (control.MessageStream, error) {
	stream, err := n.open(ctx, to)
	if err != nil {
		return nil, err
	}
	call := &peerpb.Call{From: n.name, Body: &peerpb.Call_Replicate{Replicate: &peerpb.Replicate{}}}
	if err := writeMessage(stream, call); err != nil {
		stream.Close()
		return nil, failure.Wrap(failure.Unreachable, err, "replicate to %s", to)
	}
	stop := context.AfterFunc(ctx, func() { stream.Close() })
	go closeWithReceiver(stream)
	return &messageStream{to: to, stream: stream, writer: bufio.NewWriter(stream), stop: stop}, nil
}

// closeWithReceiver closes a stream, which carries nothing in return, once its receiver has closed it.
// A receiver gives up reading when its process was stopped for longer than a write may take; messages
// written afterwards would be lost without an error for as long as the session lives, and a follower
// would hear nothing of its leader.
func closeWithReceiver(stream net.Conn) {
	_, _ = io.Copy(io.Discard, stream)
	stream.Close()
}

// Send writes the messages and flushes them together.
func (s *messageStream) Send(messages ...*consensuspb.Message) error {
	for _, message := range messages {
		if err := writeMessage(s.writer, message); err != nil {
			return failure.Wrap(failure.Unreachable, err, "replicate to %s", s.to)
		}
	}
	if err := s.writer.Flush(); err != nil {
		return failure.Wrap(failure.Unreachable, err, "replicate to %s", s.to)
	}
	return nil
}

// Close closes the stream.
func (s *messageStream) Close() error {
	s.stop()
	return s.stream.Close()
}
