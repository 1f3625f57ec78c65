package scheduling

import "slices"

const (
	// minKnownSpeeds is the share of the workers whose speeds have to be known before their
	// spread is judged.
	minKnownSpeeds = 0.5
	// unevenFrom is the ratio of the speeds of the fast and the slow fifth of the workers from
	// which on they count as uneven, and evenBelow the one below which they no longer do. Where
	// it is less, the speed classes tell workers apart well enough.
	unevenFrom, evenBelow = 1.6, 1.4
	// fifth is the share of the workers on either side that is left out, so that a few workers
	// that are slow for a time don't count.
	fifth = 0.2
)

// Uneven reports whether the speeds of the workers differ so much that work is better placed
// by its expected end. before is the previous result for the same workers, false at first.
// It addresses loads on which a third of the workers takes 2.7 times as long as another.
func Uneven(workers []Worker, before bool) bool {
	speeds := make([]float64, 0, len(workers))
	for i := range workers {
		if workers[i].Speed > 0 {
			speeds = append(speeds, workers[i].Speed)
		}
	}
	if len(speeds) == 0 || float64(len(speeds)) < minKnownSpeeds*float64(len(workers)) {
		return before
	}
	slices.Sort(speeds)
	skipped := int(fifth * float64(len(speeds)))
	ratio := speeds[len(speeds)-1-skipped] / speeds[skipped]
	if before {
		return ratio >= evenBelow
	}
	return ratio >= unevenFrom
}
