// Package connections limits the connections of a process so that they never use up the
// file descriptors that the files of the control log need.
package connections

import "syscall"

const (
	// reservedDescriptors are for files, for connections between instances and for the
	// runtime: 64 watched and 64 watching instances, as many followers, some tens of
	// files, and 200 that a platform may keep for itself.
	reservedDescriptors = 512
	// reserveDivisor sets the reserve under a small limit: a quarter of it.
	reserveDivisor = 4
	// dialledParts of totalParts go to connections to upstreams, the rest to accepted
	// ones: a leader keeps a poll open at every worker beside 256 commands, while workers
	// announce themselves to all instances.
	dialledParts, totalParts = 5, 8
	// idleDivisor limits idle connections to half of the dialled ones.
	idleDivisor = 2
)

// Allocation is the number of connections of each kind that a process may hold.
type Allocation struct {
	// Descriptors is the number of file descriptors of the process.
	Descriptors int
	// Dialled is the limit of connections to upstreams; Idle of them may be idle.
	Dialled, Idle int
	// Accepted is the limit of connections from callers and upstreams.
	Accepted int
}

// Allocate divides the file descriptors of a process after the reserve. A process that
// dials no upstreams has all of them for accepted connections.
func Allocate(limit int, dialsUpstreams bool) Allocation {
	available := limit - min(reservedDescriptors, limit/reserveDivisor)
	a := Allocation{Descriptors: limit, Accepted: available}
	if dialsUpstreams {
		a.Dialled = available * dialledParts / totalParts
		a.Idle = a.Dialled / idleDivisor
		a.Accepted = available - a.Dialled
	}
	return a
}

// DescriptorLimit returns how many file descriptors the process may open (RLIMIT_NOFILE),
// or the common default of 1024 if the limit is unknown or practically unlimited.
func DescriptorLimit() int {
	const defaultLimit = 1024
	limit := syscall.Rlimit{}
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur > 1<<30 {
		return defaultLimit
	}
	return int(limit.Cur)
}
