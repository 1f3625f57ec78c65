package replica

import (
	"context"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

const (
	// maxHeldMessages limits the messages kept of one peer until it has been asked.
	maxHeldMessages = 64
	// askPause and maxAskPause limit the pauses between two attempts to ask a peer.
	askPause    = 50 * time.Millisecond
	maxAskPause = time.Second
)

// startCheck asks each peer, before its first consensus message is processed, which start of this
// replica it knows of. Starts are recorded in the data folder and replicated. A folder that was
// put back to an older copy has forgotten votes and acknowledged entries: with it this replica
// could elect a leader that lacks what was confirmed. It is found out by any peer whose state has
// a start that the folder doesn't, and by no peer that lacks that itself, so that the check keeps
// no honest replica out of the log.
type startCheck struct {
	mu    sync.Mutex
	peers map[string]*checkedPeer
}

type checkedPeer struct {
	passed bool
	// held are the messages that wait for the answer.
	held []*consensuspb.Message
}

// admits reports whether a message may be processed. Otherwise it is held, and ask is true if the
// sender is to be asked now.
func (s *startCheck) admits(message *consensuspb.Message) (admitted, ask bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	name := disk.Instance(message.From)
	peer, known := s.peers[name]
	if !known {
		if s.peers == nil {
			s.peers = map[string]*checkedPeer{}
		}
		peer = &checkedPeer{}
		s.peers[name] = peer
	}
	if peer.passed {
		return true, false
	}
	if len(peer.held) < maxHeldMessages {
		peer.held = append(peer.held, message)
	} else {
		messagesDropped.Add(1)
	}
	return false, !known
}

// pass admits the messages of a peer from now on and returns those held.
func (s *startCheck) pass(name string) []*consensuspb.Message {
	s.mu.Lock()
	defer s.mu.Unlock()
	peer := s.peers[name]
	held := peer.held
	peer.passed, peer.held = true, nil
	return held
}

// checkStartWith asks a peer until it answers, and then delivers the messages held of it.
func (r *Replica) checkStartWith(ctx context.Context, peer string) {
	for pause := askPause; ; pause = min(2*pause, maxAskPause) {
		introduction, err := r.fetchIntroduction(ctx, peer)
		if err == nil {
			r.startChecked(peer, introduction.KnownStart)
			return
		}
		if !control.Sleep(ctx, pause) {
			return
		}
	}
}

func (r *Replica) startChecked(peer string, known *controlpb.ReplicaStart) {
	if r.disk.starts.Contradict(disk.Start{Number: known.GetNumber(), Nonce: known.GetNonce()}) {
		r.post(func(c *core) { c.supersede(peer, known) })
		return
	}
	for _, message := range r.startCheck.pass(peer) {
		r.Deliver(message)
	}
}

// supersede ends this replica. Its next start sets the content of the data folder aside and
// begins as a new replica, as after the loss of a disk.
func (c *core) supersede(peer string, known *controlpb.ReplicaStart) {
	newest := c.disk.starts.Newest()
	c.replica.config.Logger.WithField("identity", c.disk.identity).WithField("start", newest.Number).WithField("peer", peer).
		WithField("known_start", known.GetNumber()).WithField("index", c.state.Index()).Error("the data folder is an older copy")
	if c.failure = disk.Supersede(c.disk.files, c.disk.folder, "known to "+peer); c.failure == nil {
		c.failure = failure.New(failure.FolderSuperseded, "%s knows of start %d of this replica, the data folder of %d", peer, known.GetNumber(), newest.Number)
	}
}

// knownStart returns the newest start of a replica in the state here; nil if there is none.
func (r *Replica) knownStart(identity string) *controlpb.ReplicaStart {
	for _, replica := range r.State().Replicas() {
		if identity != "" && replica.Identity == identity {
			return replica.Start
		}
	}
	return nil
}

// Start returns the present start of this replica; nil before its log is open.
func (r *Replica) Start() *controlpb.ReplicaStart {
	select {
	case <-r.opened:
	default:
		return nil
	}
	newest := r.disk.starts.Newest()
	return &controlpb.ReplicaStart{Number: newest.Number, Nonce: newest.Nonce}
}
