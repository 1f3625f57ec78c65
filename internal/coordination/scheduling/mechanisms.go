package scheduling

import (
	"fmt"
	"strings"
)

// Mechanisms is a set of parts of the pass. Experiments switch them off to tell what each
// is worth; the product never does.
type Mechanisms uint32

// The mechanisms that can be switched off.
const (
	// KeepWarm keeps the room that urgent work has left.
	KeepWarm Mechanisms = 1 << iota
	// AwaitNear waits for room near the data, or in one rack.
	AwaitNear
	// MatchPace places gangs on workers of one speed.
	MatchPace
	// SpareRoom prolongs the wait for near room while other work waits too.
	SpareRoom
	// BeginStanding begins work anywhere that stands beside much free room.
	BeginStanding
)

var mechanismNames = map[string]Mechanisms{
	"keep-warm":      KeepWarm,
	"await-near":     AwaitNear,
	"match-pace":     MatchPace,
	"spare-room":     SpareRoom,
	"begin-standing": BeginStanding,
}

// ParseMechanisms reads names separated by commas; none is the empty set.
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

// UnknownMechanism is a name that no mechanism has.
type UnknownMechanism struct{ Name string }

func (e *UnknownMechanism) Error() string {
	return fmt.Sprintf("no mechanism %q; there are %s", e.Name, strings.Join(sortedNames(mechanismNames), ", "))
}

// has tells whether the set holds the mechanism.
func (m Mechanisms) has(mechanism Mechanisms) bool { return m&mechanism != 0 }
