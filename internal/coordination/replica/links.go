package replica

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/state/disk"
)

const (
	// linkQueue bounds the messages that wait for one peer.
	linkQueue = 256
	// redialPause is the pause after a stream could not be opened.
	redialPause = 100 * time.Millisecond
)

// links carry consensus messages to the other instances, each with a goroutine
// of its own, so that one that is cut off holds up no other.
//
// A link is made with the first message to its peer. One goroutine uses links.
type links struct {
	ctx    context.Context
	peers  Peers
	queues map[string]chan *consensuspb.Message
}

func newLinks() *links { return &links{queues: map[string]chan *consensuspb.Message{}} }

// start makes links carry until ctx ends; what is sent before is dropped.
func (l *links) start(ctx context.Context, peers Peers) { l.ctx, l.peers = ctx, peers }

func (l *links) queue(peer string) chan *consensuspb.Message {
	queue, ok := l.queues[peer]
	if !ok && l.ctx != nil {
		queue = make(chan *consensuspb.Message, linkQueue)
		l.queues[peer] = queue
		go carry(l.ctx, l.peers, peer, queue)
	}
	return queue
}

// send queues messages; where a queue is full they are dropped, which consensus
// takes like a loss on the link.
func (l *links) send(messages []*consensuspb.Message) {
	for _, message := range messages {
		select {
		case l.queue(disk.Instance(message.To)) <- message:
		default:
			messagesDropped.Add(1)
		}
	}
}

// carry sends what is queued for one peer, over one stream after another.
func carry(ctx context.Context, peers Peers, peer string, queue chan *consensuspb.Message) {
	var stream control.MessageStream
	for {
		select {
		case <-ctx.Done():
			return
		case first := <-queue:
			batch := gather(first, queue)
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
		control.Pause(ctx, redialPause)
		return nil
	}
	return stream
}

func gather(first *consensuspb.Message, queue chan *consensuspb.Message) []*consensuspb.Message {
	batch := []*consensuspb.Message{first}
	for len(batch) < linkQueue {
		select {
		case next := <-queue:
			batch = append(batch, next)
		default:
			return batch
		}
	}
	return batch
}
