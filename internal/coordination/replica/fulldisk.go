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
	// openPause is between two tries to open a data folder on a full disk: a tenth
	// of the shortest fault seen (4.5 s) is added to the time away at most.
	openPause = 400 * time.Millisecond
	// snapshotPauseTicks is how long after a failed snapshot the next one waits, so
	// that a full disk is not written to the brim again and again.
	snapshotPauseTicks = 25
)

// lacking says for want of what an access to the disk may be tried again later.
func lacking(err error) string {
	if failure.Is(err, failure.OutOfDescriptors) {
		return "no file descriptor is left"
	}
	return "the disk is full"
}

// openWithRoom opens the data folder, and waits for room where the disk is full:
// a process that ended would be started again into the same disk.
func (r *Replica) openWithRoom(ctx context.Context) (*storage, *recovery, error) {
	for told := false; ; told = true {
		storage, recovered, err := openStorage(&r.config)
		if !disk.MayTryAgain(err) {
			return storage, recovered, err
		}
		if !told {
			r.config.Logger.WithField("cause", err.Error()).Error(lacking(err) + ": the log waits to open")
		}
		if !control.Pause(ctx, openPause) {
			return nil, nil, err
		}
	}
}

// hold keeps a Ready whose append found no room, or no descriptor for a new file. Until it is on disk this replica
// takes no part in the log, as if it were cut off: nothing that it would say may
// rest on what is not on its disk. The others hear nothing of it and, where it
// led, elect another leader; it decides nothing, confirms no state and refuses
// commands as not run.
func (c *core) hold(ready consensus.Ready, cause error) {
	c.held = &ready
	diskFull.Add(1)
	v := *c.replica.view.Load()
	v.leading = false
	c.replica.view.Store(&v)
	c.replica.config.Logger.WithField("term", v.status.Term).WithField("role", v.status.Role.String()).
		WithField("index", c.state.Index()).WithField("cause", cause.Error()).
		Error(lacking(cause) + ": this replica leaves the log until there is room")
}

// tryHeld tries a held append again, and lets time pass once nothing is held. The
// ticks that were missed then come before anything else: a leader that was away
// for longer than its quorum's patience steps down first.
func (c *core) tryHeld(ctx context.Context) error {
	if c.held != nil {
		ready := *c.held
		err := c.finish(ctx, ready)
		if disk.MayTryAgain(err) {
			return nil
		}
		if err != nil {
			return err
		}
		c.held = nil
		c.replica.config.Logger.WithField("index", c.state.Index()).Info("there is room again: this replica is back in the log")
	}
	c.passTime(boottime.Now())
	return nil
}

// refuseWhileHeld tells whether the log is closed for want of room, and why.
func (c *core) refuseWhileHeld() error {
	if c.held == nil {
		return nil
	}
	return failure.New(failure.NotReady, "this replica can't write its log")
}
