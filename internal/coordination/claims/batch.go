package claims

import (
	"context"
	"sync"
)

const (
	// maxBatch bounds the items that share one command of the log.
	maxBatch = 256
	// claimFlights is how many batches of claims are on their way at once. While
	// all are, claims gather: one at a time needs no waiting, many share a round
	// trip.
	claimFlights = 4
	// settleFlights is less, for nobody waits for an outcome to be recorded.
	settleFlights = 1
)

// batcher gathers items of many requests into few proposals.
type batcher[I, O any] struct {
	// flush sends items and gives a result for each, or an error for all.
	flush func(items []I) ([]O, error)
	// maxFlights bounds the batches on their way.
	maxFlights int
	mu         sync.Mutex
	waiting    []*batched[I, O]
	flights    int
}

type batched[I, O any] struct {
	item   I
	result O
	err    error
	done   chan struct{}
}

// do waits for the item's result. sent is false where ctx ended before the item
// was taken into a batch; such an item is never sent.
func (b *batcher[I, O]) do(ctx context.Context, item I) (result O, sent bool, err error) {
	entry := &batched[I, O]{item: item, done: make(chan struct{})}
	b.add(entry)
	select {
	case <-entry.done:
		return entry.result, true, entry.err
	case <-ctx.Done():
		return result, !b.withdraw(entry), context.Cause(ctx)
	}
}

func (b *batcher[I, O]) add(entry *batched[I, O]) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = append(b.waiting, entry)
	if b.flights < b.maxFlights {
		b.flights++
		go b.fly()
	}
}

func (b *batcher[I, O]) withdraw(entry *batched[I, O]) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i, waiting := range b.waiting {
		if waiting == entry {
			b.waiting = append(b.waiting[:i], b.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// fly sends batches until nothing waits.
func (b *batcher[I, O]) fly() {
	for {
		batch := b.next()
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

func (b *batcher[I, O]) next() []*batched[I, O] {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.flights--
		return nil
	}
	size := min(len(b.waiting), maxBatch)
	batch := b.waiting[:size:size]
	b.waiting = b.waiting[size:]
	return batch
}
