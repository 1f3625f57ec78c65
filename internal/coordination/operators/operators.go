// Package operators puts whole sets of declarations in force and reads the newest.
package operators

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// patience bounds one call: an operator asks another instance after a second.
const patience = 900 * time.Millisecond

// Desk serves the operators of one instance.
type Desk struct {
	log    control.Log
	logger *logrus.Logger
}

// NewDesk makes a desk.
func NewDesk(log control.Log, logger *logrus.Logger) *Desk { return &Desk{log: log, logger: logger} }

// Replace commits a set of declarations. One with a fault is refused whole,
// whatever its version; one that a higher version has overtaken is acknowledged
// and changes nothing, so that a resend is never refused.
func (d *Desk) Replace(ctx context.Context, change *controlpb.ReplaceDeclarations) error {
	entry := d.logger.WithField("version", change.Document.Version)
	if violations := declaration.CheckDocument(change.Items); len(violations) > 0 {
		first := violations[0]
		entry.WithFields(logrus.Fields{"item": first.Item, "field": first.Field, "reason": first.Reason}).Warn("declarations refused")
		return failure.New(failure.BadDeclaration, "%s %s: %s", first.Item, first.Field, first.Reason)
	}
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	result, err := d.log.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_Replace{Replace: change}})
	if err != nil {
		entry.WithField("code", failure.From(err).Code).Warn("declarations not committed")
		return err
	}
	entry.WithFields(logrus.Fields{"index": result.Index, "revision": result.Revision}).Info("declarations acknowledged")
	return nil
}

// Read gives the newest document. It fails where this instance cannot be sure
// which that is.
func (d *Desk) Read(ctx context.Context) (*controlpb.Document, error) {
	ctx, cancel := context.WithTimeout(ctx, patience)
	defer cancel()
	if err := control.Read(ctx, d.log); err != nil {
		// A read has no outcome to be unsure of: the operator asks elsewhere.
		return nil, failure.Wrap(failure.StaleState, err, "the newest declarations are not known")
	}
	document := d.log.State().Document()
	if document == nil {
		return nil, failure.New(failure.NotReady, "no declarations yet")
	}
	return document, nil
}
