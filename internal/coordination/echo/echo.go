// Package echo measures the age of a peer's messages by this process's own
// clock. Pings are numbered and the send time of each is recorded. A message echoes
// the newest ping that the peer had read, so it is at least as recent as that ping.
// A message that was buffered while a link was partitioned or this process was
// paused is therefore not taken to be newer than it is.
package echo

import (
	"sync"
	"time"
)

// maxTimes limits the pings whose send times are kept.
const maxTimes = 32

// Times records when the newest pings were sent. The zero value is ready to use.
type Times struct {
	mu    sync.Mutex
	times []sending
}

type sending struct {
	number uint64
	at     time.Time
}

// RecordSent records the send time of a ping. It is called before the ping is written.
func (t *Times) RecordSent(number uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, sending{number: number, at: at})
	if len(t.times) > maxTimes {
		t.times = t.times[1:]
	}
}

// Acknowledge removes the pings before the echoed one. The echoed one is kept, since
// later messages may echo it too.
func (t *Times) Acknowledge(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.times) > 1 && t.times[0].number < number {
		t.times = t.times[1:]
	}
}

// SentAt returns when the ping was sent, or false if it is not recorded.
func (t *Times) SentAt(number uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ping := range t.times {
		if ping.number == number {
			return ping.at, true
		}
	}
	return time.Time{}, false
}
