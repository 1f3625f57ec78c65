package logsink_test

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/transport/logsink"
)

// blockedWriter blocks writes until release is closed.
type blockedWriter struct {
	bytes.Buffer
	release chan struct{}
}

func (s *blockedWriter) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// The reader of the log is blocked. Code that logs must not wait for it; lines that do not
// fit into the queue are dropped, and the log reports how many.
func TestBlockedReaderDoesNotBlockWriters(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const capacity, lines = 10, 100
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out, capacity)
		start := time.Now()
		for n := range lines {
			_, err := sink.Write([]byte("line\n"))
			is.NoErr(err)
			if n == 0 {
				// The first line blocks in the writer. From here on lines can only be
				// queued.
				synctest.Wait()
			}
		}
		is.Equal(time.Since(start), time.Duration(0))
		close(out.release)
		sink.Close(context.Background())
		is.Equal(strings.Count(out.String(), "line\n"), 1+capacity)
		var report struct {
			Msg   string
			Lines int
		}
		at := strings.Index(out.String(), "{")
		is.NoErr(json.Unmarshal([]byte(strings.SplitN(out.String()[at:], "\n", 2)[0]), &report))
		is.Equal(report.Msg, "log lines dropped")
		is.Equal(report.Lines, lines-capacity-1)
	})
}

// sizeRecorder records the size of each write.
type sizeRecorder struct{ sizes []int }

func (c *sizeRecorder) Write(p []byte) (int, error) {
	c.sizes = append(c.sizes, len(p))
	return len(p), nil
}

// Many lines are queued, and the pipe is shared with other processes. Writes longer than
// PIPE_BUF could be interleaved with theirs in the middle of a line.
func TestWritesAreWholeLinesWithinPipeBuf(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &sizeRecorder{}
		sink := logsink.New(out, 1000)
		line := append(bytes.Repeat([]byte("x"), 299), '\n')
		for range 500 {
			_, _ = sink.Write(line)
		}
		sink.Close(context.Background())
		total := 0
		for _, size := range out.sizes {
			is.True(size <= 4096)
			is.Equal(size%len(line), 0)
			total += size
		}
		is.Equal(total, 500*len(line))
	})
}

// Clients send requests with long paths while the reader of the log is slow. The queued lines must not take more memory
// than a bound, however long they are, and there must be room again once they are written.
func TestLongLinesStayWithinTheBytesOfTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out, logsink.DefaultQueueLength)
		line := append(bytes.Repeat([]byte("x"), 8<<10), '\n')
		for range 1000 {
			_, _ = sink.Write(line)
		}
		synctest.Wait()
		close(out.release)
		synctest.Wait()
		is.True(strings.Count(out.String(), string(line)) <= (2<<20)/len(line)+2)
		before := strings.Count(out.String(), string(line))
		_, _ = sink.Write(line)
		sink.Close(context.Background())
		is.Equal(strings.Count(out.String(), string(line)), before+1)
	})
}

// Lines are still queued when a process ends. They must be written before Close returns.
func TestCloseFlushesQueuedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &bytes.Buffer{}
		sink := logsink.New(out, 100)
		for range 50 {
			_, _ = sink.Write([]byte("x\n"))
		}
		sink.Close(context.Background())
		is.Equal(out.Len(), 100)
	})
}

// A reader that stays blocked must not keep a process from ending.
func TestCloseTimesOutOnBlockedReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedWriter{release: make(chan struct{})}
		sink := logsink.New(out, 10)
		_, _ = sink.Write([]byte("x\n"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		sink.Close(ctx)
		close(out.release)
	})
}

// One message is logged a thousand times in a second. The first lines of it and those of
// other messages are written, and the next second reports how many were suppressed.
func TestLinesPerMessageAreLimitedAndCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	out := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logsink.RateLimitFormatter{Formatter: &logrus.JSONFormatter{}, PerSecond: 5, Now: func() time.Time { return now }})
	for range 1000 {
		logger.Info("busy")
	}
	logger.Info("rare")
	is.Equal(strings.Count(out.String(), `"busy"`), 5)
	is.Equal(strings.Count(out.String(), `"rare"`), 1)
	now = now.Add(time.Second)
	logger.Info("busy")
	is.Equal(strings.Count(out.String(), `"msg":"busy"`), 6)
	is.True(strings.Contains(out.String(), `"kind":"busy","level":"warning","lines":995,"msg":"suppressed"`))
}

func BenchmarkLine(b *testing.B) {
	sink := logsink.New(io.Discard, logsink.DefaultQueueLength)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetFormatter(&logsink.RateLimitFormatter{Formatter: &logrus.JSONFormatter{}, PerSecond: 1 << 30, Now: time.Now})
	for b.Loop() {
		logger.WithFields(logrus.Fields{"task": "5c0e7a21d94b36f8.0.1.17", "run": 2, "worker": "i-7f3a91c2", "index": 4711}).Info("started")
	}
}
