// Package repairer replaces lost voters of the control log. It runs on the leader, if
// the settings enable it. Package detector estimates how long a voter may be
// unresponsive, package repair decides what to change; this package observes the members
// and executes the change.
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
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// checkInterval is the interval at which the leader checks its voters: a replica
	// that lost its disk should vote again before the next disk is lost.
	checkInterval = 250 * time.Millisecond
	// replacedDiskDelay is how long a voter must be unresponsive before its running
	// instance counts as one with a new disk, since a start also takes time.
	replacedDiskDelay = 10 * time.Second
	// minObservation is how long a leader itself must have found a voter unresponsive before
	// what it knows from before counts: right after its election nobody has answered it yet.
	minObservation = time.Second
)

var (
	repairsDone        = expvar.NewInt("repair_done")
	repairsFailed      = expvar.NewInt("repair_failed")
	unresponsiveVoters = expvar.NewInt("repair_voters_silent")
)

// Log is the part of the control log that the repairer uses.
type Log interface {
	Status() consensus.Status
	// State holds the data centre of each replica, as published by earlier leaders.
	State() *store.State
	ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error
}

// Instances lists the live instances, and tells when an instance was last heard from.
type Instances interface {
	Instances(window time.Duration) []*peerpb.InstanceState
	LastContact(instance string) (time.Time, bool)
}

// Config is the configuration of a repairer.
type Config struct {
	Repair repair.Config
	// Window is how long an instance counts as live after its last message.
	Window time.Duration
	// ContactInterval is the time between two messages of a live instance.
	ContactInterval time.Duration
	Now             func() time.Time
	Logger          *logrus.Logger
}

// Repairer observes the voters. It is not safe for concurrent use.
type Repairer struct {
	config    Config
	log       Log
	instances Instances
	detector  *detector.Detector
	// unresponsive holds the members that do not respond, by identity.
	unresponsive map[string]silence
	// dataCentres holds the last known data centre of each instance.
	dataCentres map[string]string
	reason      repair.Reason
	// failedAdditions holds when a change last failed to add the replica of an instance.
	failedAdditions map[string]time.Time
	// waits holds the logged waits for unresponsive voters, by identity.
	waits map[string]voterWait
}

// silence is since when a member does not respond, which may be earlier than when this leader first
// found it so.
type silence struct{ since, observed time.Time }

// length returns how long the silence has lasted.
func (s silence) length(now time.Time) time.Duration {
	if observed := now.Sub(s.observed); observed < minObservation {
		return observed
	}
	return now.Sub(s.since)
}

// voterWait is how long an unresponsive voter is waited for, and whether its data centre is
// reachable.
type voterWait struct {
	wait      time.Duration
	reachable bool
}

// New returns a repairer.
func New(config Config, log Log, instances Instances, detector *detector.Detector) *Repairer {
	return &Repairer{
		config: config, log: log, instances: instances, detector: detector,
		unresponsive: map[string]silence{}, dataCentres: map[string]string{}, waits: map[string]voterWait{}, failedAdditions: map[string]time.Time{},
	}
}

// Run checks and repairs periodically until ctx ends.
func (r *Repairer) Run(ctx context.Context) {
	control.Every(ctx, checkInterval, func() { r.Step(ctx) })
}

// Step checks the voters once and executes at most one change. It returns when the
// change has ended, so that no two changes run concurrently here. The log refuses a
// second one from another instance.
func (r *Repairer) Step(ctx context.Context) {
	status := r.log.Status()
	if status.Role != consensus.Leader {
		// Another leader observes the voters now; what happens meanwhile is not known
		// here.
		clear(r.unresponsive)
		return
	}
	snapshot := r.collectSnapshot(status)
	r.logWaits(snapshot)
	change, reason := repair.Decide(r.config.Repair, snapshot)
	if reason != r.reason {
		r.reason = reason
		r.config.Logger.WithField("reason", string(reason)).Info("repair of the control log")
	}
	if reason != "" {
		return
	}
	r.applyChange(ctx, change, status.Configuration)
}

// logWaits logs how long each unresponsive voter is waited for and what that follows from,
// whenever it changes.
func (r *Repairer) logWaits(s repair.Snapshot) {
	waits := map[string]voterWait{}
	for i := range s.Members {
		member := &s.Members[i]
		if !member.Voter || member.UnresponsiveFor == 0 {
			continue
		}
		w := voterWait{repair.Wait(r.config.Repair, s, member), s.Reachable[member.DataCentre]}
		if before, known := r.waits[member.Identity]; !known || before != w {
			r.config.Logger.WithFields(logrus.Fields{
				"instance": member.Instance, "data_centre": member.DataCentre, "data_centre_reachable": w.reachable,
				"unresponsive_ms": member.UnresponsiveFor.Milliseconds(), "wait_ms": w.wait.Milliseconds(), "delay_ms": member.Delay.Milliseconds(),
				"spares": len(s.Spares),
			}).Info("a voter does not respond")
		}
		waits[member.Identity] = w
	}
	r.waits = waits
}

func (r *Repairer) applyChange(ctx context.Context, change repair.Change, configuration *consensuspb.Configuration) {
	entry := r.config.Logger.WithField("add", change.Add).WithField("remove", change.Remove)
	began := r.config.Now()
	ctx, end := r.whileAdding(ctx, change.Add)
	err := r.log.ChangeMembers(ctx, &peerpb.ChangeMembers{Add: change.Add, Remove: change.Remove})
	cause := context.Cause(ctx)
	end()
	if err != nil {
		repairsFailed.Add(1)
		if change.Add != "" {
			r.failedAdditions[change.Add] = r.config.Now()
		}
		entry.WithFields(logrus.Fields{
			"code": failure.From(err).Code, "cause": cause, "took_ms": r.config.Now().Sub(began).Milliseconds(),
		}).Warn("a voter could not be replaced")
		return
	}
	delete(r.failedAdditions, change.Add)
	repairsDone.Add(1)
	entry.Info("a voter was replaced")
	for _, member := range configuration.GetMembers() {
		if member.Identity == change.Remove {
			r.detector.ObserveLoss(member.Instance)
			delete(r.unresponsive, member.Identity)
		}
	}
}

