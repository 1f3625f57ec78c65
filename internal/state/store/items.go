package store

import (
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// applyItems applies a change if the declarations are still at the expected revision. If
// two operators race on the same revision, the second one is refused.
func (s *State) applyItems(op *controlpb.ApplyItems) *controlpb.Result {
	if op.ExpectedRevision != s.revision {
		return refusal(0, failure.Conflict, "the declarations have changed since they were read")
	}
	txn := s.items.Txn()
	for _, item := range op.Set {
		txn.Insert([]byte(item.Key), item)
	}
	for _, key := range op.Remove {
		txn.Delete([]byte(key))
	}
	s.items = txn.Commit()
	s.revision++
	return &controlpb.Result{}
}

func (s *State) setDrain(op *controlpb.SetDrain) *controlpb.Result {
	if strings.TrimSpace(op.Upstream) == "" {
		return refusal(0, failure.BadRequest, "no upstream named")
	}
	key := []byte(op.Upstream)
	if op.Drained {
		s.drained, _, _ = s.drained.Insert(key, true)
	} else {
		s.drained, _, _ = s.drained.Delete(key)
	}
	return &controlpb.Result{}
}
