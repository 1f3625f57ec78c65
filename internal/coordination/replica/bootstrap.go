package replica

import (
	"context"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Pauses between two rounds of introductions.
const (
	minIntroducePause = 100 * time.Millisecond
	maxIntroducePause = 3 * time.Second
	introduceTimeout  = time.Second
)

// introductions records which peers answered the latest request for their identity. If
// another peer introduces itself, it has started since, and the next round is due
// immediately: otherwise a voter that starts late would meet the others in a pause of up
// to maxIntroducePause, and callers would have no leader for that long.
type introductions struct {
	mu       sync.Mutex
	answered map[string]bool
	// newPeer is raised when a peer that has not answered introduces itself.
	newPeer control.Signal
}

func (i *introductions) recordAnswer(peer string, answered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.answered == nil {
		i.answered = map[string]bool{}
	}
	i.answered[peer] = answered
}

// peerIntroduced records that a peer introduced itself. Peers that have answered are
// ignored: two replicas would otherwise wake each other continuously.
func (i *introductions) peerIntroduced(peer string) {
	i.mu.Lock()
	answered := i.answered[peer]
	i.mu.Unlock()
	if !answered {
		i.newPeer.Raise()
	}
}

// bootstrap takes part in the bootstrap of the cluster while this replica has no log.
//
// A replica with a wiped disk has lost its votes and must not bootstrap a second cluster
// beside the existing one. Identities are therefore exchanged first, and
//
//   - only the first voter in the settings determines the initial configuration, and only
//     when all voters answer that they have no log and no other instance knows of control
//     state;
//   - the other voters take that configuration from a voter that has it, and only if it
//     contains their own identity, which a wiped disk has lost;
//   - all other replicas wait until an operator adds them as learners.
func (r *Replica) bootstrap(ctx context.Context) {
	for pause := minIntroducePause; !r.established(ctx); pause = min(2*pause, maxIntroducePause) {
		newPeer := r.introductions.newPeer.Next()
		if initial := r.resolveInitialConfiguration(ctx); initial != nil {
			_ = r.runInCore(ctx, func(c *core) { c.bootstrap(initial) })
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-newPeer:
		case <-time.After(pause):
		}
	}
}

// established reports whether this replica already has a log.
func (r *Replica) established(ctx context.Context) bool {
	established := false
	err := r.runInCore(ctx, func(c *core) { established = c.established() })
	return established || err != nil
}

func (c *core) established() bool {
	return len(c.node.Status().Configuration.GetMembers()) > 0 || c.disk.initial != nil
}

// resolveInitialConfiguration returns the initial configuration, or nil while there is
// none for this replica.
func (r *Replica) resolveInitialConfiguration(ctx context.Context) *consensuspb.Configuration {
	identity := r.disk.identity
	identities := map[string]string{r.config.Instance: identity}
	clusterExists := false
	for _, peer := range r.config.Peers() {
		introduction, err := r.fetchIntroduction(ctx, peer)
		r.introductions.recordAnswer(peer, err == nil)
		if err != nil {
			continue
		}
		if hasVoter(introduction.First, identity) {
			return introduction.First
		}
		clusterExists = clusterExists || introduction.Cluster
		identities[peer] = introduction.Identity
	}
	if clusterExists || len(r.config.Voters) == 0 || r.config.Voters[0] != r.config.Instance {
		return nil
	}
	return r.newInitialConfiguration(identities)
}

// newInitialConfiguration returns the initial configuration once the identity of every
// voter is known, nil before.
func (r *Replica) newInitialConfiguration(identities map[string]string) *consensuspb.Configuration {
	initial := &consensuspb.Configuration{}
	for _, voter := range r.config.Voters {
		if identities[voter] == "" {
			return nil
		}
		initial.Members = append(initial.Members, &consensuspb.Member{
			Identity: identities[voter],
			Instance: voter,
			Voter:    true,
		})
	}
	return initial
}

func hasVoter(configuration *consensuspb.Configuration, identity string) bool {
	for _, member := range configuration.GetMembers() {
		if member.Identity == identity && member.Voter {
			return true
		}
	}
	return false
}

// fetchIntroduction asks an instance for its identity in the control log.
func (r *Replica) fetchIntroduction(ctx context.Context, instance string) (*peerpb.Introduction, error) {
	if instance == r.config.Instance {
		return r.introduction(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, introduceTimeout)
	defer cancel()
	reply, err := r.peers.Call(ctx, instance, &peerpb.Call{Body: &peerpb.Call_Introduce{Introduce: &peerpb.Introduce{Identity: r.disk.identity}}})
	if err != nil {
		return nil, err
	}
	if reply.GetIntroduction() == nil {
		return nil, failure.New(failure.WrongAnswer, "%s answered without an introduction", instance)
	}
	return reply.GetIntroduction(), nil
}

// introduction describes this replica to its peers.
func (r *Replica) introduction() *peerpb.Introduction {
	introduction := &peerpb.Introduction{Identity: r.disk.identity}
	status := r.Status()
	introduction.Cluster = len(status.Configuration.GetMembers()) > 0
	introduction.First = r.initialConfiguration.Load()
	return introduction
}

// bootstrap starts the log with the initial configuration. The term and vote that this
// replica persisted before are kept, since other replicas may rely on them.
func (c *core) bootstrap(initial *consensuspb.Configuration) {
	if c.established() {
		return
	}
	if err := c.disk.bootstrap(initial); err != nil {
		c.failure = err
		return
	}
	bootstrapped := consensus.Bootstrap(initial.Members)
	if c.hard.GetTerm() >= bootstrapped.Hard.Term {
		bootstrapped.Hard = &consensuspb.HardState{Term: c.hard.Term, Vote: c.hard.Vote, Commit: bootstrapped.Hard.Commit}
	}
	if err := c.disk.log.Append(bootstrapped.Hard, nil); err != nil {
		c.failure = err
		return
	}
	c.hard = bootstrapped.Hard
	c.node = consensus.New(c.nodeConfig(), bootstrapped)
	recovered, err := c.disk.snapshots.Load(0, 0, nil)
	if err != nil {
		c.failure = err
		return
	}
	if c.state, err = decodeState(recovered.Data); err != nil {
		c.failure = err
		return
	}
	c.saving.index = c.state.Index()
	c.replica.initialConfiguration.Store(initial)
	c.replica.published.Publish(c.state)
}