// collectSnapshot returns the current state of members, spares and data centres.
func (r *Repairer) collectSnapshot(status consensus.Status) repair.Snapshot {
	now := r.config.Now()
	live := map[string]*peerpb.InstanceState{}
	s := repair.Snapshot{ChangeInProgress: status.ConfigurationPending, Reachable: map[string]bool{}}
	for _, instance := range r.instances.Instances(r.config.Window) {
		live[instance.Name] = instance
		r.dataCentres[instance.Name] = instance.DataCentre
		s.Reachable[instance.DataCentre] = true
	}
	r.learnDataCentres()
	r.observeMembers(status, now)
	unresponsiveCount := len(r.unresponsive)
	members := status.Configuration.GetMembers()
	for _, member := range members {
		s.Members = append(s.Members, r.describe(member, live[member.Instance], now, unresponsiveCount, len(members)))
	}
	for name, instance := range live {
		if isSpare(s.Members, instance) {
			s.Spares = append(s.Spares, repair.Spare{Instance: name, DataCentre: instance.DataCentre, Failed: r.failedRecently(name, now)})
		}
	}
	return s
}

// failedRecently reports whether the replica of an instance could not be added while the instance, if
// it is lost, may still count as live.
func (r *Repairer) failedRecently(instance string, now time.Time) bool {
	failed, ok := r.failedAdditions[instance]
	return ok && now.Sub(failed) < r.config.Window
}

// learnDataCentres takes the data centres of replicas that this process has never heard from
// out of the replicated state. A voter that was lost before this process started would
// otherwise be taken for one in an unreachable data centre, whose return is waited for.
func (r *Repairer) learnDataCentres() {
	for _, replica := range r.log.State().Replicas() {
		if r.dataCentres[replica.Instance] == "" {
			r.dataCentres[replica.Instance] = replica.DataCentre
		}
	}
}

// isSpare reports whether the replica of a live instance may become a voter. Whether it is a
// member is decided by its identity: a replica that was removed while it was cut off never
// learns of that and still reports itself as a member. An instance of an earlier version
// tells no identity; its own report counts.
func isSpare(members []repair.Member, instance *peerpb.InstanceState) bool {
	if !instance.Replica || instance.Leaving || !instance.Ready {
		return false
	}
	if instance.Identity == "" && instance.Voter {
		return false
	}
	for _, member := range members {
		if instance.Identity != "" && member.Identity == instance.Identity {
			// A lost leader may have left a learner, which reports itself as a member.
			return !member.Voter && member.UnresponsiveFor == 0
		}
	}
	return !slices.ContainsFunc(members, func(m repair.Member) bool { return m.Instance == instance.Name && !m.Replaced })
}

// observeMembers updates since when each member is unresponsive and passes ended outages
// to the detector.
func (r *Repairer) observeMembers(status consensus.Status, now time.Time) {
	live := map[string]bool{status.Identity: true}
	for _, member := range status.Members {
		live[member.Identity] = member.Live
	}
	isMember := map[string]bool{}
	for _, member := range status.Configuration.GetMembers() {
		isMember[member.Identity] = true
		silence, unresponsive := r.unresponsive[member.Identity]
		switch {
		case live[member.Identity] && unresponsive:
			r.detector.ObserveReturn(member.Instance, silence.length(now))
			delete(r.unresponsive, member.Identity)
		case !live[member.Identity] && !unresponsive:
			r.unresponsive[member.Identity] = r.silenceOf(member.Instance, now)
		}
	}
	for identity := range r.unresponsive {
		if !isMember[identity] {
			delete(r.unresponsive, identity)
		}
	}
	unresponsiveVoters.Set(int64(len(r.unresponsive)))
}

// silenceOf returns the silence of a member that this leader finds unresponsive from now on. If it was
// to be heard from before, it has been silent for longer: a leader that counted anew would put the
// repair off, and leaders lost in series for ever.
func (r *Repairer) silenceOf(instance string, now time.Time) silence {
	since := now
	if contact, known := r.instances.LastContact(instance); known {
		if due := contact.Add(r.config.ContactInterval); due.Before(since) {
			since = due
		}
	}
	return silence{since: since, observed: now}
}

func (r *Repairer) describe(member *consensuspb.Member, instance *peerpb.InstanceState, now time.Time, unresponsiveCount, total int) repair.Member {
	described := repair.Member{
		Identity:   member.Identity,
		Instance:   member.Instance,
		DataCentre: r.dataCentres[member.Instance],
		Voter:      member.Voter,
	}
	if instance != nil && instance.Identity != "" && instance.Identity != member.Identity {
		// The instance reports another identity: its disk is new, and the member is
		// lost.
		described.Replaced = true
	}
	silence, unresponsive := r.unresponsive[member.Identity]
	if !unresponsive {
		return described
	}
	// A member that just became unresponsive must have a duration above 0, which stands
	// for a live one.
	described.UnresponsiveFor = max(silence.length(now), time.Nanosecond)
	described.Delay = r.detector.Delay(member.Instance, unresponsiveCount-1, total)
	described.Replaced = described.Replaced || instance != nil && instance.Ready && instance.Replica && !instance.Voter && described.UnresponsiveFor >= replacedDiskDelay
	return described
}
