package follower

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Candidate is an instance whose log could be followed.
type Candidate struct {
	Name string
	// DataCentre is empty where it is not known yet.
	DataCentre string
	// Replica tells a control replica from a relay, which follows one itself.
	Replica bool
}

// Rank orders the candidates for an instance: replicas of its data centre, then
// relays there with a lesser name than its own, then replicas elsewhere, relays
// elsewhere, and last the other relays of its data centre. Within one class a
// hash of both names decides, so that followers spread.
//
// The order by name keeps two relays that both lost their source from choosing
// each other: the lesser keeps a link to another data centre. Greater names
// come last rather than never, or an instance with a small name would find no
// source at all once the voters serve as many as they may.
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

// distance is the class of a candidate; a lower one is nearer.
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
