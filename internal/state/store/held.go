package store

import (
	"encoding/binary"
	"slices"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// heldTable counts for each accelerator the placements of open jobs that hold it; one
// that nobody holds is not in it. A plan is checked against it, so that an entry costs
// what it places and not what runs in the whole cluster.
//
// A job gets placements by a plan only, and a waiting one has none.
//
// Counts and not names of holders: the table is then the same whether a state was
// reached by entries or restored from a snapshot.
type heldTable = table[uint32]

// Accelerator is one accelerator of one worker.
type Accelerator struct {
	Worker string
	Number uint32
}

func (a Accelerator) key() []byte {
	return binary.BigEndian.AppendUint32(append([]byte(a.Worker), 0), a.Number)
}

// isHeld tells whether an open job holds the accelerator.
func (s *State) isHeld(accelerator Accelerator) bool {
	_, held := s.held.Get(accelerator.key())
	return held
}

// moveHeld notes that a job's placements have changed.
func (s *State) moveHeld(before, now *controlpb.Job) {
	from, to := holdings(before), holdings(now)
	if slices.EqualFunc(from, to, sameHolding) {
		return
	}
	txn := s.held.Txn()
	countHeld(txn, from, func(count uint32) uint32 { return count - 1 })
	countHeld(txn, to, func(count uint32) uint32 { return count + 1 })
	s.held = txn.Commit()
}

// holdings are the placements by which a job holds accelerators.
func holdings(job *controlpb.Job) []*controlpb.Placement {
	if job == nil || Ended(job.State) {
		return nil
	}
	return job.Placements
}

func sameHolding(a, b *controlpb.Placement) bool {
	return a.Worker == b.Worker && slices.Equal(a.Accelerators, b.Accelerators)
}

// countHeld changes the count of each accelerator that the placements name.
func countHeld(txn *iradix.Txn[uint32], placements []*controlpb.Placement, change func(uint32) uint32) {
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

// fillHeld counts what the given open jobs hold.
func fillHeld(jobs []*controlpb.Job) *heldTable {
	txn := iradix.New[uint32]().Txn()
	for _, job := range jobs {
		countHeld(txn, holdings(job), func(count uint32) uint32 { return count + 1 })
	}
	return txn.Commit()
}
