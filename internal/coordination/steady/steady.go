// Package steady is the clock that ages are counted by: the process's steady clock,
// and the time for which the machine was suspended, which the steady clock leaves
// out. A leader that slept would otherwise wake as fresh as it fell asleep, and
// would send orders that the leader of now knows nothing of.
package steady

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Moment is a point in time in one process.
type Moment struct {
	steady    time.Time
	suspended time.Duration
}

// suspended is for how long the machine has been suspended so far; tests replace it.
var suspended = readSuspended

const (
	// leastSuspension is what counts as one: a reading of two clocks errs by less.
	leastSuspension = 20 * time.Millisecond
	// apart is how long two readings of one clock around the other's may lie apart: a
	// process that was stopped between them would take that for a suspension.
	apart = time.Millisecond
	// readings bounds the tries; a suspension that is missed is seen by the next.
	readings = 3
)

// known is the newest suspended time; it never falls and stands still between
// suspensions, so that the error of a reading makes no age larger or smaller.
var known atomic.Int64

// readSuspended compares the clock that counts suspensions with the one that does
// not. Where the machine lacks the former, suspensions are not seen.
func readSuspended() time.Duration {
	for range readings {
		var before, withSleep, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &withSleep) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		if after.Nano()-before.Nano() <= apart.Nanoseconds() {
			return note(withSleep.Nano() - before.Nano())
		}
	}
	return time.Duration(known.Load())
}

func note(suspended int64) time.Duration {
	for {
		newest := known.Load()
		if suspended-newest < leastSuspension.Nanoseconds() {
			return time.Duration(newest)
		}
		if known.CompareAndSwap(newest, suspended) {
			return time.Duration(suspended)
		}
	}
}

// Now is the present moment.
func Now() Moment { return Moment{steady: time.Now(), suspended: suspended()} }

// Age is how long ago the moment was.
func (m Moment) Age() time.Duration { return Now().Sub(m) }

// Sub is the time from an earlier moment to this one.
func (m Moment) Sub(earlier Moment) time.Duration {
	return m.steady.Sub(earlier.steady) + m.suspended - earlier.suspended
}

// Add is the moment that much later.
func (m Moment) Add(length time.Duration) Moment {
	return Moment{steady: m.steady.Add(length), suspended: m.suspended}
}

// After tells whether the moment is later than another.
func (m Moment) After(other Moment) bool { return m.Sub(other) > 0 }
