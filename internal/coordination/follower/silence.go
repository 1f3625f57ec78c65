package follower

import (
	"sync"
	"time"
)

// silenceWatch closes a link on which no byte has come for a while. Bytes count and
// not batches: a large entry takes longer than that on a thin link. Its timer fires
// only when no whole batch has come, so a link that is well costs no wake-up.
type silenceWatch struct {
	link  *link
	limit time.Duration
	mu    sync.Mutex
	timer *time.Timer
	// bytesReceived is the count of bytes when the timer was last set.
	bytesReceived uint64
}

func watchSilence(l *link, limit time.Duration) *silenceWatch {
	w := &silenceWatch{link: l, limit: limit, bytesReceived: l.stream.BytesReceived()}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(limit, w.look)
	return w
}

// heard notes a whole batch.
func (w *silenceWatch) heard() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.bytesReceived = w.link.stream.BytesReceived()
	w.timer.Reset(w.limit)
}

// look closes the link unless a part of a batch has come.
func (w *silenceWatch) look() {
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

func (w *silenceWatch) stop() { w.timer.Stop() }
