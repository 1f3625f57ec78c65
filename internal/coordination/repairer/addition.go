package repairer

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// addition is a replica that a change adds as a learner, which becomes a voter when it has caught up.
type addition struct {
	instance string
	// identity is what the instance reported before the change; empty if it reports none.
	identity string
	// silentSince is since when the learner does not respond; zero if it does.
	silentSince time.Time
}

// whileAdding derives a context for a change, which ends early if the replica that is added is lost
// while it catches up: its disk is lost again, or its machine. The change would wait for it for a
// minute, and nothing else is repaired meanwhile.
func (r *Repairer) whileAdding(ctx context.Context, instance string) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	a := &addition{instance: instance, identity: r.identityOf(instance)}
	go control.Every(ctx, checkInterval, func() {
		if reason := r.lost(a); reason != "" {
			cancel(failure.New(failure.NotCaughtUp, "the new replica of %s %s", instance, reason))
		}
	})
	return ctx, func() { cancel(nil) }
}

// lost returns why an added replica won't catch up; empty if it may.
func (r *Repairer) lost(a *addition) string {
	if identity := r.identityOf(a.instance); a.identity != "" && identity != "" && identity != a.identity {
		return "has another identity by now"
	}
	if r.learnerResponds(a.instance) {
		a.silentSince = time.Time{}
		return ""
	}
	now := r.config.Now()
	if a.silentSince.IsZero() {
		a.silentSince = now
	}
	if now.Sub(a.silentSince) >= r.config.Repair.MaxDelay {
		return "does not respond"
	}
	return ""
}

// identityOf returns the identity that an instance reports of its replica; empty if none is known.
func (r *Repairer) identityOf(instance string) string {
	for _, live := range r.instances.Instances(r.config.Window) {
		if live.Name == instance {
			return live.Identity
		}
	}
	return ""
}

// learnerResponds reports whether the learner on an instance responds. One that is not a member yet, or
// is a voter already, counts as responding.
func (r *Repairer) learnerResponds(instance string) bool {
	status := r.log.Status()
	for _, member := range status.Configuration.GetMembers() {
		if member.Instance != instance || member.Voter {
			continue
		}
		for _, observed := range status.Members {
			if observed.Identity == member.Identity && observed.Live {
				return true
			}
		}
		return false
	}
	return true
}
