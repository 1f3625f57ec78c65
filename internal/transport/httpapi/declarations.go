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

// catchUp is how long an apply waits for this instance to reach the revision
// that the operator read elsewhere.
const catchUp = 2 * time.Second

// getDeclarations is refused by an instance whose state is old: an operator
// would compare with what is no longer in force, or with nothing at all.
func (s *Server) getDeclarations(w http.ResponseWriter, _ *http.Request, _ string) {
	if err := s.control.Fresh(); err != nil {
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
			writeError(w, failure.Wrap(failure.BadDeclaration, err, "item does not decode"))
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

// checkApply holds a change against the rules before it is proposed. The log
// accepts it only at the expected revision, so what was checked at that revision
// is what comes into force. An older expectation is left to the log: it is a
// conflict, or the resend of a change that was accepted, which has to get its
// first answer.
func (s *Server) checkApply(ctx context.Context, op *controlpb.ApplyItems, allowInfeasible bool) error {
	state, err := s.stateAt(ctx, op.ExpectedRevision)
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

// stateAt waits until this instance has at least the revision.
func (s *Server) stateAt(ctx context.Context, revision uint64) (*store.State, error) {
	ctx, cancel := context.WithTimeout(ctx, catchUp)
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
