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
	// maxBatch and maxBatchBytes bound the commands that share one sync.
	maxBatch      = 1024
	maxBatchBytes = 4 << 20
	// maxMessages bounds the messages taken before the next sync.
	maxMessages = 128
	// maxMissedTicks bounds the ticks made up for after the process stood still.
	// Long before, a leader has stepped down, so no age is understated.
	maxMissedTicks = 4 * electionTicks
)

// core is what the owner's goroutine owns.
type core struct {
	replica  *Replica
	disk     *storage
	node     *consensus.Node
	links    *links
	state    *store.State
	hard     *consensuspb.HardState
	tick     time.Duration
	lastTick boottime.Time
	// pending are the proposals on their way, by index.
	pending map[uint64]*proposal
	// reads wait for their round, then for its index.
	reads    []*read
	failure  error
	leaderOf leaderTerm
	saving   saving
	replay   replay
	fetching bool
	// held waits for room on the disk; nil as a rule.
	held   *consensus.Ready
	strain strain
}

func newCore(r *Replica, storage *storage, recovered *recovery) (*core, error) {
	c := &core{
		replica:  r,
		disk:     storage,
		state:    recovered.state,
		hard:     recovered.consensus.Hard,
		tick:     r.config.ElectionTimeout / electionTicks,
		lastTick: boottime.Now(),
		pending:  map[uint64]*proposal{},
		links:    newLinks(),
	}
	c.saving.index = recovered.state.Index()
	c.node = consensus.New(c.nodeConfig(), recovered.consensus)
	c.replica.published.Publish(c.state)
	c.publishView()
	c.beginReplay(recovered)
	return c, nil
}

func (c *core) nodeConfig() consensus.Config {
	return consensus.Config{
		Identity:       c.disk.identity,
		ElectionTicks:  electionTicks,
		HeartbeatTicks: heartbeatTicks,
		MaxAppendBytes: maxAppendBytes,
		MaxInflight:    maxInflight,
		Rand:           c.replica.config.Rand,

		MaxElectionTicks: maxElectionTicks,
	}
}

// run owns the log until ctx ends and, on a leader, another one has taken over.
func (c *core) run(ctx, working context.Context) error {
	ticker := time.NewTicker(c.tick)
	defer ticker.Stop()
	stop := stopping{asked: ctx.Done()}
	for {
		select {
		case <-stop.asked:
			stop.begin(c)
		case <-stop.ended:
			return nil
		case <-ticker.C:
			c.takeWaiting()
			if err := c.tryHeld(working); err != nil {
				c.abandon()
				return err
			}
		case message := <-c.replica.inbox:
			c.step(message)
		case p := <-c.replica.proposals:
			c.propose(p)
		case request := <-c.replica.requests:
			request(c)
		case <-c.nextTurn():
			c.takeWaiting()
			c.passTime(boottime.Now())
		}
		c.takeWaiting()
		if err := c.carryOutAll(working); err != nil {
			c.abandon()
			return err
		}
		stop.check(c)
	}
}

// passTime makes up for the ticks since the last call. On a leader all of them
// count: its ages are told in ticks and must not be understated. Elsewhere a
// long standstill was this process's own and says nothing of the leader, whose
// heartbeats may still be on their way in: counted in full, it would start an
// election after every pause of a busy machine.
func (c *core) passTime(now boottime.Time) {
	c.heldUp(holdUps{turn: now.Sub(c.lastTick)})
	missed := int(now.Sub(c.lastTick) / c.tick)
	c.lastTick = c.lastTick.Add(time.Duration(missed) * c.tick)
	c.node.ObservePause(missed)
	most := heartbeatTicks
	if c.node.Status().Role == consensus.Leader {
		most = maxMissedTicks
	}
	for range min(missed, most) {
		c.node.Tick()
	}
}

func (c *core) heldUp(seen holdUps) {
	c.strain.note(time.Now(), strainWindow*c.replica.config.ElectionTimeout, seen)
}

