package follower

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance from which the log could be followed.
type Candidate struct {
	Name string
	// DataCentre is empty if it is not known yet.
	DataCentre string
	// Replica is true for a control replica and false for a relay, which itself follows.
	Replica bool
}

// Rank returns the names of the candidates in order of preference for an instance:
// replicas in its data centre, relays there whose names sort before its own, replicas
// elsewhere, relays elsewhere, and last the other relays in its data centre. Within one
// class a hash of both names decides, so that followers spread over the sources.
//
// The order by name keeps two relays that both lost their source from choosing
// each other: the one whose name sorts first keeps a link to another data centre. Relays
// with greater names come last instead of being excluded, or an instance whose name sorts
// first would find no source at all once the voters are at their follower limit.
func Rank(self Candidate, candidates []Candidate) []string {
	var usable []Candidate
	for _, c := range candidates {
		if c.Name != self.Name {
			usable = append(usable, c)
		}
	}
	slices.SortFunc(usable, func(a, b Candidate) int {
		return cmp.Or(
			cmp.Compare(distance(self, a), distance(self, b)),
			cmp.Compare(score(self.Name, a.Name), score(self.Name, b.Name)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	names := make([]string, 0, len(usable))
	for _, c := range usable {
		names = append(names, c.Name)
	}
	return names
}

// distance returns the class of a candidate. Lower classes are preferred.
func distance(self, c Candidate) int {
	near := c.DataCentre == self.DataCentre
	switch {
	case near && c.Replica:
		return 0
	case near && c.Name < self.Name:
		return 1
	case near:
		return 4
	case c.Replica:
		return 2
	}
	return 3
}

// score is a rendezvous hash of follower and candidate.
func score(follower, candidate string) uint64 {
	return xxhash.Sum64String(follower + "\x00" + candidate)
}
