package leases

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// A leader that loses contact with a worker waits until the worker's lease is surely over before it
// starts the worker's runs elsewhere. It records in the log how long that is at most, and that no leader
// renews the lease until the log says so. The next leader, which never heard from the worker, goes on
// from there: if each counted the lease from its own election, the runs would start nowhere for as
// long as leaders are lost. See store.State.LeaseSuspensions for what ties the leaders to it.

// leasesSuspended is the number of leases in the newest list of this leader.
var leasesSuspended = expvar.NewInt("leases_suspended")

// maxRateError is the largest assumed difference between the rates of two instances' clocks.
const maxRateError = 0.01

// suspendedLease is a lease that no leader has renewed since it was listed.
type suspendedLease struct {
	incarnation int64
	// since is the log index from which on it is listed.
	since uint64
	// bounds are those of all runs under the lease; zero where the list doesn't say.
	bounds runBounds
}

// suspensions is what an instance knows of the lists in the log. The caller of each method must hold
// Manager.mu.
type suspensions struct {
	// index is that of the newest list that was seen, and seen are its leases.
	index uint64
	seen  map[string]suspendedLease
	// inherited are the leases that earlier leaders have suspended and this one has not renewed.
	inherited map[string]suspendedLease
	// listed are the workers in the newest list that this leader has proposed or inherited.
	listed map[string]bool
}

// observe processes the newest list of the state, which was committed before now. It is called on every
// replica, also while another instance leads. A lease that stays listed keeps the earliest end: each
// list counts from its own commit.
func (s *suspensions) observe(list *controlpb.LeaseSuspensions, now time.Time) {
	if list.GetIndex() == s.index {
		return
	}
	seen := make(map[string]suspendedLease, len(list.Suspended))
	for _, suspended := range list.Suspended {
		lease := suspendedLease{incarnation: suspended.Incarnation, since: suspended.Since, bounds: boundsIn(suspended, now)}
		if earlier, ok := s.seen[suspended.Worker]; ok && earlier.since == lease.since {
			lease.bounds = lease.bounds.earliest(earlier.bounds)
		}
		seen[suspended.Worker] = lease
	}
	s.index, s.seen = list.Index, seen
}

// boundsIn returns the bounds of a lease that was listed before now. The clocks of the instance that listed it and of this
// one may differ in rate.
func boundsIn(suspended *controlpb.LeaseSuspension, now time.Time) runBounds {
	after := func(ms int64) time.Time {
		if ms == 0 {
			return time.Time{}
		}
		return now.Add(time.Duration(float64(ms)*(1+maxRateError)) * time.Millisecond)
	}
	return runBounds{lease: after(suspended.EndsInMs), extension: after(suspended.ExtensionEndsInMs), start: after(suspended.LateStartsEndInMs)}
}

// inherit begins a term with the newest list.
func (s *suspensions) inherit() {
	s.inherited, s.listed = map[string]suspendedLease{}, map[string]bool{}
	for worker, lease := range s.seen {
		s.inherited[worker], s.listed[worker] = lease, true
	}
}

// inheritedBounds returns the bounds of the runs on an incarnation whose lease an earlier leader has suspended; zero if
// none has.
func (s *suspensions) inheritedBounds(worker string, incarnation int64) runBounds {
	if lease, ok := s.inherited[worker]; ok && lease.incarnation == incarnation {
		return lease.bounds
	}
	return runBounds{}
}

// observeSuspensions reads the newest list of the state.
func (m *Manager) observeSuspensions() {
	list := m.log.State().LeaseSuspensions()
	m.mu.Lock()
	defer m.mu.Unlock()
	m.suspensions.observe(list, m.config.Now())
}

// inheritSuspensions begins a term with the list that the leader before has left. The caller must hold the lock.
func (m *Manager) inheritSuspensions() {
	m.suspensions.observe(m.log.State().LeaseSuspensions(), m.config.Now())
	m.suspensions.inherit()
	leasesSuspended.Set(int64(len(m.suspensions.listed)))
}

