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

// Without a suspension both clocks go alike: what is read is a constant.
func TestSuspendedTimeStandsStillWhileAwake(t *testing.T) {
	is := is.New(t)
	first := readSuspended()
	is.True(first >= 0)
	is.True((readSuspended() - first).Abs() < 100*time.Millisecond)
}
