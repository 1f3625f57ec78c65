package membership

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// CheckClaim decides whether an announcement may be that of a worker. Other writers announce under
// the ids of workers, too; taken for the worker's own, such an announcement replaces its services
// and its address, so that it gets no more work, or another worker is asked about its runs. known
// is the live worker with the id, or nil; declared reports whether the declarations name a
// service, and live lists the workers. It fails with bad_request, and the worker that is known
// stays as it was.
//
// A worker keeps its address and its services for as long as it lives. One whose service has
// been removed from the declarations stays known until it ends: its work goes on.
func CheckClaim(claim, known *peerpb.Upstream, declared func(service string) bool, live []*peerpb.Upstream) error {
	sameLife := known != nil && known.Incarnation == claim.Incarnation
	if sameLife && known.Address != claim.Address {
		return failure.New(failure.BadRequest, "the worker lives at %s, not at %s", known.Address, claim.Address)
	}
	if sameLife && slices.Equal(known.Services, claim.Services) {
		return nil
	}
	for _, service := range claim.Services {
		if !declared(service) {
			return failure.New(failure.BadRequest, "no such service: %s", service)
		}
	}
	if known == nil || known.Address == claim.Address {
		return nil
	}
	// The next life may be at another address, but not at another worker's.
	for _, other := range live {
		if other.Id != claim.Id && other.Address == claim.Address && !other.Departed {
			return failure.New(failure.BadRequest, "%s is the address of another worker", claim.Address)
		}
	}
	return nil
}
