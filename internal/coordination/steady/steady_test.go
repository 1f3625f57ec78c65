package steady

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// A machine is suspended for 5 s. The steady clock goes on as if nothing had been;
// the age of what was known before must have grown by all of it.
func TestSuspensionCountsAsAge(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		slept := time.Duration(0)
		suspended = func() time.Duration { return slept }
		defer func() { suspended = readSuspended }()
		known := Now()
		time.Sleep(time.Second)
		is.Equal(known.Age(), time.Second)
		slept = 5 * time.Second
		is.Equal(known.Age(), 6*time.Second)
		is.True(Now().After(known.Add(5 * time.Second)))
		is.True(!Now().After(known.Add(7 * time.Second)))
	})
}

// A process that is stopped between its readings of two clocks must not take that for
// a suspension, and the error of a reading must not show: an age that shrinks by a
// millisecond makes a tick too few, one that grows a tick too many.
func TestSuspendedTimeStandsStillWhileAwake(t *testing.T) {
	is := is.New(t)
	first := readSuspended()
	for range 10_000 {
		is.Equal(readSuspended(), first)
	}
}

// The time grows by whole suspensions and never falls.
func TestSuspendedTimeNeverFalls(t *testing.T) {
	is := is.New(t)
	before := known.Load()
	defer known.Store(before)
	known.Store(int64(time.Hour))
	is.Equal(note(int64(time.Hour+time.Millisecond)), time.Hour)
	is.Equal(note(int64(time.Hour-time.Minute)), time.Hour)
	is.Equal(note(int64(time.Hour+time.Second)), time.Hour+time.Second)
}
