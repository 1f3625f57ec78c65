package replica

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/state/disk"
)

const (
	// linkQueueLength limits the messages queued for one peer.
	linkQueueLength = 256
	// redialPause is the pause after a stream could not be opened.
	redialPause = 100 * time.Millisecond
)

// links sends consensus messages to the other instances, each from a goroutine of its
// own, so that an unreachable instance does not delay the others.
//
// A queue is created with the first message to its peer. links is not safe for
// concurrent use.
type links struct {
	ctx    context.Context
	peers  Peers
	queues map[string]chan *consensuspb.Message
}

func newLinks() *links { return &links{queues: map[string]chan *consensuspb.Message{}} }

// start enables sending until ctx ends; messages sent before are dropped.
func (l *links) start(ctx context.Context, peers Peers) { l.ctx, l.peers = ctx, peers }

func (l *links) queue(peer string) chan *consensuspb.Message {
	queue, ok := l.queues[peer]
	if !ok && l.ctx != nil {
		queue = make(chan *consensuspb.Message, linkQueueLength)
		l.queues[peer] = queue
		go sendLoop(l.ctx, l.peers, peer, queue)
	}
	return queue
}

// send queues messages. If a queue is full, they are dropped, which consensus handles
// like a loss on the link.
func (l *links) send(messages []*consensuspb.Message) {
	for _, message := range messages {
		select {
		case l.queue(disk.Instance(message.To)) <- message:
		default:
			messagesDropped.Add(1)
		}
	}
}

// sendLoop sends the messages queued for one peer and reopens the stream after an error.
func sendLoop(ctx context.Context, peers Peers, peer string, queue chan *consensuspb.Message) {
	var stream control.MessageStream
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := collectBatch(first, queue)
			if stream == nil {
				stream = dial(ctx, peers, peer)
			}
			if stream == nil {
				continue
			}
			if err := stream.Send(batch...); err != nil {
				stream.Close()
				stream = nil
			}
		}
	}
}

func dial(ctx context.Context, peers Peers, peer string) control.MessageStream {
	stream, err := peers.Messages(ctx, peer)
	if err != nil {
		control.Sleep(ctx, redialPause)
		return nil
	}
	return stream
}

func collectBatch(first *consensuspb.Message, queue chan *consensuspb.Message) []*consensuspb.Message {
	batch := []*consensuspb.Message{first}
	for len(batch) < linkQueueLength {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}
