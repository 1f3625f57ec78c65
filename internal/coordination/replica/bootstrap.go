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
	firstIntroduction  = 100 * time.Millisecond
	lastIntroduction   = 3 * time.Second
	introducingTimeout = time.Second
)

// introductions knows which peers answered when they were last asked who they are.
// Another that introduces itself has come since, and the next round is due at once:
// a voter that comes late would otherwise find the others in a pause of up to
// lastIntroduction, and callers without a leader for as long.
type introductions struct {
	mu       sync.Mutex
	answered map[string]bool
	// came is raised when a peer introduces itself that has not answered.
	came control.Signal
}

func (i *introductions) note(peer string, answered bool) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.answered == nil {
		i.answered = map[string]bool{}
	}
	i.answered[peer] = answered
}

// heard notes that a peer introduces itself. One that answered is no news: two
// replicas would otherwise wake each other without a pause.
func (i *introductions) heard(peer string) {
	i.mu.Lock()
	answered := i.answered[peer]
	i.mu.Unlock()
	if !answered {
		i.came.Raise()
	}
}

// found takes part in founding the cluster, as long as this replica has no log.
//
// The danger is a wiped disk: a replica that has forgotten its votes must not
// found a second cluster under the eyes of the first. So identities are
// exchanged first, and
//
//   - only the first of the voters in the settings decides on the founding
//     configuration, and only when every one of them answers that it has no
//     log and no other instance knows of control state;
//   - the others take that configuration from a founder, and only if it holds
//     their own identity, which a wiped disk has lost;
//   - everyone else waits until an operator adds it as a learner.
func (r *Replica) found(ctx context.Context) {
	for length := firstIntroduction; !r.established(ctx); length = min(2*length, lastIntroduction) {
		came := r.introductions.came.Next()
		if first := r.agree(ctx); first != nil {
			_ = r.ask(ctx, func(c *core) { c.found(first) })
			continue
		}
		select {
		case <-ctx.Done():
			return
		case <-came:
		case <-time.After(length):
		}
	}
}

// established tells whether this replica has a log already.
func (r *Replica) established(ctx context.Context) bool {
	established := false
	err := r.ask(ctx, func(c *core) { established = c.established() })
	return established || err != nil
}

func (c *core) established() bool {
	return len(c.node.Status().Configuration.GetMembers()) > 0 || c.disk.first != nil
}

// agree gives the founding configuration, or nil while there is none for this
// replica.
func (r *Replica) agree(ctx context.Context) *consensuspb.Configuration {
	own := r.disk.identity
	identities := map[string]string{r.config.Instance: own}
	exists := false
	for _, peer := range r.config.Peers() {
		met, err := r.meet(ctx, peer)
		r.introductions.note(peer, err == nil)
		if err != nil {
			continue
		}
		if holds(met.First, own) {
			return met.First
		}
		exists = exists || met.Cluster
		identities[peer] = met.Identity
	}
	if exists || len(r.config.Voters) == 0 || r.config.Voters[0] != r.config.Instance {
		return nil
	}
	return r.firstOf(identities)
}

// firstOf makes the founding configuration once every voter has an identity.
func (r *Replica) firstOf(identities map[string]string) *consensuspb.Configuration {
	first := &consensuspb.Configuration{}
	for _, voter := range r.config.Voters {
		if identities[voter] == "" {
			return nil
		}
		first.Members = append(first.Members, &consensuspb.Member{
			Identity: identities[voter],
			Instance: voter,
			Voter:    true,
		})
	}
	return first
}

func holds(configuration *consensuspb.Configuration, identity string) bool {
	for _, member := range configuration.GetMembers() {
		if member.Identity == identity && member.Voter {
			return true
		}
	}
	return false
}

// meet asks an instance who it is in the control log.
func (r *Replica) meet(ctx context.Context, instance string) (*peerpb.Introduction, error) {
	if instance == r.config.Instance {
		return r.introduce(), nil
	}
	ctx, cancel := context.WithTimeout(ctx, introducingTimeout)
	defer cancel()
	reply, err := r.peers.Call(ctx, instance, &peerpb.Call{Body: &peerpb.Call_Introduce{Introduce: &peerpb.Introduce{}}})
	if err != nil {
		return nil, err
	}
	if reply.GetIntroduction() == nil {
		return nil, failure.New(failure.WrongAnswer, "%s did not introduce itself", instance)
	}
	return reply.GetIntroduction(), nil
}

// introduce tells who this replica is.
func (r *Replica) introduce() *peerpb.Introduction {
	introduction := &peerpb.Introduction{Identity: r.disk.identity}
	status := r.Status()
	introduction.Cluster = len(status.Configuration.GetMembers()) > 0
	introduction.First = r.foundedWith.Load()
	return introduction
}

// found starts the log with the founding configuration. Votes that this replica
// gave while it had none stay: they were promises.
func (c *core) found(first *consensuspb.Configuration) {
	if c.established() {
		return
	}
	if err := c.disk.found(first); err != nil {
		c.failure = err
		return
	}
	founded := consensus.Bootstrap(first.Members)
	if c.hard.GetTerm() >= founded.Hard.Term {
		founded.Hard = &consensuspb.HardState{Term: c.hard.Term, Vote: c.hard.Vote, Commit: founded.Hard.Commit}
	}
	if err := c.disk.log.Append(founded.Hard, nil); err != nil {
		c.failure = err
		return
	}
	c.hard = founded.Hard
	c.node = consensus.New(c.nodeConfig(), founded)
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
	c.replica.foundedWith.Store(first)
	c.replica.published.Publish(c.state)
}
