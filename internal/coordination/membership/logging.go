package membership

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Log messages on which instance reports an upstream as live.
const (
	announcedHere      = "upstream heard here"
	expiredHere        = "upstream silent here"
	announcedElsewhere = "upstream heard elsewhere"
	instanceExpired    = "a silent instance vouches no more"
	instanceReturned   = "a silent instance answers again: its upstreams count as live"
)

// logEntry is a change of the instance that reports an upstream, or of whether an
// instance's reports count.
type logEntry struct {
	message string
	// upstream is nil for an entry on an instance.
	upstream     *peerpb.Upstream
	instance     string
	upstreams    int
	sinceContact time.Duration
}

// queueLog queues an entry on an upstream until the lock is released.
func (r *Registry) queueLog(message string, upstream *peerpb.Upstream) {
	r.pendingLog = append(r.pendingLog, logEntry{message: message, upstream: upstream})
}

// flushLog writes the queued entries. It is called without the lock: a slow log
// writer must not delay announcements.
func (r *Registry) flushLog() {
	r.mu.Lock()
	entries := r.pendingLog
	r.pendingLog = nil
	r.mu.Unlock()
	if r.config.Logger == nil {
		return
	}
	for _, e := range entries {
		r.config.Logger.WithFields(e.fields()).Info(e.message)
	}
}

func (e logEntry) fields() logrus.Fields {
	if e.upstream != nil {
		return logrus.Fields{"upstream": e.upstream.Id, "incarnation": e.upstream.Incarnation, "version": e.upstream.Version}
	}
	fields := logrus.Fields{"instance": e.instance, "upstreams": e.upstreams}
	if e.sinceContact > 0 {
		fields["silent_ms"] = e.sinceContact.Milliseconds()
	}
	return fields
}
