// Package logsink writes log lines without ever blocking the code that logs. Lines are
// queued in memory for a slow or blocked reader, up to a limit; lines that do not fit are
// dropped and counted. The lines of each message are limited per second.
package logsink

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// DefaultQueueLength is the default capacity of the queue, in lines: two seconds of a leader
// that logs several messages at their rate limit, or 1 MB of memory at 250 bytes per line.
const DefaultQueueLength = 4096

// maxQueuedBytes limits the bytes of the queued lines. A line may have a part of what a client has sent, so that
// their number alone bounds no memory.
const maxQueuedBytes = 2 << 20

// maxWrite limits the bytes of one write that combines queued lines. Writes of up to this
// size to a pipe are atomic (PIPE_BUF); longer ones may be interleaved in the middle of a
// line with those of other processes that share the pipe.
const maxWrite = 4096

var (
	linesWritten = expvar.NewInt("log_lines")
	linesDropped = expvar.NewInt("log_lines_dropped")
	bytesWritten = expvar.NewInt("log_bytes")
)

// Sink is an io.Writer that never blocks. Each Write must be one line.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// queued is the number of bytes of the queued lines.
	queued atomic.Int64
	// dropped counts the dropped lines that have not been reported yet.
	dropped atomic.Int64
	closing chan struct{}
	done    chan struct{}
}

// New creates a sink that writes to out and queues up to length lines. It must be closed
// to flush the queue.
func New(out io.Writer, length int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, length), closing: make(chan struct{}), done: make(chan struct{})}
	go s.run()
	return s
}

// Write queues a line, or drops it if the queue is full, by lines or by bytes. It never returns an error, which
// callers could not handle anyway.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	if !s.enqueue(line) {
		s.dropped.Add(1)
		linesDropped.Add(1)
	}
	return len(line), nil
}

// enqueue returns false if the queue is full.
func (s *Sink) enqueue(line []byte) bool {
	size := int64(len(line))
	if s.queued.Add(size) > maxQueuedBytes {
		s.queued.Add(-size)
		return false
	}
	select {
	case s.lines <- append([]byte(nil), line...):
		return true
	default:
		s.queued.Add(-size)
		return false
	}
}

// taken returns a line that was taken from the queue.
func (s *Sink) taken(line []byte) []byte {
	s.queued.Add(-int64(len(line)))
	return line
}

// Close writes the queued lines and returns when that is done or ctx ends. Lines written
// after Close are lost.
func (s *Sink) Close(ctx context.Context) {
	close(s.closing)
	select {
	case <-s.done:
	case <-ctx.Done():
	}
}

func (s *Sink) run() {
	defer close(s.done)
	for {
		select {
		case line := <-s.lines:
			s.write(s.taken(line))
		case <-s.closing:
			s.drain()
			return
		}
	}
}

func (s *Sink) drain() {
	for {
		select {
		case line := <-s.lines:
			s.write(s.taken(line))
		default:
			return
		}
	}
}

// write writes a line together with lines queued behind it, in writes of at most maxWrite
// bytes unless a single line is longer.
func (s *Sink) write(line []byte) {
	for line != nil {
		batch, count := line, int64(1)
		line = nil
		for line == nil && len(batch) < maxWrite {
			next := s.nextQueued()
			if next == nil {
				break
			}
			if len(batch)+len(next) > maxWrite {
				line = next
				continue
			}
			batch = append(batch, next...)
			count++
		}
		s.writeBatch(batch, count)
	}
}

// nextQueued takes the next line from the queue, or returns nil if it is empty.
func (s *Sink) nextQueued() []byte {
	select {
	case next := <-s.lines:
		return s.taken(next)
	default:
		return nil
	}
}

// writeBatch writes complete lines, after a line that reports those dropped since the last
// batch. If the writer fails, the lines are counted as dropped, because there is nowhere
// else to report the error.
func (s *Sink) writeBatch(batch []byte, count int64) {
	if dropped := s.dropped.Swap(0); dropped > 0 {
		if _, err := io.WriteString(s.out, droppedLine(dropped)); err != nil {
			s.dropped.Add(dropped)
		}
	}
	if _, err := s.out.Write(batch); err != nil {
		linesDropped.Add(count)
		s.dropped.Add(count)
		return
	}
	linesWritten.Add(count)
	bytesWritten.Add(int64(len(batch)))
}

func droppedLine(count int64) string {
	return fmt.Sprintf(`{"level":"warning","lines":%d,"msg":"log lines dropped","reason":"the reader is slow","time":%q}`+"\n",
		count, time.Now().UTC().Format(TimeFormat))
}
