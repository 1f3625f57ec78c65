package admission

import "time"

const (
	// sampleWeight is the weight of a new sample in the moving averages.
	sampleWeight = 0.05
	// lateDeviations is the number of mean deviations above the mean beyond which
	// an answer counts as late.
	lateDeviations = 4
	// expectedDeviations is the number of mean deviations above the mean within
	// which most answers arrive.
	expectedDeviations = 2
)

// serviceTime estimates a service's response time, in seconds, from its answers.
type serviceTime struct {
	samples   int
	mean      float64
	deviation float64
}

// observe adds the response time of one answer. Mean and mean deviation are
// computed as in Jacobson (1988).
func (t *serviceTime) observe(took time.Duration) {
	seconds := took.Seconds()
	t.samples++
	if t.samples == 1 {
		t.mean = seconds
		t.deviation = seconds / 2
		return
	}
	difference := seconds - t.mean
	t.mean += sampleWeight * difference
	if difference < 0 {
		difference = -difference
	}
	t.deviation += sampleWeight * (difference - t.deviation)
}

func (t *serviceTime) ratio(took time.Duration) float64 {
	if t.mean <= 0 {
		return 1
	}
	return took.Seconds() / t.mean
}

func (t *serviceTime) typical() time.Duration { return seconds(t.mean) }

// expected returns the time within which most answers arrive. A request with
// less time left would occupy a slot and usually be late.
func (t *serviceTime) expected() time.Duration {
	return seconds(t.mean + expectedDeviations*t.deviation)
}

func (t *serviceTime) lateThreshold() time.Duration {
	return seconds(t.mean + lateDeviations*t.deviation)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
