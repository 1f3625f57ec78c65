package follower

import (
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// logFollowing logs the source that is followed from now on.
func (f *Follower) logFollowing(l *link) {
	clear(f.loggedFailures)
	f.sourceEntry(l.source).WithFields(logrus.Fields{
		"bulk_bytes": l.bulk.Load(),
		"took_ms":    time.Since(l.opened).Milliseconds(),
	}).Info("follows a source")
}

// logSourceLost logs why the stream from a source ended.
func (f *Follower) logSourceLost(l *link) {
	f.sourceEntry(l.source).WithField("cause", failure.From(l.err).Error()).Info("source lost")
}

// logAttachFailed logs why a source cannot be followed, once per source and cause until a
// source is gained: an instance that finds none tries all of them twice a second.
func (f *Follower) logAttachFailed(source string, err error) {
	cause := failure.From(err)
	if f.loggedFailures[source] == cause.Code {
		return
	}
	f.loggedFailures[source] = cause.Code
	entry := f.sourceEntry(source).WithField("cause", cause.Error())
	if held := f.held(); held != nil {
		entry = entry.WithFields(logrus.Fields{"snapshot_bytes": held.Size, "snapshot_total": held.Total})
	}
	entry.Info("source can't be followed")
}

// logResend logs that a command is resent although it may have run.
func (f *Follower) logResend(tried string, err error) {
	resent.Add(1)
	f.config.Logger.WithFields(logrus.Fields{
		"tried": tried, "leader": f.Leader(), "code": failure.From(err).Code, "detail": err.Error(),
	}).Info("command sent again")
}

// sourceEntry returns a log entry with the fields common to all entries on a source: its
// name and the index and age of the state.
func (f *Follower) sourceEntry(source string) *logrus.Entry {
	fields := logrus.Fields{"source": source, "index": f.State().Index()}
	if confirmed := f.confirmed.Load(); confirmed != nil {
		fields["age_ms"] = confirmed.Age().Milliseconds()
	}
	return f.config.Logger.WithFields(fields)
}