// takeWaiting takes the messages that have gathered, so that one sync serves
// all of them.
func (c *core) takeWaiting() {
	for range maxMessages {
		select {
		case message := <-c.replica.inbox:
			c.step(message)
		default:
			return
		}
	}
}

// step hands over one message. One meant for an earlier identity of this
// instance is refused, which is how a wiped disk stays out. While the disk is full
// messages are lost, as on a link that is cut.
func (c *core) step(message *consensuspb.Message) {
	if c.held != nil {
		messagesDropped.Add(1)
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

// carryOutAll does all that the log asks for; of a start it applies one part.
//
// After the start everything that is committed is applied before the next turn. That
// holds up proposals while the state is behind, and a leader then says of no state
// that it is complete before it is.
func (c *core) carryOutAll(ctx context.Context) error {
	if c.held != nil {
		return c.failure
	}
	for c.failure == nil {
		ready, ok := c.node.Ready()
		if !ok {
			break
		}
		err := c.carryOut(ctx, ready)
		if disk.MayTryAgain(err) {
			c.hold(ready, err)
			return nil
		}
		if err != nil {
			return err
		}
		if len(ready.Committed) > 0 && c.replaying() {
			break
		}
	}
	c.answerReads()
	c.publishView()
	c.checkReplay()
	c.snapshotWhenDue()
	return c.failure
}

// carryOut does one Ready in its order. The leader's appends may leave before
// its own sync: an entry commits once a quorum has synced it, the leader counts
// itself only at Advance, after its sync, and a crash before that merely takes
// an entry from it that the others keep or replace (thesis, 10.2.1). No message
// that promises something of this replica is among them.
func (c *core) carryOut(ctx context.Context, ready consensus.Ready) error {
	c.links.send(ready.Messages[:ready.Early])
	return c.finish(ctx, ready)
}

// finish does what follows the early messages. On a full disk it has done nothing.
func (c *core) finish(ctx context.Context, ready consensus.Ready) error {
	if ready.Hard != nil || len(ready.Entries) > 0 {
		began := time.Now()
		if err := c.disk.log.Append(ready.Hard, ready.Entries); err != nil {
			return err
		}
		c.heldUp(holdUps{sync: time.Since(began)})
		syncs.Add(1)
	}
	if ready.Hard != nil {
		c.hard = ready.Hard
	}
	c.links.send(ready.Messages[ready.Early:])
	if err := c.apply(ready.Committed); err != nil {
		return err
	}
	c.takeReadStates(ready.Reads)
	if ready.Fetch != nil {
		c.startFetch(ctx, ready.Fetch)
	}
	c.node.Advance()
	return nil
}

// apply moves the state over committed entries, publishes it, and only then
// answers: who has the answer finds its effect in the state.
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
		c.replica.feed.Passed(c.state)
		c.saving.bytes += int64(len(entry.Data))
	}
	commits.Add(int64(len(entries)))
	c.replica.feed.Applied(applied...)
	c.replica.published.Publish(c.state)
	for i, entry := range entries {
		c.answer(entry, results[i])
	}
	return nil
}

// decode gives the command of an entry. A proposal's own object is not used: its
// caller may have given up and gone on with it.
func decode(entry *consensuspb.Entry) (*peerpb.LogEntry, error) {
	logEntry := &peerpb.LogEntry{Index: entry.Index, Term: entry.Term}
	if entry.Kind != consensuspb.EntryKind_ENTRY_KIND_COMMAND {
		return logEntry, nil
	}
	logEntry.Command = &controlpb.Command{}
	if err := proto.Unmarshal(entry.Data, logEntry.Command); err != nil {
		return nil, failure.Wrap(failure.Corrupt, err, "command %d does not decode", entry.Index)
	}
	if !store.Understands(logEntry.Command) {
		return nil, failure.New(failure.CommandTooNew, "command %d is of a newer process", entry.Index)
	}
	return logEntry, nil
}

// abandon ends what waits when the disk has failed: nobody can tell what
// became of it.
func (c *core) abandon() {
	for index, p := range c.pending {
		p.finish(nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "the log failed at entry %d", index))
	}
}
