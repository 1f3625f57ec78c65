package leases

import (
	"time"
)

// runBounds are the times by which a run has ended of which no report tells the end. A zero time bounds nothing.
type runBounds struct {
	// lease is when the lease has ended that commands for the run's incarnation of the worker have extended.
	lease time.Time
	// extension is when a lease has ended that late commands for an earlier incarnation have extended.
	extension time.Time
	// start is when a run has ended that a later incarnation has begun by a late, unconfirmed start.
	start time.Time
}

// over reports whether the run has ended.
func (b runBounds) over(now time.Time) bool {
	_, end := b.last()
	return now.After(end)
}

// last returns the latest bound and its name.
func (b runBounds) last() (name string, end time.Time) {
	name, end = "lease", b.lease
	if b.extension.After(end) {
		name, end = "late_extension", b.extension
	}
	if b.start.After(end) {
		name, end = "late_start", b.start
	}
	return name, end
}

// earliest returns the earlier one of each bound. A zero bound of earlier is not known.
func (b runBounds) earliest(earlier runBounds) runBounds {
	return runBounds{lease: firstKnown(b.lease, earlier.lease), extension: firstKnown(b.extension, earlier.extension), start: firstKnown(b.start, earlier.start)}
}

func firstKnown(bound, earlier time.Time) time.Time {
	if !earlier.IsZero() && earlier.Before(bound) {
		return earlier
	}
	return bound
}
