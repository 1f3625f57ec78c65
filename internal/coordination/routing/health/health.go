// Package health tracks the health of a minion from the outcomes of its
// attempts: its concurrency limit, its ejection as an outlier and its gradual
// return. It reads no clock.
package health

import "time"

const (
	// ejectAfter is the number of consecutive failures that make a minion an
	// outlier.
	ejectAfter = 5
	// minEjection is how long an outlier first gets no requests. The time doubles
	// with each ejection, up to maxEjection.
	minEjection = 2 * time.Second
	maxEjection = time.Minute
	// minPause is the pause after one failure or refusal. It doubles with each
	// consecutive one, up to maxPause.
	minPause = 20 * time.Millisecond
	maxPause = time.Second
	// smoothing is the weight of one new sample.
	smoothing = 0.1
	// slowRatio is the multiple of the usual service time that counts as slow.
	slowRatio = 3
	// unlimited is the value of limit when only the declared slots apply.
	unlimited = 1 << 20
)

// State is the health of one incarnation of a minion as observed by one instance.
type State struct {
	// ratio is the smoothed service time relative to the service's usual one.
	ratio float64
	// limit is the maximum number of requests that this instance keeps in flight
	// on the minion.
	limit        float64
	failures     int
	pause        time.Duration
	pausedUntil  time.Time
	ejection     time.Duration
	ejected      bool
	ejectedUntil time.Time
}

// New returns the state of a minion without history.
func New() *State { return &State{ratio: 1, limit: unlimited} }

// Allows reports whether the minion may get one more request, given the number
// of requests that this instance has in flight on it.
func (s *State) Allows(now time.Time, inFlight int) bool {
	if now.Before(s.pausedUntil) || now.Before(s.ejectedUntil) {
		return false
	}
	return float64(inFlight)+1 <= s.limit
}

// Ratio is the smoothed service time relative to the usual one.
func (s *State) Ratio() float64 { return s.ratio }

// Ejected reports whether the minion is currently ejected as an outlier.
func (s *State) Ejected(now time.Time) bool { return now.Before(s.ejectedUntil) }

// Answered records an answer that took ratio times the usual service time.
func (s *State) Answered(ratio float64, slots int) {
	s.failures = 0
	s.pause = 0
	s.ratio += smoothing * (ratio - s.ratio)
	if s.ratio > slowRatio && s.limit > 1 {
		s.limit = max(1, min(s.limit, float64(slots))/2)
		return
	}
	s.raiseLimit(slots)
}

// raiseLimit raises the limit by about one for each round of limit answers, so
// that a returning minion is loaded gradually.
func (s *State) raiseLimit(slots int) {
	if s.limit >= float64(slots) {
		s.limit = unlimited
		s.ejected = false
		s.ejection = 0
		return
	}
	s.limit += 1 / max(s.limit, 1)
}

// Abandoned records an attempt that was abandoned after ratio times the usual
// service time, which is a lower bound of the time it would have taken.
func (s *State) Abandoned(ratio float64) {
	if ratio > s.ratio {
		s.ratio += smoothing * (ratio - s.ratio)
	}
}

// Refused records that the minion had no free slot although a credit was free,
// so it has fewer slots than declared. The limit becomes the number of requests
// in flight.
func (s *State) Refused(now time.Time, inFlight int) {
	s.limit = float64(max(1, inFlight))
	s.backOff(now, 0)
}

// Failed records a failed attempt. A minion that fails at once looks idle and
// would attract every request, so the pause is at least one usual service time
// and the minion gets no more attempts than a healthy one. mayEject is false if
// too many other minions are ejected already.
func (s *State) Failed(now time.Time, usual time.Duration, mayEject bool) {
	s.failures++
	s.backOff(now, usual)
	if !mayEject || (s.failures < ejectAfter && !s.ejected) {
		return
	}
	s.ejected = true
	s.ejection = min(max(2*s.ejection, minEjection), maxEjection)
	s.ejectedUntil = now.Add(s.ejection)
	s.limit = 1
}

func (s *State) backOff(now time.Time, least time.Duration) {
	s.pause = min(max(2*s.pause, minPause, least), maxPause)
	s.pausedUntil = now.Add(s.pause)
}
