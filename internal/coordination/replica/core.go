package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/boottime"
	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// maxBatch and maxBatchBytes limit the commands that share one sync.
	maxBatch      = 1024
	maxBatchBytes = 4 << 20
	// maxCommandBytes limits one command: the largest document, of 8 MiB, with the
	// declarations decoded from it.
	maxCommandBytes = 24 << 20
	// maxMessages limits the messages processed before the next sync.
	maxMessages = 128
	// maxMissedTicks limits the ticks that are made up for after a pause of the process.
	// A leader steps down long before that many ticks, so no age is understated.
	maxMissedTicks = 4 * electionTicks
)

// core is the state owned by the goroutine that runs the log.
type core struct {
	replica  *Replica
	disk     *storage
	node     *consensus.Node
	links    *links
	state    *store.State
	hard     *consensuspb.HardState
	tick     time.Duration
	lastTick boottime.Time
	// pending holds the proposals that are not yet applied, by index.
	pending map[uint64]*proposal
	// reads wait for their round to be confirmed, then for its index to be applied.
	reads      []*read
	failure    error
	leadership leaderTerm
	saving     saving
	replay     replay
	fetching   bool
	// deferred is a Ready that waits for free space on the disk; normally nil.
	deferred     *consensus.Ready
	delayTracker delayTracker
	// firstEntry is the encoded firstCommand.
	firstEntry []byte
}

func newCore(r *Replica, storage *storage, recovered *recovery) (*core, error) {
	firstEntry, err := proto.Marshal(firstCommand())
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a leader's first command")
	}
	c := &core{
		firstEntry: firstEntry,
		replica:    r,
		disk:       storage,
		state:      recovered.state,
		hard:       recovered.consensus.Hard,
		tick:       r.config.ElectionTimeout / electionTicks,
		lastTick:   boottime.Now(),
		pending:    map[uint64]*proposal{},
		links:      newLinks(),
	}
	c.saving.index = recovered.state.Index()
	c.node = consensus.New(c.nodeConfig(), recovered.consensus)
	c.replica.published.Publish(c.state)
	c.publishView()
	c.startReplay(recovered)
	return c, nil
}

// firstCommand is what the first entry of each leader of this version says.
func firstCommand() *controlpb.Command {
	return &controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: &controlpb.BatchMove{KeepsSuspensions: true}}}
}

func (c *core) nodeConfig() consensus.Config {
	return consensus.Config{
		Identity:       c.disk.identity,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		MaxInflight:    maxInflight,
		Rand:           c.replica.config.Rand,
		FirstEntry:     c.firstEntry,

		MaxElectionTicks: maxElectionTicks,
	}
}

// run processes the log until ctx ends and, on a leader, another replica has taken over
// or the transfer has timed out.
func (c *core) run(ctx, workCtx context.Context) error {
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	stop := gracefulStop{requested: ctx.Done()}
	for {
		select {
		case <-stop.requested:
			stop.begin(c)
		case <-stop.deadline:
			return nil
		case <-ticker.C:
			c.drainInbox()
			if err := c.retryDeferred(workCtx); err != nil {
				c.failPending()
				return err
			}
		case message := <-c.replica.inbox:
			c.step(message)
		case p := <-c.replica.proposals:
			c.propose(p)
		case request := <-c.replica.requests:
			request(c)
		case <-c.replayDue():
			c.drainInbox()
			c.advanceTicks(boottime.Now())
		}
		c.drainInbox()
		if err := c.processAllReady(workCtx); err != nil {
			c.failPending()
			return err
		}
		stop.check(c)
	}
}

// advanceTicks makes up for the ticks since the last call. On a leader all of them
// count: its ages are measured in ticks and must not be understated. On other replicas a
// long gap is a pause of this process and gives no information on the leader, whose
// heartbeats may still be queued: counting it in full would start an election after
// every pause of a busy machine.
func (c *core) advanceTicks(now boottime.Time) {
	c.recordDelays(delays{tickGap: now.Sub(c.lastTick)})
	missed := int(now.Sub(c.lastTick) / c.tick)
	c.lastTick = c.lastTick.Add(time.Duration(missed) * c.tick)
	c.node.ObservePause(missed)
	limit := heartbeatTicks
	if c.node.Status().Role == consensus.Leader {
		limit = maxMissedTicks
	}
	for range min(missed, limit) {
		c.node.Tick()
	}
}

func (c *core) recordDelays(observed delays) {
	c.delayTracker.record(time.Now(), delayWindow*c.replica.config.ElectionTimeout, observed)
}

// drainInbox processes the messages that have queued up, so that one sync serves all of
// them.
func (c *core) drainInbox() {
	for range maxMessages {
		select {
		case message := <-c.replica.inbox:
			c.step(message)
		default:
			return
		}
	}
}

