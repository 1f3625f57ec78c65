package feed

import (
	"sync"

	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// anchorEvery is the distance in entries between two states that are kept to be
	// sent as snapshots. The entries behind one are sent after it: 256 of a busy
	// deployment are about 100 KB.
	anchorEvery = 256
	// anchorsKept bounds the states that are kept; they share what did not change.
	anchorsKept = 2
)

// anchors are the newest states at fixed indexes. Every instance keeps the same
// ones and encodes them alike, so a follower whose source was lost during a
// transfer goes on at another one, and followers that come within some seconds
// cost one encoding.
type anchors struct {
	mu   sync.Mutex
	kept []*store.State
}

// pass looks at a state that the log has led to.
func (a *anchors) pass(state *store.State) {
	if state.Index()%anchorEvery != 0 {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = append(a.kept, state)
	if len(a.kept) > anchorsKept {
		a.kept[0] = nil
		a.kept = a.kept[1:]
	}
}

// reset keeps the given state only, which a snapshot led to.
func (a *anchors) reset(state *store.State) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.kept = []*store.State{state}
}

// newest is the newest one up to the index, or nil.
func (a *anchors) newest(upTo uint64) *store.State {
	a.mu.Lock()
	defer a.mu.Unlock()
	for i := len(a.kept) - 1; i >= 0; i-- {
		if a.kept[i].Index() <= upTo {
			return a.kept[i]
		}
	}
	return nil
}

// at is the one at the index, or nil.
func (a *anchors) at(index uint64) *store.State {
	if found := a.newest(index); found != nil && found.Index() == index {
		return found
	}
	return nil
}
