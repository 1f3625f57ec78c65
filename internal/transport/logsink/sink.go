// Package logsink takes log lines without ever holding up the decision that they
// tell of: lines wait in memory for a slow or stuck reader, up to a bound, and what
// does not fit is dropped and counted. The lines of one kind are bounded by second.
package logsink

import (
	"context"
	"expvar"
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// DefaultLength is how many lines wait at most: two seconds of a leader that logs
// at the bound of several kinds, 1 MB of memory at 250 bytes a line.
const DefaultLength = 4096

// maxWrite bounds the bytes of one write, so that lines which wait share one. A pipe
// takes this much whole (PIPE_BUF): longer writes may be cut in the middle of a line
// by those of other processes that share it.
const maxWrite = 4096

var (
	linesWritten = expvar.NewInt("log_lines")
	linesDropped = expvar.NewInt("log_lines_dropped")
	bytesWritten = expvar.NewInt("log_bytes")
)

// Sink is an io.Writer that never blocks. Each Write is one line.
type Sink struct {
	out   io.Writer
	lines chan []byte
	// dropped counts what was not taken and has not been told yet.
	dropped atomic.Int64
	closing chan struct{}
	ended   chan struct{}
}

// New makes a sink in front of a writer, with room for a number of lines.
func New(out io.Writer, length int) *Sink {
	s := &Sink{out: out, lines: make(chan []byte, length), closing: make(chan struct{}), ended: make(chan struct{})}
	go s.run()
	return s
}

// Write takes a line, or drops it where no room is left. It never fails: who logs
// could do nothing about it.
func (s *Sink) Write(line []byte) (int, error) {
	if len(line) == 0 {
		return 0, nil
	}
	select {
	case s.lines <- append([]byte(nil), line...):
	default:
		s.dropped.Add(1)
		linesDropped.Add(1)
	}
	return len(line), nil
}

// Close writes what waits, for as long as ctx allows. Lines that come later are lost.
func (s *Sink) Close(ctx context.Context) {
	close(s.closing)
	select {
	case <-s.ended:
	case <-ctx.Done():
	}
}

func (s *Sink) run() {
	defer close(s.ended)
	for {
		select {
		case line := <-s.lines:
			s.write(line)
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
			s.write(line)
		default:
			return
		}
	}
}

// write writes a line, and those that wait behind it.
func (s *Sink) write(line []byte) {
	for line != nil {
		batch, count := line, int64(1)
		line = nil
		for line == nil && len(batch) < maxWrite {
			next := s.waiting()
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
		s.put(batch, count)
	}
}

// waiting takes a line that waits; nil where none does.
func (s *Sink) waiting() []byte {
	select {
	case next := <-s.lines:
		return next
	default:
		return nil
	}
}

// put writes whole lines, and tells what was dropped since the last ones. A writer
// that fails loses the lines: there is no other place to say so.
func (s *Sink) put(batch []byte, count int64) {
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
