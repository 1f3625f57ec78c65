package feed

import (
	"sync"

	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// keptEvery is the distance in entries between two states that are kept to be
	// sent as snapshots. The entries behind one are sent after it: 256 of 400 bytes
	// take 0.4 s on a link of 2 Mbit/s.
	keptEvery = 256
	// mostKept bounds the states that are kept; they share what did not change.
	mostKept = 2
)

// keptStates are the newest states at fixed indexes. Every instance keeps the same
// ones and encodes them alike, so a follower whose source was lost during a
// transfer goes on at another one, and followers that come within some seconds
// cost one encoding.
type keptStates struct {
	mu   sync.Mutex
	kept []*store.State
}

// pass looks at a state that the log has led to.
func (k *keptStates) pass(state *store.State) {
	if state.Index()%keptEvery != 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = append(k.kept, state)
	if len(k.kept) > mostKept {
		k.kept[0] = nil
		k.kept = k.kept[1:]
	}
}

// reset keeps the given state only, which a snapshot led to.
func (k *keptStates) reset(state *store.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.kept = []*store.State{state}
}

// newest is the newest one up to the index, or nil.
func (k *keptStates) newest(upTo uint64) *store.State {
	k.mu.Lock()
	defer k.mu.Unlock()
	for i := len(k.kept) - 1; i >= 0; i-- {
		if k.kept[i].Index() <= upTo {
			return k.kept[i]
		}
	}
	return nil
}

// at is the one at the index, or nil.
func (k *keptStates) at(index uint64) *store.State {
	if found := k.newest(index); found != nil && found.Index() == index {
		return found
	}
	return nil
}