// Suspensions returns the list of leases to be recorded, or nil if the state has it. From the call on the
// listed leases are not renewed, until SuspensionsCommitted is called with a list that leaves them out.
func (m *Manager) Suspensions(state *store.State) *controlpb.LeaseSuspensions {
	term := m.log.Term()
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term == 0 || m.term != term {
		return nil
	}
	m.inheritUnknown(state)
	silent, resumed := m.silentWorkers()
	inLog := state.LeaseSuspensions()
	completes := m.completesPlacedWorkers(state)
	if len(silent) == 0 && !resumed && len(inLog.GetSuspended()) == 0 && !completes {
		return nil
	}
	list := &controlpb.LeaseSuspensions{Continues: inLog.GetIndex(), CompletesPlacedWorkers: completes}
	holding := workersWithRuns(state)
	for _, worker := range silent {
		if holding[worker] {
			list.Suspended = append(list.Suspended, m.suspend(worker))
		}
	}
	if !resumed && !completes && inLog.GetDecidedIn() == term && slices.EqualFunc(list.Suspended, inLog.GetSuspended(), sameLease) {
		return nil
	}
	for _, suspended := range list.Suspended {
		m.suspensions.listed[suspended.Worker] = true
	}
	return list
}

// completesPlacedWorkers reports whether no command can be under way any more to a worker that the state doesn't know to
// have had work, as after an upgrade from a version that kept no list. Those of earlier leaders are over by then, and
// those of this one went to workers of the list. The caller must hold the lock.
func (m *Manager) completesPlacedWorkers(state *store.State) bool {
	return !state.PlacedWorkersComplete() && m.config.Now().Sub(m.leaderSince) > m.config.FreshnessBound+2*m.lateStartPeriod()
}

func sameLease(a, b *controlpb.LeaseSuspension) bool {
	return a.Worker == b.Worker && a.Incarnation == b.Incarnation
}

// takeover is how long a new leader looks for workers with runs that nobody announces to it. What is placed later is on
// workers that it knows.
const takeover = 10 * time.Second

// inheritUnknown adds the leases of workers that have runs and are unknown to a new leader: the one that placed them may
// have been lost together with them. The caller must hold the lock.
func (m *Manager) inheritUnknown(state *store.State) {
	if m.config.Now().Sub(m.leaderSince) > takeover {
		return
	}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			if _, known := m.suspensions.inherited[placement.Worker]; known || m.sessions[placement.Worker] != nil {
				continue
			}
			m.suspensions.inherited[placement.Worker] = suspendedLease{incarnation: placement.Incarnation, bounds: m.earlierBounds(placement.Worker, placement.Incarnation)}
			m.suspensions.listed[placement.Worker] = true
		}
	}
}

// earlierBounds returns the bounds of all runs on an incarnation that earlier leaders have started and of which this one
// knows nothing. The caller must hold the lock.
func (m *Manager) earlierBounds(worker string, incarnation int64) runBounds {
	until := m.leaderSince.Add(m.config.FreshnessBound)
	bounds := runBounds{lease: until.Add(LeaseUpperBound(m.config.Lease))}
	if incarnation <= UnnamedIncarnation {
		return bounds
	}
	bounds.start = until.Add(m.lateStartPeriod())
	if !m.log.State().OnlyPlacedIncarnation(worker, incarnation) {
		// The incarnation was known to an earlier leader.
		known := m.leaderSince
		if since, ok := m.registry.KnownSince(worker, incarnation); ok && since.Before(known) {
			known = since
		}
		bounds.extension = firstKnown(known.Add(m.youngPeriod()), m.inheritedFenceBound(worker, incarnation, m.leaderSince))
	}
	return bounds
}

// firstAnswers is the time in which the workers that can be reached answer a new leader.
const firstAnswers = 500 * time.Millisecond

