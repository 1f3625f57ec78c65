package store

import (
	"encoding/binary"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// heldTable counts, for each accelerator, the placements of open jobs that hold it.
// Accelerators that aren't held have no record. Plans are checked against this table, so
// that the cost of a plan depends on what it places and not on what runs in the cluster.
//
// Only a plan gives a job placements, and a waiting job has none.
//
// The table holds counts rather than the ids of the holders, so that it is the same
// whether the state was reached by applying entries or restored from a snapshot.
type heldTable = table[uint32]

// Accelerator identifies one accelerator of one worker.
type Accelerator struct {
	Worker string
	Number uint32
}

func (a Accelerator) key() []byte {
	return binary.BigEndian.AppendUint32(append([]byte(a.Worker), 0), a.Number)
}

// isHeld reports whether an open job holds the accelerator.
func (s *State) isHeld(accelerator Accelerator) bool {
	_, held := s.held.Get(accelerator.key())
	return held
}

// updateHeld updates the counts after a job has changed.
func (s *State) updateHeld(before, now *controlpb.Job) {
	from, to := holdings(before), holdings(now)
	if slices.EqualFunc(from, to, sameHolding) {
		return
	}
	txn := s.held.Txn()
	adjustHeld(txn, from, func(count uint32) uint32 { return count - 1 })
	adjustHeld(txn, to, func(count uint32) uint32 { return count + 1 })
	s.held = txn.Commit()
}

// holdings returns the placements by which a job holds accelerators.
func holdings(job *controlpb.Job) []*controlpb.Placement {
	if job == nil || Ended(job.State) {
		return nil
	}
	return job.Placements
}

func sameHolding(a, b *controlpb.Placement) bool {
	return a.Worker == b.Worker && slices.Equal(a.Accelerators, b.Accelerators)
}

// adjustHeld applies change to the count of each accelerator in the placements.
func adjustHeld(txn *iradix.Txn[uint32], placements []*controlpb.Placement, change func(uint32) uint32) {
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			key := Accelerator{placement.Worker, number}.key()
			count, _ := txn.Get(key)
			if count = change(count); count == 0 {
				txn.Delete(key)
				continue
			}
			txn.Insert(key, count)
		}
	}
}

// buildHeld counts the accelerators that the given jobs hold.
func buildHeld(jobs []*controlpb.Job) *heldTable {
	txn := iradix.New[uint32]().Txn()
	for _, job := range jobs {
		adjustHeld(txn, holdings(job), func(count uint32) uint32 { return count + 1 })
	}
	return txn.Commit()
}
