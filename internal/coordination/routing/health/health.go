// Package health judges one minion by its answers: how much it may be given
// now, whether it is an outlier, and how it comes back. It reads no clock.
package health

import "time"

const (
	// ejectAfter is the row of failures that makes a minion an outlier.
	ejectAfter = 5
	// firstEjection is how long an outlier gets nothing; it doubles each time.
	firstEjection = 2 * time.Second
	maxEjection   = time.Minute
	// firstPause is the pause after one failure or refusal; it doubles in a row.
	firstPause = 20 * time.Millisecond
	maxPause   = time.Second
	// smoothing is the weight of one new sample.
	smoothing = 0.1
	// slowRatio is how many times the usual service time counts as slow.
	slowRatio = 3
	// unlimited stands for no ceiling below the declared slots.
	unlimited = 1 << 20
)

// State is what one instance has seen of one incarnation of a minion.
type State struct {
	// ratio is the smoothed service time relative to the service's usual one.
	ratio float64
	// ceiling is the most requests that this instance keeps in flight there.
	ceiling     float64
	failures    int
	pause       time.Duration
	pausedUntil time.Time
	ejection    time.Duration
	ejected     bool
	ejectedTo   time.Time
}

// New judges a minion that nothing is known about.
func New() *State { return &State{ratio: 1, ceiling: unlimited} }

// Allows tells whether one more request may go there beside those in flight.
func (s *State) Allows(now time.Time, inFlight int) bool {
	if now.Before(s.pausedUntil) || now.Before(s.ejectedTo) {
		return false
	}
	return float64(inFlight)+1 <= s.ceiling
}

// Ratio is the smoothed service time relative to the usual one.
func (s *State) Ratio() float64 { return s.ratio }

// Ejected tells whether the minion is an outlier that gets nothing now.
func (s *State) Ejected(now time.Time) bool { return now.Before(s.ejectedTo) }

// Answered notes an answer that took ratio times the usual service time.
func (s *State) Answered(ratio float64, slots int) {
	s.failures = 0
	s.pause = 0
	s.ratio += smoothing * (ratio - s.ratio)
	if s.ratio > slowRatio && s.ceiling > 1 {
		s.ceiling = max(1, min(s.ceiling, float64(slots))/2)
		return
	}
	s.recover(slots)
}

// recover raises the ceiling by one for each ceiling's worth of answers, so
// that a minion that comes back gets its load step by step.
func (s *State) recover(slots int) {
	if s.ceiling >= float64(slots) {
		s.ceiling = unlimited
		s.ejected = false
		s.ejection = 0
		return
	}
	s.ceiling += 1 / max(s.ceiling, 1)
}

// Abandoned notes an attempt that nobody waited for any longer: it would have
// taken at least that ratio.
func (s *State) Abandoned(ratio float64) {
	if ratio > s.ratio {
		s.ratio += smoothing * (ratio - s.ratio)
	}
}

// Refused notes that the minion had no slot although a credit was free: its
// declared slots are not there. What is in flight now is all it can take.
func (s *State) Refused(now time.Time, inFlight int) {
	s.ceiling = float64(max(1, inFlight))
	s.wait(now, 0)
}

// Failed notes a failed attempt. A minion that fails at once looks idle and
// would draw every request to itself; the pause is at least one usual service
// time, so that it takes no more attempts than a healthy minion would. mayEject
// is false where too many others are outliers already.
func (s *State) Failed(now time.Time, usual time.Duration, mayEject bool) {
	s.failures++
	s.wait(now, usual)
	if !mayEject || (s.failures < ejectAfter && !s.ejected) {
		return
	}
	s.ejected = true
	s.ejection = min(max(2*s.ejection, firstEjection), maxEjection)
	s.ejectedTo = now.Add(s.ejection)
	s.ceiling = 1
}

func (s *State) wait(now time.Time, least time.Duration) {
	s.pause = min(max(2*s.pause, firstPause, least), maxPause)
	s.pausedUntil = now.Add(s.pause)
}
