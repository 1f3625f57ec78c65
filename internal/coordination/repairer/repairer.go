// Package repairer replaces lost voters of the control log on the leader, where
// the settings allow it. Package detector says for how long a voter may be
// silent, package repair what to change; this one watches and carries it out.
package repairer

import (
	"context"
	"expvar"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership/detector"
	"pinewinch.example/pinewinch/internal/coordination/repair"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

const (
	// lookEvery is how often the leader looks at its voters: a replica that lost
	// its disk should vote again before the next is lost.
	lookEvery = 250 * time.Millisecond
	// replacedAfter is how long a voter must be silent before its instance,
	// which runs, counts as one with a new disk: a start takes a moment too.
	replacedAfter = 10 * time.Second
)

var (
	repairsDone   = expvar.NewInt("repair_done")
	repairsFailed = expvar.NewInt("repair_failed")
	votersSilent  = expvar.NewInt("repair_voters_silent")
)

// Log is the log's own view of its members.
type Log interface {
	Status() consensus.Status
	ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error
}

// Instances lists the instances that live.
type Instances interface {
	Instances(window time.Duration) []*peerpb.InstanceState
}

// Config of a repairer.
type Config struct {
	Repair repair.Config
	// Window is how long an instance counts as live after it was heard.
	Window time.Duration
	Now    func() time.Time
	Logger *logrus.Logger
}

// Repairer watches the voters. One goroutine uses it.
type Repairer struct {
	config    Config
	log       Log
	instances Instances
	detector  *detector.Detector
	// silentSince holds the members that do not answer, by identity.
	silentSince map[string]time.Time
	// centres holds the newest known data centre of an instance.
	centres map[string]string
	reason  repair.Reason
}

// New makes a repairer.
func New(config Config, log Log, instances Instances, detector *detector.Detector) *Repairer {
	return &Repairer{
		config: config, log: log, instances: instances, detector: detector,
		silentSince: map[string]time.Time{}, centres: map[string]string{},
	}
}

// Run repairs until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	control.Every(ctx, lookEvery, func() { r.Step(ctx) })
}

// Step looks once and carries out at most one change; it returns when that has
// ended, so that no two run at once here. The log refuses a second from elsewhere.
func (r *Repairer) Step(ctx context.Context) {
	status := r.log.Status()
	if status.Role != consensus.Leader {
		// Another leader hears the voters now; what this one missed is not known.
		clear(r.silentSince)
		return
	}
	snapshot := r.look(status)
	change, reason := repair.Decide(r.config.Repair, snapshot)
	if reason != r.reason {
		r.reason = reason
		r.config.Logger.WithField("reason", string(reason)).Info("repair of the control log")
	}
	if reason != "" {
		return
	}
	r.carryOut(ctx, change, status.Configuration)
}

func (r *Repairer) carryOut(ctx context.Context, change repair.Change, configuration *consensuspb.Configuration) {
	entry := r.config.Logger.WithField("add", change.Add).WithField("remove", change.Remove)
	if err := r.log.ChangeMembers(ctx, &peerpb.ChangeMembers{Add: change.Add, Remove: change.Remove}); err != nil {
		repairsFailed.Add(1)
		entry.WithField("code", failure.From(err).Code).Warn("a voter could not be replaced")
		return
	}
	repairsDone.Add(1)
	entry.Info("a voter was replaced")
	for _, member := range configuration.GetMembers() {
		if member.Identity == change.Remove {
			r.detector.ObserveLoss(member.Instance)
			delete(r.silentSince, member.Identity)
		}
	}
}

// look gathers what is known now.
func (r *Repairer) look(status consensus.Status) repair.Snapshot {
	now := r.config.Now()
	live := map[string]*peerpb.InstanceState{}
	s := repair.Snapshot{Changing: status.ConfigurationPending, Reachable: map[string]bool{}}
	for _, instance := range r.instances.Instances(r.config.Window) {
		live[instance.Name] = instance
		r.centres[instance.Name] = instance.DataCentre
		s.Reachable[instance.DataCentre] = true
	}
	r.hear(status, now)
	missing := len(r.silentSince)
	members := status.Configuration.GetMembers()
	isMember := map[string]bool{}
	for _, member := range members {
		isMember[member.Instance] = true
		s.Members = append(s.Members, r.describe(member, live[member.Instance], now, missing, len(members)))
	}
	for name, instance := range live {
		if !instance.Replica || instance.Leaving || !instance.Ready {
			continue
		}
		outside := !instance.Voter && (!isMember[name] || r.replaced(s.Members, name))
		if outside || isLearner(s.Members, instance) {
			s.Spares = append(s.Spares, repair.Spare{Instance: name, DataCentre: instance.DataCentre})
		}
	}
	return s
}

// hear keeps since when each member is silent, and teaches the detector.
func (r *Repairer) hear(status consensus.Status, now time.Time) {
	answers := map[string]bool{status.Identity: true}
	for _, member := range status.Members {
		answers[member.Identity] = member.Live
	}
	present := map[string]bool{}
	for _, member := range status.Configuration.GetMembers() {
		present[member.Identity] = true
		since, silent := r.silentSince[member.Identity]
		switch {
		case answers[member.Identity] && silent:
			r.detector.ObserveReturn(member.Instance, now.Sub(since))
			delete(r.silentSince, member.Identity)
		case !answers[member.Identity] && !silent:
			r.silentSince[member.Identity] = now
		}
	}
	for identity := range r.silentSince {
		if !present[identity] {
			delete(r.silentSince, identity)
		}
	}
	votersSilent.Set(int64(len(r.silentSince)))
}

func (r *Repairer) describe(member *consensuspb.Member, instance *peerpb.InstanceState, now time.Time, missing, wanted int) repair.Member {
	described := repair.Member{
		Identity:   member.Identity,
		Instance:   member.Instance,
		DataCentre: r.centres[member.Instance],
		Voter:      member.Voter,
	}
	if instance != nil && instance.Identity != "" && instance.Identity != member.Identity {
		// The instance says so itself: its disk is new, and the member is gone.
		described.Replaced = true
	}
	since, silent := r.silentSince[member.Identity]
	if !silent {
		return described
	}
	// A member that has just been missed counts as silent for a moment at least.
	described.Silence = max(now.Sub(since), time.Nanosecond)
	described.Delay = r.detector.Delay(member.Instance, missing-1, wanted)
	described.Replaced = described.Replaced || instance != nil && instance.Ready && instance.Replica && !instance.Voter && described.Silence >= replacedAfter
	return described
}

// isLearner tells whether an instance's replica is a member without a vote. A leader
// that was lost may have left it so, and since every member calls itself a voter it
// would find no place in any vote: the next disk lost would be one too many.
func isLearner(members []repair.Member, instance *peerpb.InstanceState) bool {
	return slices.ContainsFunc(members, func(m repair.Member) bool {
		return !m.Voter && m.Identity == instance.Identity
	})
}

func (r *Repairer) replaced(members []repair.Member, instance string) bool {
	for _, member := range members {
		if member.Instance == instance && member.Replaced {
			return true
		}
	}
	return false
}
