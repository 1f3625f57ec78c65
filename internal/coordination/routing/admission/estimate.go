package admission

import "time"

const (
	// learnRate is the weight of one new service time.
	learnRate = 0.05
	// hedgeDeviations beyond the mean is when an answer counts as late.
	hedgeDeviations = 4
	// likelyDeviations beyond the mean is when most answers have come.
	likelyDeviations = 2
)

// learned is what the answers of a service have taught about its time.
type learned struct {
	samples   int
	mean      float64
	deviation float64
}

// add learns from one answer; mean and mean deviation after Jacobson (1988).
func (l *learned) add(took time.Duration) {
	seconds := took.Seconds()
	l.samples++
	if l.samples == 1 {
		l.mean = seconds
		l.deviation = seconds / 2
		return
	}
	difference := seconds - l.mean
	l.mean += learnRate * difference
	if difference < 0 {
		difference = -difference
	}
	l.deviation += learnRate * (difference - l.deviation)
}

func (l *learned) ratio(took time.Duration) float64 {
	if l.mean <= 0 {
		return 1
	}
	return took.Seconds() / l.mean
}

func (l *learned) usual() time.Duration { return seconds(l.mean) }

// likely is the time within which most answers come: a request that has less
// left would take a slot and mostly be late.
func (l *learned) likely() time.Duration {
	return seconds(l.mean + likelyDeviations*l.deviation)
}

func (l *learned) late() time.Duration {
	return seconds(l.mean + hedgeDeviations*l.deviation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
