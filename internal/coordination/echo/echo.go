// Package echo measures the age of a peer's messages by this process's own
// clock. Pings are numbered and the send time of each is recorded. A message echoes
// the newest ping that the peer had read, so it is at least as recent as that ping.
// A message that was buffered while a link was partitioned or this process was
// paused is therefore not taken to be newer than it is.
package echo

import "sync"

// maxTimes limits the pings whose send times are kept.
const maxTimes = 32

// Times records when the newest pings were sent, by a clock with times of type T. The zero
// value is ready to use.
type Times[T any] struct {
	mu    sync.Mutex
	times []sending[T]
}

type sending[T any] struct {
	number uint64
	at     T
}

// RecordSent records the send time of a ping. It is called before the ping is written.
func (t *Times[T]) RecordSent(number uint64, at T) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, sending[T]{number: number, at: at})
	if len(t.times) > maxTimes {
		t.times = t.times[1:]
	}
}

// Acknowledge removes the pings before the echoed one. The echoed one is kept, since
// later messages may echo it too.
func (t *Times[T]) Acknowledge(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.times) > 1 && t.times[0].number < number {
		t.times = t.times[1:]
	}
}

// SentAt returns when the ping was sent, or false if it is not recorded.
func (t *Times[T]) SentAt(number uint64) (at T, ok bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ping := range t.times {
		if ping.number == number {
			return ping.at, true
		}
	}
	return at, false
}