// silentWorkers lists the workers that leave requests unanswered, or have not answered in this term soon after its
// begin or after an earlier leader lost them. resumed is set if another one is listed whose lease is to be renewed again. The
// caller must hold the lock.
func (m *Manager) silentWorkers() (silent []string, resumed bool) {
	for worker := range m.suspensions.inherited {
		if m.sessions[worker] == nil {
			silent = append(silent, worker)
		}
	}
	answersDue := m.config.Now().Sub(m.leaderSince) >= firstAnswers
	for worker, s := range m.sessions {
		s.mu.Lock()
		if !s.gone && (s.silent || answersDue && !s.polled) {
			silent = append(silent, worker)
		} else if s.suspended {
			resumed = true
		}
		s.mu.Unlock()
	}
	slices.Sort(silent)
	return silent, resumed
}

// suspend stops the renewal of a worker's lease and returns how long it lasts. The caller must hold the lock.
func (m *Manager) suspend(worker string) *controlpb.LeaseSuspension {
	now := m.config.Now()
	s := m.sessions[worker]
	if s == nil {
		lease := m.suspensions.inherited[worker]
		return suspensionOf(worker, lease.incarnation, m.earlierBounds(worker, lease.incarnation).earliest(lease.bounds), now)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.suspended, s.viewStale = true, true
	bounds := s.leaseBounds()
	bounds.start = s.lateStartsBound()
	return suspensionOf(worker, s.life.current(), bounds, now)
}

func suspensionOf(worker string, incarnation int64, bounds runBounds, now time.Time) *controlpb.LeaseSuspension {
	left := func(end time.Time) int64 { return max(end.Sub(now), 0).Milliseconds() + 1 }
	return &controlpb.LeaseSuspension{
		Worker: worker, Incarnation: incarnation,
		EndsInMs: left(bounds.lease), ExtensionEndsInMs: left(bounds.extension), LateStartsEndInMs: left(bounds.start),
	}
}

// SuspensionsCommitted records that a list which Suspensions has returned in a term is in the log: the leases that it
// leaves out are renewed again. The commit of a list of an earlier term may be heard of late, when the log has
// another one.
func (m *Manager) SuspensionsCommitted(term uint64, list *controlpb.LeaseSuspensions) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.term != term {
		return
	}
	listed := map[string]bool{}
	for _, suspended := range list.Suspended {
		listed[suspended.Worker] = true
	}
	maps.DeleteFunc(m.suspensions.inherited, func(worker string, _ suspendedLease) bool { return !listed[worker] })
	m.suspensions.listed = listed
	leasesSuspended.Set(int64(len(listed)))
	m.logSuspensions(list)
	for _, worker := range slices.Sorted(maps.Keys(m.sessions)) {
		if !listed[worker] {
			m.sessions[worker].resume()
		}
	}
}

func (m *Manager) logSuspensions(list *controlpb.LeaseSuspensions) {
	workers, longest := []string{}, int64(0)
	for _, suspended := range list.Suspended {
		longest = max(longest, suspended.EndsInMs)
		if len(workers) < maxLoggedRuns {
			workers = append(workers, suspended.Worker)
		}
	}
	m.config.Logger.WithFields(logrus.Fields{
		"count": len(list.Suspended), "workers": workers, "longest_ms": longest, "token": m.term,
	}).Info("leases not renewed")
}

// resume lets the lease be renewed again.
func (s *session) resume() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.suspended {
		return
	}
	s.suspended, s.viewStale = false, true
	close(s.resumed)
	s.resumed = make(chan struct{})
	s.manager.config.Wake()
}

// awaitRenewable waits until the lease may be renewed, for at most commitTimeout.
func (s *session) awaitRenewable(ctx context.Context) {
	s.mu.Lock()
	suspended, resumed := s.suspended, s.resumed
	s.mu.Unlock()
	if !suspended {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	select {
	case <-resumed:
	case <-ctx.Done():
	}
}

// workersWithRuns returns the workers on which the state has placed tasks.
func workersWithRuns(state *store.State) map[string]bool {
	holding := map[string]bool{}
	for _, job := range state.ActiveJobs() {
		for _, placement := range job.Placements {
			holding[placement.Worker] = true
		}
	}
	return holding
}
