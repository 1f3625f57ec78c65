package replica

import (
	"time"

	"github.com/sirupsen/logrus"
)

// replay is the part of a start in which a replica applies again what its log
// holds behind its newest snapshot. Callers wait for it after a loss of all
// replicas, so its length is told.
type replay struct {
	began time.Time
	from  uint64
	// upTo is the commit index that the disk knew; 0 once it is applied.
	upTo uint64
}

// beginReplay tells what the disk gave back.
func (c *core) beginReplay(recovered *recovery) {
	hard := recovered.consensus.Hard
	c.replay = replay{began: time.Now(), from: c.state.Index(), upTo: hard.GetCommit()}
	c.replica.config.Logger.WithFields(logrus.Fields{
		"snapshot_index": c.state.Index(), "entries": len(recovered.consensus.Entries),
		"commit": hard.GetCommit(), "term": hard.GetTerm(),
	}).Info("log opened")
}

// checkReplay tells once when everything that the disk knew to be committed is applied.
func (c *core) checkReplay() {
	if c.replay.upTo == 0 || c.state.Index() < c.replay.upTo {
		return
	}
	c.replica.config.Logger.WithFields(logrus.Fields{
		"index": c.state.Index(), "entries": c.state.Index() - c.replay.from,
		"took_ms": time.Since(c.replay.began).Milliseconds(),
	}).Info("log replayed")
	c.replay.upTo = 0
}