// step passes one message to consensus. Messages for an earlier identity of this
// instance are refused, which keeps a replica with a wiped disk out of the log. While
// the disk is full, messages are dropped, as on a partitioned link.
func (c *core) step(message *consensuspb.Message) {
	if c.deferred != nil {
		messagesDropped.Add(1)
		return
	}
	admitted, ask := c.replica.startCheck.admits(message)
	if ask {
		go c.replica.checkStartWith(c.links.ctx, disk.Instance(message.From))
	}
	if !admitted {
		return
	}
	err := c.node.Step(message)
	if failure.Is(err, failure.Corrupt) {
		c.failure = err
	}
	if err != nil {
		messagesRefused.Add(1)
	}
}

// processAllReady processes all pending Readys. During replay it returns after each one
// that commits entries.
//
// After replay everything that is committed is applied before the next pass of the loop.
// This delays proposals while the state is behind, but a leader never reports a state as
// complete before it is.
func (c *core) processAllReady(ctx context.Context) error {
	if c.deferred != nil {
		return c.failure
	}
	for c.failure == nil {
		ready, ok := c.node.Ready()
		if !ok {
			break
		}
		err := c.processReady(ctx, ready)
		if disk.Retryable(err) {
			c.deferReady(ready, err)
			return nil
		}
		if err != nil {
			return err
		}
		if len(ready.Committed) > 0 && c.replaying() {
			break
		}
	}
	c.completeReads()
	c.publishView()
	c.checkReplay()
	c.snapshotWhenDue()
	return c.failure
}

// processReady processes one Ready in the required order. The leader's appends may be
// sent before its own sync: an entry commits once a quorum has synced it, the leader
// counts itself only at Advance, after its sync, and a crash before that merely removes
// an entry from its log that the others keep or replace (Ongaro's Raft thesis, 10.2.1).
// The early messages contain none that depends on this replica's own durable state.
func (c *core) processReady(ctx context.Context, ready consensus.Ready) error {
	c.links.send(ready.Messages[:ready.Early])
	return c.finishReady(ctx, ready)
}

// finishReady does everything that follows the early messages. If the disk is full, it
// fails without any effect.
func (c *core) finishReady(ctx context.Context, ready consensus.Ready) error {
	if ready.Hard != nil || len(ready.Entries) > 0 {
		began := time.Now()
		if err := c.disk.log.Append(ready.Hard, ready.Entries); err != nil {
			return err
		}
		c.recordDelays(delays{sync: time.Since(began)})
		syncs.Add(1)
	}
	if ready.Hard != nil {
		c.hard = ready.Hard
	}
	c.links.send(ready.Messages[ready.Early:])
	if err := c.apply(ready.Committed); err != nil {
		return err
	}
	c.assignReadIndexes(ready.Reads)
	if ready.Fetch != nil {
		c.startFetch(ctx, ready.Fetch)
	}
	c.node.Advance()
	return nil
}

// apply applies committed entries to the state, publishes the state, and only then
// completes the proposals, so that a caller with the result finds its effect in the
// state.
func (c *core) apply(entries []*consensuspb.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	applied := make([]*peerpb.LogEntry, len(entries))
	results := make([]*controlpb.Result, len(entries))
	for i, entry := range entries {
		logEntry, err := decode(entry)
		if err != nil {
			return err
		}
		applied[i] = logEntry
		c.state, results[i] = control.Apply(c.state, logEntry)
		c.replica.feed.StateApplied(c.state)
		c.saving.bytes += int64(len(entry.Data))
	}
	commits.Add(int64(len(entries)))
	c.replica.feed.EntriesApplied(applied...)
	c.replica.published.Publish(c.state)
	for i, entry := range entries {
		c.completeProposal(entry, results[i])
	}
	return nil
}

// decode returns the command of an entry. The proposal's own object is not reused: its
// caller may have given up and modified it since.
func decode(entry *consensuspb.Entry) (*peerpb.LogEntry, error) {
	logEntry := &peerpb.LogEntry{Index: entry.Index, Term: entry.Term}
	if entry.Kind == consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION || entry.Kind == consensuspb.EntryKind_ENTRY_KIND_EMPTY && len(entry.Data) == 0 {
		return logEntry, nil
	}
	logEntry.Command = &controlpb.Command{}
	if err := proto.Unmarshal(entry.Data, logEntry.Command); err != nil {
		return nil, failure.Wrap(failure.Corrupt, err, "decode command %d", entry.Index)
	}
	if !store.Supports(logEntry.Command) {
		return nil, failure.New(failure.CommandTooNew, "command %d was written by a newer version", entry.Index)
	}
	return logEntry, nil
}

// failPending fails the pending proposals with an unknown outcome after a failure of the
// log.
func (c *core) failPending() {
	for index, p := range c.pending {
		p.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the log failed before entry %d was applied", index))
	}
}
