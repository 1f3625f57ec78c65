package store

import (
	"cmp"
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	// maxPlacedWorkers limits the workers without work that are remembered. A quarter is forgotten at a time,
	// those that have had no placement for longest: commands for them have long been carried out or lost.
	maxPlacedWorkers = 4096
	// placedIndexInterval is how many log entries older than the newest placement the recorded one may be.
	placedIndexInterval = 256
)

// placedWorkers remembers on which incarnation of a worker work has been placed first.
type placedWorkers struct {
	workers *table[*controlpb.PlacedWorker]
	// complete is unset if work may have been placed before the list began.
	complete bool
	// forgottenRestarts is the largest number of restarts of a worker that is no longer listed.
	forgottenRestarts uint64
}

// PlacedWorkersComplete reports whether the state knows every worker to which commands may be under way.
func (s *State) PlacedWorkersComplete() bool { return s.placed.complete }

// OnlyPlacedIncarnation reports whether no other incarnation of the worker has had work placed on it before. Commands for
// another one can then not reach this one.
func (s *State) OnlyPlacedIncarnation(worker string, incarnation int64) bool {
	placed, ok := s.placed.workers.Get([]byte(worker))
	return s.placed.complete && (!ok || placed.FirstIncarnation == incarnation)
}

// Restarts returns how often work has been placed on another incarnation of the worker than before. It never decreases:
// leaders derive fencing tokens from it.
func (s *State) Restarts(worker string) uint64 {
	if placed, ok := s.placed.workers.Get([]byte(worker)); ok {
		return placed.Restarts
	}
	return s.placed.forgottenRestarts
}

// PlacedIncarnation returns the incarnation of the worker on which work was placed last, 0 if there is none, and whether a
// run has been recorded as started there.
func (s *State) PlacedIncarnation(worker string) (incarnation int64, started bool) {
	placed, _ := s.placed.workers.Get([]byte(worker))
	return placed.GetIncarnation(), placed.GetStarted()
}

// recordPlaced records that work has been placed.
func (s *State) recordPlaced(placements []*controlpb.Placement) {
	for _, placement := range placements {
		key := []byte(placement.Worker)
		next := &controlpb.PlacedWorker{
			Worker: placement.Worker, FirstIncarnation: placement.Incarnation, PlacedIndex: s.index,
			Incarnation: placement.Incarnation, Restarts: s.placed.forgottenRestarts,
		}
		if known, ok := s.placed.workers.Get(key); ok {
			same := known.Incarnation == placement.Incarnation
			if same && s.index-known.PlacedIndex < placedIndexInterval {
				continue
			}
			next.FirstIncarnation, next.Started, next.Restarts = known.FirstIncarnation, known.Started && same, known.Restarts
			if !same {
				next.Restarts++
			}
		}
		s.placed.workers, _, _ = s.placed.workers.Insert(key, next)
	}
	if s.placed.workers.Len() > maxPlacedWorkers {
		s.forgetPlaced()
	}
}

// recordStarted records that the members of a run have started on the incarnations on which they were placed.
func (s *State) recordStarted(placements []*controlpb.Placement) {
	for _, placement := range placements {
		key := []byte(placement.Worker)
		known, ok := s.placed.workers.Get(key)
		if !ok || known.Started || known.Incarnation != placement.Incarnation {
			continue
		}
		next := proto.CloneOf(known)
		next.Started = true
		s.placed.workers, _, _ = s.placed.workers.Insert(key, next)
	}
}

// forgetPlaced forgets a quarter of the workers, none that may have work.
func (s *State) forgetPlaced() {
	inUse := map[string]bool{}
	for _, job := range s.ActiveJobs() {
		for _, placement := range job.Placements {
			inUse[placement.Worker] = true
		}
	}
	for _, lost := range s.lostRuns {
		inUse[lost.Worker] = true
	}
	workers := slices.DeleteFunc(list(s.placed.workers), func(placed *controlpb.PlacedWorker) bool { return inUse[placed.Worker] })
	slices.SortFunc(workers, func(a, b *controlpb.PlacedWorker) int {
		return cmp.Or(cmp.Compare(a.PlacedIndex, b.PlacedIndex), cmp.Compare(a.Worker, b.Worker))
	})
	txn := s.placed.workers.Txn()
	for _, placed := range workers[:min(len(workers), s.placed.workers.Len()-maxPlacedWorkers*3/4)] {
		s.placed.forgottenRestarts = max(s.placed.forgottenRestarts, placed.Restarts)
		txn.Delete([]byte(placed.Worker))
	}
	s.placed.workers = txn.Commit()
}

// snapshotPlaced returns the list as a snapshot holds it.
func (s *State) snapshotPlaced() *controlpb.PlacedWorkers {
	return &controlpb.PlacedWorkers{Workers: list(s.placed.workers), Complete: s.placed.complete, SnapshotIndex: s.index, ForgottenRestarts: s.placed.forgottenRestarts}
}

// restorePlaced takes the list from a snapshot. Of one that a version has written which doesn't know the list, it takes
// the workers that may have work.
func (s *State) restorePlaced(snapshot *controlpb.Snapshot) {
	if placed := snapshot.PlacedWorkers; placed != nil && placed.SnapshotIndex == snapshot.Index {
		s.placed.complete, s.placed.forgottenRestarts = placed.Complete, placed.ForgottenRestarts
		s.placed.workers = buildTable(placed.Workers, func(w *controlpb.PlacedWorker) []byte { return []byte(w.Worker) })
		return
	}
	s.placed.complete = false
	for _, lost := range snapshot.LostRuns {
		s.recordPlaced([]*controlpb.Placement{{Worker: lost.Worker, Incarnation: lost.Incarnation}})
	}
	for _, job := range snapshot.Jobs {
		if !Ended(job.State) {
			s.recordPlaced(job.Placements)
		}
	}
}
