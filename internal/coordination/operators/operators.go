// Package operators replaces the full set of declarations on behalf of operators and
// reads the newest one.
package operators

import (
	"bytes"
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// callTimeout limits one call: an operator's client tries another instance after a second.
const callTimeout = 900 * time.Millisecond

// Service serves the operators' requests at one instance.
type Service struct {
	log    control.Log
	logger *logrus.Logger
}

// NewService creates a Service.
func NewService(log control.Log, logger *logrus.Logger) *Service {
	return &Service{log: log, logger: logger}
}

// InForce reports whether the newest document here is this text. It has been committed then, and
// a resend is acknowledged whatever this version thinks of it: an earlier version may have
// accepted what this one refuses.
func (s *Service) InForce(text []byte) bool {
	state := s.log.State()
	document := state.Document()
	if document == nil || !bytes.Equal(document.Content, text) {
		return false
	}
	s.logger.WithFields(logrus.Fields{
		"version": document.Version, "digest": control.Digest(document), "index": state.Index(), "revision": state.Revision(),
	}).Info("declarations are in force already")
	return true
}

// Replace commits a set of declarations. A set with an invalid item is refused as a whole
// with bad_declaration, whatever its version. A set that a higher version has superseded is
// acknowledged and changes nothing, so that a resend is never refused.
func (s *Service) Replace(ctx context.Context, change *controlpb.ReplaceDeclarations) error {
	entry := s.logger.WithFields(logrus.Fields{"version": change.Document.Version, "bytes": len(change.Document.Content)})
	if violations := declaration.CheckDocument(change.Items); len(violations) > 0 {
		first := violations[0]
		entry.WithFields(logrus.Fields{"item": first.Item, "field": first.Field, "reason": first.Reason}).Warn("declarations refused")
		return failure.New(failure.BadDeclaration, "%s %s: %s", first.Item, first.Field, first.Reason)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := s.log.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Replace{Replace: change}})
	if err != nil {
		f := failure.From(err)
		entry.WithFields(logrus.Fields{"code": f.Code, "not_run": f.NotRun, "detail": f.Error()}).Warn("declarations not committed")
		return err
	}
	entry.WithFields(logrus.Fields{"index": result.Index, "revision": result.Revision, "digest": control.Digest(change.Document)}).Info("declarations acknowledged")
	return nil
}

// LogRefusal logs a set of declarations, of a size in bytes, that could not be read.
func (s *Service) LogRefusal(size int, err error) {
	s.logger.WithFields(logrus.Fields{"bytes": size, "code": failure.From(err).Code, "reason": err.Error()}).Warn("declarations refused")
}

// Read returns the newest document. It fails with stale_state if this instance cannot
// determine which is the newest, and with not_ready if there is none yet.
func (s *Service) Read(ctx context.Context) (*controlpb.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if err := control.Barrier(ctx, s.log); err != nil {
		s.logger.WithFields(logrus.Fields{"code": failure.From(err).Code, "detail": err.Error(), "index": s.log.State().Index()}).Warn("declarations not read")
		// A read has no unknown outcome: the operator's client can retry elsewhere.
		return nil, failure.Wrap(failure.StaleState, err, "the newest declarations are not known")
	}
	state := s.log.State()
	document := state.Document()
	s.logger.WithFields(logrus.Fields{"version": document.GetVersion(), "digest": control.Digest(document), "revision": state.Revision(), "index": state.Index()}).Info("declarations read")
	if document == nil {
		return nil, failure.New(failure.NotReady, "no declarations yet")
	}
	return document, nil
}
