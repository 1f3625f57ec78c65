package httpapi

import (
	"context"
	"net/http"
	"time"

	"google.golang.org/protobuf/encoding/protojson"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

// revisionTimeout limits how long an apply waits until this instance has the revision
// that the operator read, possibly at another instance.
const revisionTimeout = 2 * time.Second

// getDeclarations fails if the state of this instance is stale: the operator would
// compare with declarations that are no longer in force, or with none at all.
func (s *Server) getDeclarations(w http.ResponseWriter, _ *http.Request, _ string) {
	if err := s.control.CheckFresh(); err != nil {
		writeError(w, err)
		return
	}
	state := s.control.State()
	items, err := protojson.Marshal(&controlpb.Snapshot{Items: state.Items()})
	if err != nil {
		writeError(w, failure.Wrap(failure.Internal, err, "encode declarations"))
		return
	}
	writeJSON(w, api.Declarations{Revision: state.Revision(), Items: items})
}

func (s *Server) applyDeclarations(w http.ResponseWriter, r *http.Request, operator string) {
	apply := api.ApplyRequest{}
	if err := readJSON(r, &apply); err != nil {
		writeError(w, err)
		return
	}
	op := &controlpb.ApplyItems{ExpectedRevision: apply.ExpectedRevision, Remove: apply.Remove}
	for _, text := range apply.Set {
		item := &controlpb.Item{}
		if err := protojson.Unmarshal(text, item); err != nil {
			writeError(w, failure.Wrap(failure.BadDeclaration, err, "cannot decode item"))
			return
		}
		op.Set = append(op.Set, item)
	}
	if err := s.checkApply(r.Context(), op, apply.AllowInfeasible); err != nil {
		writeError(w, err)
		return
	}
	command := &controlpb.Command{Op: &controlpb.Command_Apply{Apply: op}}
	if apply.Client != "" {
		command.Client = operator + "/" + apply.Client
		command.Sequence = apply.Sequence
	}
	result, err := s.propose(r, command)
	if err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, api.ApplyReply{Revision: result.Revision, Index: result.Index})
}

// checkApply validates a change before it is proposed. The log accepts it only at the
// expected revision, so the declarations that take effect are those validated here. If
// the state is already newer, the log decides: the change is a conflict, or the resend of
// an accepted change, which must get its first result.
func (s *Server) checkApply(ctx context.Context, op *controlpb.ApplyItems, allowInfeasible bool) error {
	state, err := s.awaitRevision(ctx, op.ExpectedRevision)
	if err != nil {
		return err
	}
	if state.Revision() > op.ExpectedRevision {
		return nil
	}
	if violations := declaration.CheckChange(state.Items(), op.Set, op.Remove); len(violations) > 0 {
		return failure.Wrap(failure.BadDeclaration, problems(violations), "%d problems", len(violations))
	}
	return s.checkFeasible(state.Items(), op.Set, allowInfeasible)
}

func problems(violations []declaration.Violation) declaration.Problems {
	found := make(declaration.Problems, len(violations))
	for i, violation := range violations {
		found[i] = declaration.Problem{File: "declarations", Section: violation.Item, Key: violation.Field, Reason: violation.Reason}
	}
	return found
}

// awaitRevision returns the state once its revision is at least the given one, or a
// StaleState failure after revisionTimeout.
func (s *Server) awaitRevision(ctx context.Context, revision uint64) (*store.State, error) {
	ctx, cancel := context.WithTimeout(ctx, revisionTimeout)
	defer cancel()
	for {
		changed := s.control.Changed()
		if state := s.control.State(); state.Revision() >= revision {
			return state, nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return nil, failure.New(failure.StaleState, "this instance has not reached revision %d", revision)
		}
	}
}
