package logsink

import (
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// TimeFormat of log lines: milliseconds, so that the lines of several processes can
// be put in order.
const TimeFormat = "2006-01-02T15:04:05.000Z07:00"

// DefaultPerSecond is how many lines of one kind are written in a second. The
// busiest kind, one line for each start of a task, stays below it up to 200 starts a
// second; 48 workers see 40 in the mean and 120 at the most.
const DefaultPerSecond = 200

var linesSuppressed = expvar.NewInt("log_lines_suppressed")

// Limit is a formatter that bounds the lines of each kind, by the second. A kind is
// a message: these are fixed texts. What is left out is counted, and told by one line
// of the kind "suppressed" with the first line of a later second.
type Limit struct {
	Formatter logrus.Formatter
	PerSecond int
	Now       func() time.Time

	mu     sync.Mutex
	second int64
	counts map[string]int
}

// Format gives nothing for a line that is left out.
func (l *Limit) Format(entry *logrus.Entry) ([]byte, error) {
	told, passes := l.count(entry.Message)
	var out []byte
	for kind, left := range told {
		line, err := l.Formatter.Format(l.suppressed(entry.Logger, kind, left))
		if err != nil {
			return nil, err
		}
		out = append(out, line...)
	}
	if !passes {
		linesSuppressed.Add(1)
		return out, nil
	}
	line, err := l.Formatter.Format(entry)
	return append(out, line...), err
}

// count notes a line of a kind and tells whether it passes, and what was left out in
// the second before where this is the first line of a new one.
func (l *Limit) count(kind string) (told map[string]int, passes bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if second := l.Now().Unix(); second != l.second || l.counts == nil {
		told = l.over()
		l.second, l.counts = second, map[string]int{}
	}
	l.counts[kind]++
	return told, l.counts[kind] <= l.PerSecond
}

func (l *Limit) over() map[string]int {
	told := map[string]int{}
	for kind, count := range l.counts {
		if count > l.PerSecond {
			told[kind] = count - l.PerSecond
		}
	}
	return told
}

func (l *Limit) suppressed(logger *logrus.Logger, kind string, count int) *logrus.Entry {
	entry := logrus.NewEntry(logger).WithFields(logrus.Fields{"kind": kind, "lines": count})
	entry.Level, entry.Time, entry.Message = logrus.WarnLevel, l.Now(), "suppressed"
	return entry
}
