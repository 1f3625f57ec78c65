package feed

import (
	"cmp"
	"slices"
	"sync"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// places are the streams that an instance serves, by follower.
type places struct {
	mu    sync.Mutex
	taken map[string]*place
}

// place is one follower's; it may open a second stream before its first has ended.
type place struct {
	source  failure.Source
	streams int
}

// take gives a follower a place and reports whether there was one. A replica always
// gets one: without the state it can't be put in its own place among the voters, and
// while it waited in a crowd of others the loss of two more disks took the quorum.
func (p *places) take(follow *peerpb.Follow, replica bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.streams() >= MaxFollowers && !replica {
		return false
	}
	if p.taken == nil {
		p.taken = map[string]*place{}
	}
	if p.taken[follow.Instance] == nil {
		p.taken[follow.Instance] = &place{source: failure.Source{Instance: follow.Instance, DataCentre: follow.DataCentre}}
	}
	p.taken[follow.Instance].streams++
	return true
}

func (p *places) leave(instance string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	left := p.taken[instance]
	left.streams--
	if left.streams == 0 {
		delete(p.taken, instance)
	}
}

// streams counts them. The caller holds the lock.
func (p *places) streams() int {
	streams := 0
	for _, taken := range p.taken {
		streams += taken.streams
	}
	return streams
}

// sources are the followers, in the order of their names: each serves others once it
// has the state.
func (p *places) sources() []failure.Source {
	p.mu.Lock()
	defer p.mu.Unlock()
	var sources []failure.Source
	for _, taken := range p.taken {
		sources = append(sources, taken.source)
	}
	slices.SortFunc(sources, func(a, b failure.Source) int { return cmp.Compare(a.Instance, b.Instance) })
	return sources
}

// keepsTheLog tells whether an instance is among the replicas.
func keepsTheLog(replicas []*controlpb.ReplicaInstance, instance string) bool {
	return slices.ContainsFunc(replicas, func(r *controlpb.ReplicaInstance) bool { return r.Instance == instance })
}

func replicaSources(replicas []*controlpb.ReplicaInstance) []failure.Source {
	var sources []failure.Source
	for _, r := range replicas {
		sources = append(sources, failure.Source{Instance: r.Instance, DataCentre: r.DataCentre, Replica: true})
	}
	return sources
}
