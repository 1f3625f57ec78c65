// Package store is the replicated state machine of the control plane. It is
// deterministic: the same log gives the same state. It reads no clock and no random
// source; commands carry the time in Unix milliseconds.
//
// A State is immutable. Apply returns the next one, which shares unchanged data with its
// predecessor, so requests can read a State without locks while commands are applied.
package store

import (
	"strings"
	"time"

	iradix "github.com/hashicorp/go-immutable-radix/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

type table[T any] = iradix.Tree[T]

// State is the control state after one log index.
type State struct {
	index    uint64
	revision uint64
	timeMs   int64
	items    *table[*controlpb.Item]
	jobs     *table[*controlpb.Job]
	active   *table[*controlpb.Job]
	held     *heldTable
	// oldestEndMs is a lower bound of the ends of all ended jobs; 0 if none is known.
	oldestEndMs int64
	claims      *table[*controlpb.Claim]
	// claimExpiry orders the keys of claims by expiry time.
	claimExpiry *table[struct{}]
	spent       *table[*controlpb.SpentKeys]
	spentCounts *table[int]
	sessions    *table[*controlpb.Session]
	// sessionAges orders clients by the log index of their newest command.
	sessionAges *table[string]
	// unknown holds snapshot fields written by a newer version.
	unknown []byte
	drained *table[bool]
	// health holds workers with failures, occurrences the last due work of each entry.
	health      *table[*controlpb.WorkerHealth]
	occurrences *table[*controlpb.Occurrence]
	// workflows holds all retained workflows, openWorkflows those that have not ended.
	workflows     *table[*controlpb.Workflow]
	openWorkflows *table[*controlpb.Workflow]
	// document is nil until one is set. It is replaced, never modified.
	document *controlpb.Document
	replicas []*controlpb.ReplicaInstance
	// creditMembers is never nil.
	creditMembers *controlpb.CreditMembers
	// crashes and lostRuns are replaced, never modified.
	crashes  []*controlpb.WorkerCrash
	lostRuns []*controlpb.LostRun
	// evacuations is sorted by data centre; it is replaced, never modified.
	evacuations []*controlpb.Evacuation
	// formerCustomers are the customers that are no longer declared but have workflows, by name. It
	// is replaced, never modified.
	formerCustomers []*controlpb.Customer
	// suspensions is never nil. It is replaced, never modified.
	suspensions *controlpb.LeaseSuspensions
	placed      placedWorkers
}

// New returns the empty state before the first log entry.
func New() *State {
	return &State{
		items:       iradix.New[*controlpb.Item](),
		jobs:        iradix.New[*controlpb.Job](),
		active:      iradix.New[*controlpb.Job](),
		held:        iradix.New[uint32](),
		claims:      iradix.New[*controlpb.Claim](),
		claimExpiry: iradix.New[struct{}](),
		spent:       iradix.New[*controlpb.SpentKeys](),
		spentCounts: iradix.New[int](),
		sessions:    iradix.New[*controlpb.Session](),
		sessionAges: iradix.New[string](),
		drained:     iradix.New[bool](),
		health:      iradix.New[*controlpb.WorkerHealth](),
		occurrences: iradix.New[*controlpb.Occurrence](),

		workflows:     iradix.New[*controlpb.Workflow](),
		openWorkflows: iradix.New[*controlpb.Workflow](),

		creditMembers: &controlpb.CreditMembers{},
		suspensions:   &controlpb.LeaseSuspensions{},
		placed:        placedWorkers{workers: iradix.New[*controlpb.PlacedWorker](), complete: true},
	}
}

// NewAt returns the empty state of a log that begins after an index.
func NewAt(index uint64) *State {
	s := New()
	s.index = index
	return s
}

// Index returns the log index of the newest applied entry.
func (s *State) Index() uint64 { return s.index }

// Revision returns the number of accepted changes to the declarations. It never
// decreases.
func (s *State) Revision() uint64 { return s.revision }

// Time returns the latest time that an applied command carried.
func (s *State) Time() time.Time { return time.UnixMilli(s.timeMs) }

// Items lists the declarations in key order.
func (s *State) Items() []*controlpb.Item { return list(s.items) }

// Customer looks up a declared customer.
func (s *State) Customer(name string) (*controlpb.Customer, bool) {
	item, ok := s.items.Get([]byte(declaration.CustomerKey(name)))
	return item.GetCustomer(), ok
}

// WorkClass looks up a declared class of work.
func (s *State) WorkClass(name string) (*controlpb.WorkClass, bool) {
	item, ok := s.items.Get([]byte(declaration.ClassKey(name)))
	return item.GetWorkClass(), ok
}

// Service looks up a declared service.
func (s *State) Service(name string) (*controlpb.Service, bool) {
	item, ok := s.items.Get([]byte(declaration.ServiceKey(name)))
	return item.GetService(), ok
}

// Rules returns the declared rules, or nil, which reads as zero rules.
func (s *State) Rules() *controlpb.Rules {
	item, _ := s.items.Get([]byte(declaration.RulesKey))
	return item.GetRules()
}

// Job looks up one job.
func (s *State) Job(id string) (*controlpb.Job, bool) { return s.jobs.Get([]byte(id)) }

// Jobs lists every retained job in the order of their ids.
func (s *State) Jobs() []*controlpb.Job { return list(s.jobs) }

// ActiveJobs lists the jobs that have not ended, in the order of their ids, so that the
// cost of a scheduling pass depends on open jobs only and not on all retained ones.
func (s *State) ActiveJobs() []*controlpb.Job { return list(s.active) }

// ActiveCount counts the jobs that have not ended.
func (s *State) ActiveCount() int { return s.active.Len() }

// Claim looks up the claim on a customer's request key.
func (s *State) Claim(customer, key string) (*controlpb.Claim, bool) {
	return s.claims.Get(claimKey(customer, key))
}

// Drained reports whether an operator has drained the upstream.
func (s *State) Drained(upstream string) bool {
	drained, _ := s.drained.Get([]byte(upstream))
	return drained
}

// Snapshot returns the state in its serialized form with every list sorted by key, so
// that equal states have equal encodings.
func (s *State) Snapshot() *controlpb.Snapshot {
	snapshot := &controlpb.Snapshot{
		Index:       s.index,
		Revision:    s.revision,
		TimeMs:      s.timeMs,
		Items:       list(s.items),
		Jobs:        list(s.jobs),
		Claims:      list(s.claims),
		SpentKeys:   list(s.spent),
		Sessions:    list(s.sessions),
		Health:      list(s.health),
		Occurrences: list(s.occurrences),

		CreditMembers: s.creditMembers,
		Document:      s.document,
		Workflows:     list(s.workflows),
		Replicas:      s.replicas,
		WorkerCrashes: s.crashes,
		LostRuns:      s.lostRuns,
		Evacuations:   s.evacuations,

		FormerCustomers: s.formerCustomers,
		Suspensions:     s.snapshotSuspensions(),
		PlacedWorkers:   s.snapshotPlaced(),
	}
	walk(s.drained, func(key string, _ bool) { snapshot.Drained = append(snapshot.Drained, key) })
	snapshot.ProtoReflect().SetUnknown(s.unknown)
	return snapshot
}

// Restore returns the state from which the snapshot was made.
func Restore(snapshot *controlpb.Snapshot) *State {
	s := New()
	s.index = snapshot.Index
	s.revision = snapshot.Revision
	s.timeMs = snapshot.TimeMs
	s.items = buildTable(snapshot.Items, func(i *controlpb.Item) []byte { return []byte(i.Key) })
	s.jobs = buildTable(snapshot.Jobs, func(j *controlpb.Job) []byte { return []byte(j.Id) })
	s.restoreClaims(snapshot)
	s.restoreWorkflows(snapshot.Workflows)
	s.document = snapshot.Document
	s.replicas = snapshot.Replicas
	s.crashes, s.lostRuns = snapshot.WorkerCrashes, snapshot.LostRuns
	s.evacuations = snapshot.Evacuations
	s.formerCustomers = snapshot.FormerCustomers
	s.restoreSuspensions(snapshot)
	s.restorePlaced(snapshot)
	s.unknown = snapshot.ProtoReflect().GetUnknown()
	s.sessionAges = fillSessionAges(snapshot.Sessions)
	s.sessions = buildTable(snapshot.Sessions, func(v *controlpb.Session) []byte { return []byte(v.Client) })
	active := iradix.New[*controlpb.Job]().Txn()
	for _, job := range snapshot.Jobs {
		if !Ended(job.State) {
			active.Insert([]byte(job.Id), job)
		}
	}
	s.active = active.Commit()
	s.held = buildHeld(list(s.active))
	drained := iradix.New[bool]().Txn()
	for _, upstream := range snapshot.Drained {
		drained.Insert([]byte(upstream), true)
	}
	s.drained = drained.Commit()
	s.health = buildTable(snapshot.Health, func(h *controlpb.WorkerHealth) []byte { return []byte(h.Worker) })
	if snapshot.CreditMembers != nil {
		s.creditMembers = snapshot.CreditMembers
	}
	s.occurrences = buildTable(snapshot.Occurrences, func(o *controlpb.Occurrence) []byte { return []byte(o.Entry) })
	return s
}

// Ended reports whether a job in the given state will never run again.
func Ended(state controlpb.JobState) bool {
	switch state {
	case controlpb.JobState_JOB_STATE_COMPLETED,
		controlpb.JobState_JOB_STATE_CANCELLED,
		controlpb.JobState_JOB_STATE_PARKED:
		return true
	}
	return false
}

// StateName returns the name of a job state as used in logs and tables, in capitals.
func StateName(state controlpb.JobState) string {
	return strings.TrimPrefix(state.String(), "JOB_STATE_")
}

func claimKey(customer, key string) []byte { return []byte(customer + "/" + key) }

func list[T any](t *table[T]) []T {
	values := make([]T, 0, t.Len())
	walk(t, func(_ string, value T) { values = append(values, value) })
	return values
}

func walk[T any](t *table[T], visit func(key string, value T)) {
	t.Root().Walk(func(key []byte, value T) bool {
		visit(string(key), value)
		return false
	})
}

func buildTable[T any](values []T, key func(T) []byte) *table[T] {
	txn := iradix.New[T]().Txn()
	for _, value := range values {
		txn.Insert(key(value), value)
	}
	return txn.Commit()
}
