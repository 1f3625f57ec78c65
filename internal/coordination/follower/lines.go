package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// logGained tells which source the state is followed from now on.
func (f *Follower) logGained(l *link) {
	clear(f.told)
	f.line(l.source).WithFields(logrus.Fields{
		"bulk_bytes": l.bulk.Load(),
		"took_ms":    time.Since(l.opened).Milliseconds(),
	}).Info("follows a source")
}

// logLost tells why a source was left.
func (f *Follower) logLost(l *link) {
	f.line(l.source).WithField("cause", failure.From(l.err).Error()).Info("source lost")
}

// logFailed tells why a source can't be followed, once for each cause until one
// can: an instance that finds none tries them twice a second.
func (f *Follower) logFailed(source string, err error) {
	cause := failure.From(err)
	if f.told[source] == cause.Code {
		return
	}
	f.told[source] = cause.Code
	line := f.line(source).WithField("cause", cause.Error())
	if held := f.held(); held != nil {
		line = line.WithFields(logrus.Fields{"snapshot_bytes": held.Size, "snapshot_total": held.Total})
	}
	line.Info("source can't be followed")
}

// logAgain tells that a command is sent again though it may have run.
func (f *Follower) logAgain(tried string, err error) {
	resent.Add(1)
	f.config.Logger.WithFields(logrus.Fields{
		"tried": tried, "leader": f.Leader(), "code": failure.From(err).Code, "detail": err.Error(),
	}).Info("command sent again")
}

// line has what every line on a source tells: how far and how old the state is.
func (f *Follower) line(source string) *logrus.Entry {
	fields := logrus.Fields{"source": source, "index": f.State().Index()}
	if confirmed := f.confirmed.Load(); confirmed != nil {
		fields["age_ms"] = time.Since(*confirmed).Milliseconds()
	}
	return f.config.Logger.WithFields(fields)
}
