package follower

import (
	"sync"
	"time"
)

// idleTimer closes a link on which no byte has arrived within the limit. It counts
// bytes, not batches: a large entry takes longer than the limit on a slow link. The timer
// fires only if no complete batch has arrived, so that a healthy link costs no wake-up.
type idleTimer struct {
	link  *link
	limit time.Duration
	mu    sync.Mutex
	timer *time.Timer
	// bytesReceived is the number of bytes received when the timer was last set.
	bytesReceived uint64
}

func startIdleTimer(l *link, limit time.Duration) *idleTimer {
	w := &idleTimer{link: l, limit: limit, bytesReceived: l.stream.BytesReceived()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.check)
	return w
}

// reset restarts the timer after a complete batch.
func (w *idleTimer) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytesReceived = w.link.stream.BytesReceived()
	w.timer.Reset(w.limit)
}

// check closes the link unless part of a batch has arrived since the timer was set.
func (w *idleTimer) check() {
	w.mu.Lock()
	defer w.mu.Unlock()
	received := w.link.stream.BytesReceived()
	if received == w.bytesReceived {
		w.link.close()
		return
	}
	w.bytesReceived = received
	w.timer.Reset(w.limit)
}

func (w *idleTimer) stop() { w.timer.Stop() }
