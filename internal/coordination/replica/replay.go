package replica

import (
	"time"

	"github.com/sirupsen/logrus"
)

// replay is the part of a start in which a replica applies the entries of its log after
// its newest snapshot. Callers wait for it after a loss of all replicas, so its duration
// is logged.
//
// It is done in parts, and messages, ticks and requests are processed between two of
// them: a replica that applied 2,677 entries at once requested votes only 1.9 s after it
// had started, and the others had to wait for it.
type replay struct {
	began time.Time
	from  uint64
	// upTo is the commit index recovered from disk; 0 once it is applied.
	upTo uint64
}

// startReplay records and logs what was recovered from disk.
func (c *core) startReplay(recovered *recovery) {
	status := c.node.Status()
	commit := status.Commit
	c.replay = replay{began: time.Now(), from: c.state.Index(), upTo: commit}
	c.replica.config.Logger.WithFields(logrus.Fields{
		"identity": c.disk.identity, "members": len(status.Configuration.GetMembers()), "version": c.state.Document().GetVersion(),
		"snapshot_index": c.state.Index(), "entries": len(recovered.consensus.Entries),
		"commit": commit, "term": recovered.consensus.Hard.GetTerm(),
	}).Info("log opened")
}

// replaying reports whether entries known to be committed at the start are not yet
// applied.
func (c *core) replaying() bool { return c.state.Index() < c.replay.upTo }

// alwaysReady is a closed channel: receiving from it never blocks.
var alwaysReady = func() <-chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()

// replayDue returns a channel that is ready while replay is incomplete.
func (c *core) replayDue() <-chan struct{} {
	if c.deferred == nil && c.replaying() {
		return alwaysReady
	}
	return nil
}

// checkReplay logs once that all entries known to be committed at the start are applied.
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
