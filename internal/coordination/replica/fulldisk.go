package replica

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

const (
	// openRetryPause is the pause between two attempts to open a data folder on a full
	// disk. It adds at most a tenth of the shortest fault observed (4.5 s) to the
	// replica's downtime.
	openRetryPause = 400 * time.Millisecond
	// snapshotRetryTicks is the wait after a failed snapshot until the next one, so that
	// a full disk is not filled up again and again.
	snapshotRetryTicks = 25
)

// missingResource names the resource for lack of which a disk operation failed that may
// be retried later.
func missingResource(err error) string {
	if failure.Is(err, failure.OutOfDescriptors) {
		return "no file descriptor is left"
	}
	return "the disk is full"
}

// openWhenWritable opens the data folder and retries while the disk is full: a process
// that ended would be restarted on the same disk.
func (r *Replica) openWhenWritable(ctx context.Context) (*storage, *recovery, error) {
	for logged := false; ; logged = true {
		storage, recovered, err := openStorage(&r.config)
		if !disk.Retryable(err) {
			return storage, recovered, err
		}
		if !logged {
			r.config.Logger.WithField("cause", err.Error()).Error(missingResource(err) + ": waiting to open the log")
		}
		if !control.Sleep(ctx, openRetryPause) {
			return nil, nil, err
		}
	}
}

// deferReady keeps a Ready whose append failed for lack of free space, or of a
// descriptor for a new file. Until it is on disk, this replica behaves as if it were
// partitioned: none of its messages may depend on entries that are not on its disk. The
// others receive nothing from it and, if it led, elect another leader; it makes no
// decisions, confirms no state and rejects commands as not run.
func (c *core) deferReady(ready consensus.Ready, cause error) {
	c.deferred = &ready
	diskFull.Add(1)
	v := *c.replica.view.Load()
	v.leading = false
	c.replica.view.Store(&v)
	c.replica.config.Logger.WithField("term", v.status.Term).WithField("role", v.status.Role.String()).
		WithField("index", c.state.Index()).WithField("cause", cause.Error()).
		Error(missingResource(cause) + ": this replica leaves the log until there is room")
}

// retryDeferred retries a deferred append and advances the ticks once nothing is
// deferred. The missed ticks are processed before anything else: a leader that was away
// for longer than its quorum timeout steps down first.
func (c *core) retryDeferred(ctx context.Context) error {
	if c.deferred != nil {
		ready := *c.deferred
		err := c.finishReady(ctx, ready)
		if disk.Retryable(err) {
			return nil
		}
		if err != nil {
			return err
		}
		c.deferred = nil
		c.replica.config.Logger.WithField("index", c.state.Index()).Info("there is room again: this replica is back in the log")
	}
	c.advanceTicks(boottime.Now())
	return nil
}

// checkWritable returns an error while the log cannot be written.
func (c *core) checkWritable() error {
	if c.deferred == nil {
		return nil
	}
	return failure.New(failure.NotReady, "this replica cannot write its log")
}
