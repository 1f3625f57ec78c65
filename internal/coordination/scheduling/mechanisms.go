package scheduling

import (
	"fmt"
	"strings"
)

// Mechanisms is a set of optional parts of a scheduling pass. Experiments switch them
// off to measure what each contributes; production never does.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// KeepWarm keeps capacity that urgent work has just freed for the next urgent work.
	KeepWarm Mechanisms = 1 << iota
	// DelayForLocality delays work until there is capacity near its data, or in one
	// rack.
	DelayForLocality
	// MatchSpeed places gangs on workers of one speed class.
	MatchSpeed
	// ExtendLocalityWait lengthens the wait for local capacity while other work waits
	// too.
	ExtendLocalityWait
	// StartStarved starts starved work on any eligible worker.
	StartStarved
)

var mechanismNames = map[string]Mechanisms{
	"keep-warm":      KeepWarm,
	"await-near":     DelayForLocality,
	"match-pace":     MatchSpeed,
	"spare-room":     ExtendLocalityWait,
	"begin-standing": StartStarved,
}

// ParseMechanisms parses names separated by commas; the empty text is the empty set.
func ParseMechanisms(text string) (Mechanisms, error) {
	var set Mechanisms
	for _, name := range strings.FieldsFunc(text, func(r rune) bool { return r == ',' }) {
		mechanism, ok := mechanismNames[name]
		if !ok {
			return 0, &UnknownMechanism{Name: name}
		}
		set |= mechanism
	}
	return set, nil
}

// UnknownMechanism is the error for a name that no mechanism has.
type UnknownMechanism struct{ Name string }

func (e *UnknownMechanism) Error() string {
	return fmt.Sprintf("unknown mechanism %q; known mechanisms: %s", e.Name, strings.Join(sortedNames(mechanismNames), ", "))
}

// has reports whether the set contains the mechanism.
func (m Mechanisms) has(mechanism Mechanisms) bool { return m&mechanism != 0 }
