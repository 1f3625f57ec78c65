package logsink

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// TimeFormat is the time format of log lines. It has milliseconds, so that the lines of
// several processes can be ordered.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// DefaultLinesPerSecond is the default limit of lines per message and second. The most frequent
// message, one line per task start, reaches it at 200 starts per second; 48 workers
// produce 40 on average and 120 at most.
const DefaultLinesPerSecond = 200

var linesSuppressed = expvar.NewInt("log_lines_suppressed")

// RateLimitFormatter is a formatter that limits the lines of each message per second; messages are
// fixed texts. Lines beyond the limit are suppressed and counted. Before the first line of
// a later second it writes one line "suppressed" per affected message with the count.
type RateLimitFormatter struct {
	Formatter logrus.Formatter
	PerSecond int
	Now       func() time.Time

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// Format formats an entry, and returns nothing for a suppressed one, except for reports of
// lines suppressed before.
func (l *RateLimitFormatter) Format(entry *logrus.Entry) ([]byte, error) {
	suppressed, allowed := l.count(entry.Message)
	var out []byte
	for message, count := range suppressed {
		line, err := l.Formatter.Format(l.suppressedEntry(entry.Logger, message, count))
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	if !allowed {
		linesSuppressed.Add(1)
		return out, nil
	}
	line, err := l.Formatter.Format(entry)
	return append(out, line...), err
}

// count counts a line and reports whether it is within the limit. With the first line of a
// new second it also returns the number of suppressed lines by message since the last
// report.
func (l *RateLimitFormatter) count(message string) (suppressed map[string]int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.Now().Unix(); second != l.second || l.counts == nil {
		suppressed = l.overLimit()
		l.second, l.counts = second, map[string]int{}
	}
	l.counts[message]++
	return suppressed, l.counts[message] <= l.PerSecond
}

func (l *RateLimitFormatter) overLimit() map[string]int {
	suppressed := map[string]int{}
	for message, count := range l.counts {
		if count > l.PerSecond {
			suppressed[message] = count - l.PerSecond
		}
	}
	return suppressed
}

func (l *RateLimitFormatter) suppressedEntry(logger *logrus.Logger, message string, count int) *logrus.Entry {
	entry := logrus.NewEntry(logger).WithFields(logrus.Fields{"kind": message, "lines": count})
	entry.Level, entry.Time, entry.Message = logrus.WarnLevel, l.Now(), "suppressed"
	return entry
}
