// Package boottime provides a monotonic clock that includes the time for which the
// machine was suspended, which the monotonic clock of package time leaves out. Without
// it, a leader that resumes after a suspension would consider its state as fresh as
// before, and would send commands that the current leader does not know of.
package boottime

import (
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// Time is a point in time, comparable only within one process.
type Time struct {
	monotonic time.Time
	suspended time.Duration
}

// suspended returns the total time for which the machine has been suspended. Tests
// replace it.
var suspended = readSuspended

const (
	// minSuspension is the shortest increase of the suspended time that counts as a
	// suspension. The error of a reading of the two clocks is smaller.
	minSuspension = 20 * time.Millisecond
	// maxReadGap is the longest permitted interval between the two readings of
	// CLOCK_MONOTONIC that enclose the reading of CLOCK_BOOTTIME. A longer pause of the
	// process in between would be taken for a suspension.
	maxReadGap = time.Millisecond
	// maxReadAttempts limits the attempts of one reading. A suspension that is missed
	// is detected by the next reading.
	maxReadAttempts = 3
)

// suspendedTotal is the newest known suspended time, in nanoseconds. It never decreases
// and is constant between suspensions, so that reading errors do not change any age.
var suspendedTotal atomic.Int64

// readSuspended returns the difference between CLOCK_BOOTTIME, which counts
// suspensions, and CLOCK_MONOTONIC, which does not. If either clock is unavailable, it
// returns 0 and suspensions are not detected.
func readSuspended() time.Duration {
	for range maxReadAttempts {
		var before, bootTime, after unix.Timespec
		if unix.ClockGettime(unix.CLOCK_MONOTONIC, &before) != nil ||
			unix.ClockGettime(unix.CLOCK_BOOTTIME, &bootTime) != nil ||
			unix.ClockGettime(unix.CLOCK_MONOTONIC, &after) != nil {
			return 0
		}
		if after.Nano()-before.Nano() <= maxReadGap.Nanoseconds() {
			return recordSuspended(bootTime.Nano() - before.Nano())
		}
	}
	return time.Duration(suspendedTotal.Load())
}

func recordSuspended(suspended int64) time.Duration {
	for {
		newest := suspendedTotal.Load()
		// A smaller difference is a reading error, or an older reading.
		if suspended-newest < minSuspension.Nanoseconds() {
			return time.Duration(newest)
		}
		if suspendedTotal.CompareAndSwap(newest, suspended) {
			return time.Duration(suspended)
		}
	}
}

// simulated is the total suspended time added by SimulateSuspension, in nanoseconds.
var simulated atomic.Int64

// SimulateSuspension has the effect of a suspension of the machine that has just ended, for
// tests of other packages.
func SimulateSuspension(length time.Duration) { simulated.Add(int64(length)) }

// Now returns the current time.
func Now() Time {
	return Time{monotonic: time.Now(), suspended: suspended() + time.Duration(simulated.Load())}
}

// Age returns the time elapsed since t.
func (t Time) Age() time.Duration { return Now().Sub(t) }

// Sub returns the time elapsed from an earlier time to t.
func (t Time) Sub(earlier Time) time.Duration {
	return t.monotonic.Sub(earlier.monotonic) + t.suspended - earlier.suspended
}

// Add returns t advanced by a duration.
func (t Time) Add(duration time.Duration) Time {
	return Time{monotonic: t.monotonic.Add(duration), suspended: t.suspended}
}

// After reports whether t is later than other.
func (t Time) After(other Time) bool { return t.Sub(other) > 0 }
