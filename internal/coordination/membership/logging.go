package membership

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// The messages of lines on who vouches for what.
const (
	heardHere      = "upstream heard here"
	silentHere     = "upstream silent here"
	heardElsewhere = "upstream heard elsewhere"
	instanceSilent = "a silent instance vouches no more"
	instanceBack   = "a silent instance vouches again"
)

// line is one change of who vouches for an upstream, or of whether an instance does.
type line struct {
	message string
	// upstream is nil for a line on an instance.
	upstream  *peerpb.Upstream
	instance  string
	upstreams int
	silence   time.Duration
}

// tell keeps a line on an upstream until the lock is given back.
func (r *Registry) tell(message string, upstream *peerpb.Upstream) {
	r.lines = append(r.lines, line{message: message, upstream: upstream})
}

// writeLines writes what was kept. It is called without the lock: a writer that is slow
// must not hold up announcements.
func (r *Registry) writeLines() {
	r.mu.Lock()
	lines := r.lines
	r.lines = nil
	r.mu.Unlock()
	if r.config.Logger == nil {
		return
	}
	for _, l := range lines {
		r.config.Logger.WithFields(l.fields()).Info(l.message)
	}
}

func (l line) fields() logrus.Fields {
	if l.upstream != nil {
		return logrus.Fields{"upstream": l.upstream.Id, "incarnation": l.upstream.Incarnation, "version": l.upstream.Version}
	}
	fields := logrus.Fields{"instance": l.instance, "upstreams": l.upstreams}
	if l.silence > 0 {
		fields["silent_ms"] = l.silence.Milliseconds()
	}
	return fields
}
