package claims

import (
	"context"
	"sync"
)

const (
	// maxBatch is the largest number of items in one log command.
	maxBatch = 256
	// maxClaimBatchesInFlight limits the concurrent proposals of claims. Below the
	// limit a claim is proposed without delay; at the limit claims queue and share
	// the next round trip.
	maxClaimBatchesInFlight = 4
	// maxSettleBatchesInFlight is lower, because no caller waits for an outcome to
	// be recorded.
	maxSettleBatchesInFlight = 1
)

// batcher combines the items of concurrent requests into batches.
type batcher[I, O any] struct {
	// flush sends a batch and returns one result per item in the same order, or an
	// error for the whole batch.
	flush func(items []I) ([]O, error)
	// maxInFlight limits the batches that are being sent at once.
	maxInFlight int
	mu          sync.Mutex
	queue       []*batchEntry[I, O]
	inFlight    int
}

type batchEntry[I, O any] struct {
	item   I
	result O
	err    error
	done   chan struct{}
}

// do queues an item and waits for its result. sent is false if ctx ended before
// the item was put into a batch; such an item is never sent.
func (b *batcher[I, O]) do(ctx context.Context, item I) (result O, sent bool, err error) {
	entry := &batchEntry[I, O]{item: item, done: make(chan struct{})}
	b.enqueue(entry)
	select {
	case <-entry.done:
		return entry.result, true, entry.err
	case <-ctx.Done():
		return result, !b.dequeue(entry), context.Cause(ctx)
	}
}

func (b *batcher[I, O]) enqueue(entry *batchEntry[I, O]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.queue = append(b.queue, entry)
	if b.inFlight < b.maxInFlight {
		b.inFlight++
		go b.sendBatches()
	}
}

func (b *batcher[I, O]) dequeue(entry *batchEntry[I, O]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, queued := range b.queue {
		if queued == entry {
			b.queue = append(b.queue[:i], b.queue[i+1:]...)
			return true
		}
	}
	return false
}

// sendBatches sends batches until the queue is empty.
func (b *batcher[I, O]) sendBatches() {
	for {
		batch := b.nextBatch()
		if batch == nil {
			return
		}
		items := make([]I, len(batch))
		for i, entry := range batch {
			items[i] = entry.item
		}
		results, err := b.flush(items)
		for i, entry := range batch {
			if entry.err = err; err == nil {
				entry.result = results[i]
			}
			close(entry.done)
		}
	}
}

func (b *batcher[I, O]) nextBatch() []*batchEntry[I, O] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.inFlight--
		return nil
	}
	size := min(len(b.queue), maxBatch)
	batch := b.queue[:size:size]
	b.queue = b.queue[size:]
	return batch
}
