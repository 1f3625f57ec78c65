package scheduling

import (
	"strings"
	"time"
)

// Features are the optional parts of a pass that a deployment's settings switch on, and
// the costs of stops and restarts that they declare. The zero value switches all off.
type Features struct {
	// ExpectedEnd places, orders and preempts units by when they are expected to end.
	ExpectedEnd bool
	// AttemptPlacement chooses the workers of a second attempt with more care.
	AttemptPlacement bool
	// Interference keeps tasks apart that slow each other down.
	Interference bool
	// CheckpointInterval is the span of work between two checkpoints, RestoreTime the time
	// of a start from one, StopTime the longest time that a stop takes; 0 if not known.
	CheckpointInterval, RestoreTime, StopTime time.Duration
}

// ParseFeatures parses names separated by commas, as in the settings; the empty text
// switches nothing on. An unknown name gives an *UnknownFeature.
func ParseFeatures(text string) (Features, error) {
	var f Features
	switches := map[string]*bool{
		"expected_end": &f.ExpectedEnd, "attempt_placement": &f.AttemptPlacement, "interference": &f.Interference,
	}
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		on, ok := switches[name]
		if !ok {
			return Features{}, &UnknownFeature{Name: name}
		}
		*on = true
	}
	return f, nil
}

// UnknownFeature is the error for a name that no feature has.
type UnknownFeature struct{ Name string }

func (e *UnknownFeature) Error() string { return "unknown feature " + e.Name }
