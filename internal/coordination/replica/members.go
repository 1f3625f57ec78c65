package replica

import (
	"context"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// changeTimeout limits one change of members; most of it is the time in which a new
	// member catches up.
	changeTimeout = time.Minute
	// catchUpPollInterval is the pause between two checks of a learner's progress.
	catchUpPollInterval = 50 * time.Millisecond
)

// ChangeMembers changes the members of the log one step at a time: the new replica
// becomes a learner, catches up and becomes a voter, and only then the old one is
// removed, so that no step reduces the number of failures that the cluster tolerates. An
// interrupted change is completed by requesting it again.
func (r *Replica) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	ctx, cancel := context.WithTimeout(ctx, changeTimeout)
	defer cancel()
	if !r.IsLeader() {
		return r.forwardChange(ctx, change)
	}
	added := ""
	if change.Add != "" {
		identity, err := r.addMember(ctx, change.Add)
		if err != nil {
			return err
		}
		added = identity
	}
	if change.Remove == "" {
		return nil
	}
	return r.removeMember(ctx, change.Remove, added)
}

func (r *Replica) forwardChange(ctx context.Context, change *peerpb.ChangeMembers) error {
	leader := r.Leader()
	if leader == "" || leader == r.config.Instance {
		return failure.New(failure.NoLeader, "no leader is known")
	}
	_, err := r.peers.Call(ctx, leader, &peerpb.Call{Body: &peerpb.Call_ChangeMembers{ChangeMembers: change}})
	return err
}

// addMember makes the replica of an instance a voter and returns its identity.
func (r *Replica) addMember(ctx context.Context, instance string) (string, error) {
	introduction, err := r.fetchIntroduction(ctx, instance)
	if err != nil {
		return "", err
	}
	if introduction.Identity == "" {
		return "", failure.New(failure.BadRequest, "%s has no data folder", instance)
	}
	if err := r.dropLostLearners(ctx, instance, introduction.Identity); err != nil {
		return "", err
	}
	if r.memberOf(introduction.Identity) == nil {
		learner := &consensuspb.Member{Identity: introduction.Identity, Instance: instance}
		if err := r.reconfigure(ctx, func(c *consensuspb.Configuration) { c.Members = append(c.Members, learner) }); err != nil {
			return "", err
		}
	}
	if r.memberOf(introduction.Identity).GetVoter() {
		return introduction.Identity, nil
	}
	if err := r.waitCaughtUp(ctx, introduction.Identity); err != nil {
		return "", err
	}
	return introduction.Identity, r.reconfigure(ctx, func(c *consensuspb.Configuration) {
		for _, member := range c.Members {
			member.Voter = member.Voter || member.Identity == introduction.Identity
		}
	})
}

// dropLostLearners removes the learners of an instance whose disk was lost while they caught up: they
// never return.
func (r *Replica) dropLostLearners(ctx context.Context, instance, identity string) error {
	for _, member := range r.Status().Configuration.GetMembers() {
		if member.Voter || member.Instance != instance || member.Identity == identity {
			continue
		}
		err := r.reconfigure(ctx, func(c *consensuspb.Configuration) {
			c.Members = slices.DeleteFunc(c.Members, func(m *consensuspb.Member) bool { return m.Identity == member.Identity })
		})
		if err != nil {
			return err
		}
	}
	return nil
}

// removeMember removes the members with the given identity or on the given instance,
// except the one just added there.
func (r *Replica) removeMember(ctx context.Context, name, except string) error {
	for _, member := range r.Status().Configuration.GetMembers() {
		named := member.Identity == name || member.Instance == name
		if !named || member.Identity == except {
			continue
		}
		err := r.reconfigure(ctx, func(c *consensuspb.Configuration) {
			var remaining []*consensuspb.Member
			for _, m := range c.Members {
				if m.Identity != member.Identity {
					remaining = append(remaining, m)
				}
			}
			c.Members = remaining
		})
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *Replica) memberOf(identity string) *consensuspb.Member {
	for _, member := range r.Status().Configuration.GetMembers() {
		if member.Identity == identity {
			return member
		}
	}
	return nil
}

func (r *Replica) waitCaughtUp(ctx context.Context, identity string) error {
	for {
		for _, member := range r.Status().Members {
			if member.Identity == identity && member.CaughtUp {
				return nil
			}
		}
		if !r.IsLeader() {
			return failure.New(failure.NotLeader, "leadership was lost while %s caught up", identity)
		}
		if !control.Sleep(ctx, catchUpPollInterval) {
			return failure.Wrap(failure.NotCaughtUp, ctx.Err(), "%s did not catch up", identity)
		}
	}
}

// reconfigure commits the newest configuration with one edit.
func (r *Replica) reconfigure(ctx context.Context, edit func(*consensuspb.Configuration)) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := r.runInCore(ctx, func(c *core) { c.reconfigure(p, edit) })
	if err != nil {
		return err
	}
	_, err = r.wait(ctx, p)
	return err
}

func (c *core) reconfigure(p *proposal, edit func(*consensuspb.Configuration)) {
	if err := c.checkWritable(); err != nil {
		p.finish(nil, err)
		return
	}
	status := c.node.Status()
	next := proto.CloneOf(status.Configuration)
	edit(next)
	index, err := c.node.ProposeConfiguration(next)
	if err != nil {
		p.finish(nil, err)
		return
	}
	p.term = status.Term
	c.trackProposal(index, p)
}

// Role returns the role of this replica: leader, voter, learner, or empty for a replica
// that is not a member.
func (r *Replica) Role() string {
	status := r.Status()
	member := r.memberOf(status.Identity)
	switch {
	case member == nil:
		return ""
	case status.Role == consensus.Leader:
		return "leader"
	case member.Voter:
		return "voter"
	}
	return "learner"
}
