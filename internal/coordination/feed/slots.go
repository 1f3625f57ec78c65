package feed

import (
	"cmp"
	"slices"
	"sync"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// slots tracks the streams that an instance serves, by follower.
type slots struct {
	mu         sync.Mutex
	byInstance map[string]*slot
}

// slot counts the streams of one follower, which may open a second one before its first
// has ended.
type slot struct {
	source  failure.Source
	streams int
}

// acquire counts a stream of a follower and reports whether it was admitted. A replica
// is always admitted: without the state it cannot be added as a voter in place of its
// former self, and while it queued behind other followers the loss of two more disks
// would lose the quorum.
func (s *slots) acquire(follow *peerpb.Follow, replica bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.streams() >= MaxFollowers && !replica {
		return false
	}
	if s.byInstance == nil {
		s.byInstance = map[string]*slot{}
	}
	if s.byInstance[follow.Instance] == nil {
		s.byInstance[follow.Instance] = &slot{source: failure.Source{Instance: follow.Instance, DataCentre: follow.DataCentre}}
	}
	s.byInstance[follow.Instance].streams++
	return true
}

func (s *slots) release(instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	used := s.byInstance[instance]
	used.streams--
	if used.streams == 0 {
		delete(s.byInstance, instance)
	}
}

// streams counts the open streams. The caller holds the lock.
func (s *slots) streams() int {
	streams := 0
	for _, used := range s.byInstance {
		streams += used.streams
	}
	return streams
}

// sources returns the followers, ordered by name. Each can serve others once it has the
// state.
func (s *slots) sources() []failure.Source {
	s.mu.Lock()
	defer s.mu.Unlock()
	var sources []failure.Source
	for _, used := range s.byInstance {
		sources = append(sources, used.source)
	}
	slices.SortFunc(sources, func(a, b failure.Source) int { return cmp.Compare(a.Instance, b.Instance) })
	return sources
}

// isReplica reports whether the instance is one of the replicas.
func isReplica(replicas []*controlpb.ReplicaInstance, instance string) bool {
	return slices.ContainsFunc(replicas, func(r *controlpb.ReplicaInstance) bool { return r.Instance == instance })
}

func replicaSources(replicas []*controlpb.ReplicaInstance) []failure.Source {
	var sources []failure.Source
	for _, r := range replicas {
		sources = append(sources, failure.Source{Instance: r.Instance, DataCentre: r.DataCentre, Replica: true})
	}
	return sources
}
