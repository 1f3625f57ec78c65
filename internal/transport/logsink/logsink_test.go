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

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	bytes.Buffer
	release chan struct{}
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.release
	return s.Buffer.Write(p)
}

// The reader of the log stands still while decisions are made. None of them may
// wait for it; what there is no room for is dropped, and the log says how much.
func TestStuckReaderHoldsNobodyUp(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const room, lines = 10, 100
		out := &stuck{release: make(chan struct{})}
		sink := logsink.New(out, room)
		begun := time.Now()
		for n := range lines {
			_, err := sink.Write([]byte("line\n"))
			is.NoErr(err)
			if n == 0 {
				// The first line is on its way to the reader, and stays there: what
				// comes next has only the room to wait in.
				synctest.Wait()
			}
		}
		is.Equal(time.Since(begun), time.Duration(0))
		close(out.release)
		sink.Close(context.Background())
		is.Equal(strings.Count(out.String(), "line\n"), 1+room)
		var told struct {
			Msg   string
			Lines int
		}
		at := strings.Index(out.String(), "{")
		is.NoErr(json.Unmarshal([]byte(strings.SplitN(out.String()[at:], "\n", 2)[0]), &told))
		is.Equal(told.Msg, "log lines dropped")
		is.Equal(told.Lines, lines-room-1)
	})
}

// chunks notes each write by itself.
type chunks struct{ sizes []int }

func (c *chunks) Write(p []byte) (int, error) {
	c.sizes = append(c.sizes, len(p))
	return len(p), nil
}

// Many lines wait, and the pipe is shared with other processes. Writes longer than
// what a pipe takes whole would be mixed with theirs in the middle of a line.
func TestWritesAreWholeLinesThatAPipeTakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		out := &chunks{}
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

// A process ends with lines still waiting: they are written first.
func TestCloseWritesWhatWaits(t *testing.T) {
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

// A reader that never comes back must not keep a process from ending.
func TestCloseGivesUpOnAStuckReader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{release: make(chan struct{})}
		sink := logsink.New(out, 10)
		_, _ = sink.Write([]byte("x\n"))
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		sink.Close(ctx)
		close(out.release)
	})
}

// One kind of line comes a thousand times in a second. The log keeps the first of
// them and those of other kinds, and the next second says how many are missing.
func TestKindsAreBoundedAndCounted(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	out := &bytes.Buffer{}
	logger := logrus.New()
	logger.SetOutput(out)
	logger.SetFormatter(&logsink.Limit{Formatter: &logrus.JSONFormatter{}, PerSecond: 5, Now: func() time.Time { return now }})
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
	sink := logsink.New(io.Discard, logsink.DefaultLength)
	logger := logrus.New()
	logger.SetOutput(sink)
	logger.SetFormatter(&logsink.Limit{Formatter: &logrus.JSONFormatter{}, PerSecond: 1 << 30, Now: time.Now})
	for b.Loop() {
		logger.WithFields(logrus.Fields{"task": "5c0e7a21d94b36f8.0.1.17", "run": 2, "worker": "i-7f3a91c2", "index": 4711}).Info("started")
	}
}
