package replica

import (
	"time"

	"github.com/sirupsen/logrus"
)

// replay is the part of a start in which a replica applies again what its log
// holds behind its newest snapshot. Callers wait for it after a loss of all
// replicas, so its length is told.
//
// It goes in parts, and messages, ticks and requests come between two of them: a
// replica that applied 2,677 entries in one go asked for votes only 1.9 s after it
// had started, and the others waited with it.
type replay struct {
	began time.Time
	from  uint64
	// upTo is the commit index that the disk knew; 0 once it is applied.
	upTo uint64
}

// beginReplay tells what the disk gave back.
func (c *core) beginReplay(recovered *recovery) {
	commit := c.node.Status().Commit
	c.replay = replay{began: time.Now(), from: c.state.Index(), upTo: commit}
	c.replica.config.Logger.WithFields(logrus.Fields{
		"snapshot_index": c.state.Index(), "entries": len(recovered.consensus.Entries),
		"commit": commit, "term": recovered.consensus.Hard.GetTerm(),
	}).Info("log opened")
}

// replaying tells whether entries that the disk knew to be committed are not applied.
func (c *core) replaying() bool { return c.state.Index() < c.replay.upTo }

// always can be received from at any time.
var always = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// nextTurn is ready at once while a part of a start is left.
func (c *core) nextTurn() <-chan struct{} {
	if c.held == nil && c.replaying() {
		return always
	}
	return nil
}

// checkReplay tells once when everything that the disk knew to be committed is applied.
func (c *core) checkReplay() {
	if c.replay.upTo == 0 || c.replaying() {
		return
	}
	c.replica.config.Logger.WithFields(logrus.Fields{
		"index": c.state.Index(), "entries": c.state.Index() - c.replay.from,
		"took_ms": time.Since(c.replay.began).Milliseconds(),
	}).Info("log replayed")
	c.replay.upTo = 0
}
