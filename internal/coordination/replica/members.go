package replica

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// changePatience bounds one change of members, mostly the time in which a
	// new one catches up.
	changePatience = time.Minute
	// catchUpPause is the pause between two looks at a learner's progress.
	catchUpPause = 50 * time.Millisecond
)

// ChangeMembers changes who keeps the log, one step at a time: the new replica
// becomes a learner, catches up, becomes a voter, and only then the old one
// leaves, so that no step lowers how many losses the cluster stands. A change
// that broke off halfway is ended by asking for it again.
func (r *Replica) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	ctx, cancel := context.WithTimeout(ctx, changePatience)
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

// addMember makes the replica of an instance a voter and gives its identity.
func (r *Replica) addMember(ctx context.Context, instance string) (string, error) {
	met, err := r.meet(ctx, instance)
	if err != nil {
		return "", err
	}
	if met.Identity == "" {
		return "", failure.New(failure.BadRequest, "%s has no data folder", instance)
	}
	if r.memberOf(met.Identity) == nil {
		learner := &consensuspb.Member{Identity: met.Identity, Instance: instance}
		if err := r.reconfigure(ctx, func(c *consensuspb.Configuration) { c.Members = append(c.Members, learner) }); err != nil {
			return "", err
		}
	}
	if r.memberOf(met.Identity).GetVoter() {
		return met.Identity, nil
	}
	if err := r.waitCaughtUp(ctx, met.Identity); err != nil {
		return "", err
	}
	return met.Identity, r.reconfigure(ctx, func(c *consensuspb.Configuration) {
		for _, member := range c.Members {
			member.Voter = member.Voter || member.Identity == met.Identity
		}
	})
}

// removeMember removes the members with that identity or on that instance,
// but for the one just added there.
func (r *Replica) removeMember(ctx context.Context, name, but string) error {
	for _, member := range r.Status().Configuration.GetMembers() {
		named := member.Identity == name || member.Instance == name
		if !named || member.Identity == but {
			continue
		}
		err := r.reconfigure(ctx, func(c *consensuspb.Configuration) {
			var staying []*consensuspb.Member
			for _, m := range c.Members {
				if m.Identity != member.Identity {
					staying = append(staying, m)
				}
			}
			c.Members = staying
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
		if !control.Pause(ctx, catchUpPause) {
			return failure.Wrap(failure.NotCaughtUp, ctx.Err(), "%s did not catch up", identity)
		}
	}
}

// reconfigure commits the newest configuration with one change.
func (r *Replica) reconfigure(ctx context.Context, edit func(*consensuspb.Configuration)) error {
	p := &proposal{done: make(chan outcome, 1)}
	err := r.ask(ctx, func(c *core) { c.reconfigure(p, edit) })
	if err != nil {
		return err
	}
	_, err = r.wait(ctx, p)
	return err
}

func (c *core) reconfigure(p *proposal, edit func(*consensuspb.Configuration)) {
	if err := c.refuseWhileHeld(); err != nil {
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
	c.expect(index, p)
}

// Role is this replica's part in the log.
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
