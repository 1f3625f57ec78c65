package boottime

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// The monotonic clock does not advance while the machine is suspended for 5 s; ages
// must still grow by the full 5 s.
func TestSuspensionCountsAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		suspendedFor := time.Duration(0)
		suspended = func() time.Duration { return suspendedFor }
		defer func() { suspended = readSuspended }()
		start := Now()
		time.Sleep(time.Second)
		is.Equal(start.Age(), time.Second)
		suspendedFor = 5 * time.Second
		is.Equal(start.Age(), 6*time.Second)
		is.True(Now().After(start.Add(5 * time.Second)))
		is.True(!Now().After(start.Add(7 * time.Second)))
	})
}

// A pause of the process between its readings of the two clocks must not be taken for a
// suspension, and reading errors must not change the suspended time: an age that
// shrinks by a millisecond can cost a tick, one that grows can add one.
func TestSuspendedTimeIsConstantWhileAwake(t *testing.T) {
	is := is.New(t)
	first := readSuspended()
	for range 10_000 {
		is.Equal(readSuspended(), first)
	}
}

// The suspended time must increase only by whole suspensions and must never decrease.
func TestSuspendedTimeNeverFalls(t *testing.T) {
	is := is.New(t)
	before := suspendedTotal.Load()
	defer suspendedTotal.Store(before)
	suspendedTotal.Store(int64(time.Hour))
	is.Equal(recordSuspended(int64(time.Hour+time.Millisecond)), time.Hour)
	is.Equal(recordSuspended(int64(time.Hour-time.Minute)), time.Hour)
	is.Equal(recordSuspended(int64(time.Hour+time.Second)), time.Hour+time.Second)
}
