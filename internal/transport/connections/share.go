// Package connections keeps the connections of a process within the file descriptors
// that it may hold, so that they never take the place of a file of the control log.
package connections

import "syscall"

const (
	// reserved descriptors are for files, for connections between instances and for
	// what the runtime opens: 64 watched and 64 watching instances, as many followers and
	// some tens of files, and 200 that a platform may keep for itself.
	reserved = 512
	// leastShare of a small limit is reserved in place of that: a quarter.
	leastShare = 4
	// dialledParts of sharedParts go to connections to upstreams, the rest to accepted
	// ones: a leader keeps a look waiting at every worker beside 256 orders, while
	// workers announce themselves to all instances.
	dialledParts, sharedParts = 5, 8
	// idleParts of the dialled connections may be without an order.
	idleParts = 2
)

// Share is how many connections of each kind a process may hold.
type Share struct {
	// Limit is the process's file descriptors.
	Limit int
	// Dialled are connections to upstreams, and Idle those of them without an order.
	Dialled, Idle int
	// Accepted are connections of callers and upstreams.
	Accepted int
}

// ShareOf divides a limit. An instance that dials no upstreams has all for callers.
func ShareOf(limit int, dials bool) Share {
	left := limit - min(reserved, limit/leastShare)
	s := Share{Limit: limit, Accepted: left}
	if dials {
		s.Dialled = left * dialledParts / sharedParts
		s.Idle = s.Dialled / idleParts
		s.Accepted = left - s.Dialled
	}
	return s
}

// LimitOfProcess is how many descriptors the kernel lets this process open; the usual
// least where it does not say.
func LimitOfProcess() int {
	const usualLeast = 1024
	limit := syscall.Rlimit{}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return usualLeast
	}
	return int(limit.Cur)
}
