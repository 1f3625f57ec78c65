// Package credit divides the slots of resources among the entry instances
// without a message per request.
//
// A resource is the slots of a minion or a customer's limit on requests in
// flight. Its slots are divided by rendezvous hashing over the members of an
// epoch (Thaler and Ravishankar, 1998). Idle credits are lent between instances
// and are charged to the lender until the borrower returns them or has departed.
// The package reads no clock and does no I/O.
package credit

import "github.com/cespare/xxhash/v2"

// Share is the number of slots of a resource assigned to one member; 0 if it is
// not in members. Every member gets slots/len(members), and the members that
// rank first in the resource's rendezvous order get one more each for the
// remainder. The shares of all members add up to slots, and a share never
// shrinks when slots grow.
func Share(resource string, slots int, members []string, member string) int {
	if len(members) == 0 || slots <= 0 {
		return 0
	}
	base := slots / len(members)
	extra := slots % len(members)
	rank, present := rankOf(resource, members, member)
	switch {
	case !present:
		return 0
	case rank < extra:
		return base + 1
	}
	return base
}

// rankOf counts the members that precede this one in the resource's rendezvous
// order.
func rankOf(resource string, members []string, member string) (rank int, present bool) {
	own := weight(resource, member)
	for _, other := range members {
		if other == member {
			present = true
			continue
		}
		score := weight(resource, other)
		if score > own || (score == own && other < member) {
			rank++
		}
	}
	return rank, present
}

func weight(resource, member string) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	_, _ = digest.WriteString(resource)
	_, _ = digest.Write([]byte{0})
	_, _ = digest.WriteString(member)
	return digest.Sum64()
}
