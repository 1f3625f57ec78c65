// Package echo measures the age of what a peer tells by this process's own
// clock: pings are numbered and the time of each is kept; an answer names the
// newest ping that the peer had read, so it is at least as new as that ping.
// An answer that lay in a buffer while a link was cut or this process was
// stopped counts as old as it is.
package echo

import (
	"sync"
	"time"
)

// maxTimes bounds the pings whose answer is still of use.
const maxTimes = 32

// Times keeps when the newest pings were sent. The zero value is empty.
type Times struct {
	mu    sync.Mutex
	times []sending
}

type sending struct {
	number uint64
	at     time.Time
}

// Sent notes a ping before it is written.
func (t *Times) Sent(number uint64, at time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.times = append(t.times, sending{number: number, at: at})
	if len(t.times) > maxTimes {
		t.times = t.times[1:]
	}
}

// Answered forgets the pings before the echoed one; that one stays, for later
// answers may name it too.
func (t *Times) Answered(number uint64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for len(t.times) > 1 && t.times[0].number < number {
		t.times = t.times[1:]
	}
}

// At is when the ping was sent; it reports false for one that is not kept.
func (t *Times) At(number uint64) (time.Time, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, ping := range t.times {
		if ping.number == number {
			return ping.at, true
		}
	}
	return time.Time{}, false
}
