package routing

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
)

// lease is this instance's right to use its credits. It is derived from the
// control log: fresh control state would show that this instance was removed,
// and the other instances leave a removed instance's credits unused for longer
// than control state stays fresh.
type lease struct {
	started time.Time
	joined  bool
	// waiting is set while an instance that restarted as a current member has not
	// yet waited out the freshness bound of its previous process.
	waiting bool
}

// update sets the fields of the view that depend on the lease.
func (l *lease) update(config Config, fresh bool, view *admission.View) {
	now := config.Now()
	if l.started.IsZero() {
		l.started = now
	}
	view.CutOff = !fresh
	l.hideEpoch(config, now, fresh, view)
}

// hideEpoch clears the epoch in the view of a restarted instance. Its control
// state may be slightly older than what its previous process had confirmed to
// the other instances, and under that older epoch it would use credits that
// belong to them by now.
func (l *lease) hideEpoch(config Config, now time.Time, fresh bool, view *admission.View) {
	if fresh && !l.joined {
		l.joined = true
		l.waiting = slices.Contains(view.Members, config.Instance)
	}
	if l.waiting && now.Sub(l.started) > config.FreshnessBound {
		l.waiting = false
	}
	if !l.joined || l.waiting {
		view.Epoch = 0
		view.Members = nil
		view.Departed = nil
	}
}
