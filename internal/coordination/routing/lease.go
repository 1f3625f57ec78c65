package routing

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/routing/admission"
)

// lease is this instance's right to use its credits. It rests on the control
// log: state that is fresh would tell of a removal, and the others leave a
// removed instance's credits alone for longer than state stays fresh.
type lease struct {
	started time.Time
	joined  bool
	// waiting is set while an instance that came back to its own place has not
	// outlived what an earlier process of it may have known.
	waiting bool
}

// look sets what the view says of the lease.
func (l *lease) look(config Config, fresh bool, view *admission.View) {
	now := config.Now()
	if l.started.IsZero() {
		l.started = now
	}
	view.CutOff = !fresh
	l.settle(config, now, fresh, view)
}

// settle hides the epoch from an instance that was restarted. Its state may be
// a moment older than what its earlier process had confirmed to the others,
// and by that older epoch it would take up credits that are theirs by now.
func (l *lease) settle(config Config, now time.Time, fresh bool, view *admission.View) {
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
