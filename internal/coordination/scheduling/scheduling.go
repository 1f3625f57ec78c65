// Package scheduling decides where jobs run. It computes a plan from a snapshot, with a
// reason for every job left waiting. It is pure: it uses no clock, socket or goroutine.
//
// Guarantees are shapes, reserved as cells: disjoint sets of accelerators, free or lent
// to preemptible tasks, that hold every customer's whole unclaimed guarantee at once.
// The idea is that of HiveD (OSDI 2020); docs/design/scheduling.md compares it with
// free-form adjacency and quotas.
package scheduling

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Worker is the description of a worker that scheduling uses.
type Worker struct {
	ID         string
	DataCentre string
	Rack       string
	Cores      uint32
	// CoresMilli are thousandths of a core in addition to Cores.
	CoresMilli   uint32
	MemoryMB     uint64
	Accelerators uint32
	// Speed is the observed speed of the worker relative to the usual one; 0 if it is
	// unknown.
	Speed float64
	// BadRecord is set if failures count against the worker.
	BadRecord bool
	// Cold is set while the worker has not reached its full speed yet.
	Cold bool
	// Unavailable workers keep their tasks but get no new ones: they are leaving,
	// drained, quarantined or in an evacuated data centre.
	Unavailable bool
	// Evacuated workers are unavailable only because their data centre is evacuated.
	Evacuated bool
	// FailedAt is the time of the newest failure on a worker that is unavailable only because of
	// its failures; zero for others.
	FailedAt time.Time
	// OnlyFor is the only job that the worker may be given; empty for any, NoJob for none yet. Guaranteed
	// work that finds no other place may use the worker all the same.
	OnlyFor string
	// Labels are the labels that jobs may require of a worker.
	Labels []string
	// Services are the services whose tasks the worker runs.
	Services []string
}

// NoJob is the OnlyFor of a worker that is being emptied for a job.
const NoJob = "-"

// Snapshot is the input of one pass.
type Snapshot struct {
	Now       time.Time
	Workers   []Worker
	Jobs      []*controlpb.Job
	Customers map[string]*controlpb.Customer
	Rules     *controlpb.Rules
	// Cells are those of the previous plan; without any, cells are placed anew around
	// the running work.
	Cells []Cell
	// Reservations are those of the previous plan, if any.
	Reservations []Reservation
	// Starved are the starved jobs of the previous plan, if any.
	Starved []StarvedJob
	// Warm are workers that urgent work has just left; free capacity there is kept for
	// the next urgent work for a short time.
	Warm map[string]bool
	// Restricted jobs may only be placed on workers that are kept for them (OnlyFor).
	Restricted map[string]bool
	// RunTimes estimates run times from past runs of each class; nil without
	// observations.
	RunTimes *RunTimes
	// Interference has the factor by which the run time of the first class of a pair grows
	// beside the second; other pairs are absent.
	Interference map[ClassPair]float64
	// Features are the optional parts that the settings switch on.
	Features Features
	// MaxStand is how long work may stand that only workers can take which are unavailable because
	// of their failures, or on which it has failed itself; 0 for no limit.
	MaxStand time.Duration
	// Disabled are mechanisms that an experiment switches off; empty in production.
	Disabled Mechanisms
}

// CarryOver copies the state that a plan passes on to the next pass.
func (s *Snapshot) CarryOver(plan *Plan) {
	s.Cells, s.Reservations, s.Starved = plan.Cells, plan.Reservations, plan.Starved
}

// ReasonCode is why a job waits.
type ReasonCode string

// The reasons.
const (
	ReasonNoCapacity     ReasonCode = "no_free_capacity"
	ReasonBackoff        ReasonCode = "waiting_to_retry"
	ReasonGuarantee      ReasonCode = "kept_for_guarantee"
	ReasonLimit          ReasonCode = "customer_limit"
	ReasonReserved       ReasonCode = "kept_for_reservation"
	ReasonNeverFits      ReasonCode = "never_fits"
	ReasonPreempting     ReasonCode = "taking_back"
	ReasonHasReservation ReasonCode = "has_reservation"
	ReasonRefused        ReasonCode = "plan_refused"
	ReasonIsolation      ReasonCode = "waiting_to_run_alone"
	ReasonEvacuated      ReasonCode = "data_centre_evacuated"
	ReasonQuarantined    ReasonCode = "worker_quarantined"
)

// Reason is why one job was left waiting.
type Reason struct {
	Job  string     `json:"job"`
	Code ReasonCode `json:"code"`
	// Wanted and Free count accelerators.
	Wanted uint32 `json:"wanted"`
	Free   uint32 `json:"free"`
}

// Unmet is a guaranteed set that no cell can be found for, because workers are lost or
// hold work that can't be preempted. Other guarantees and other work are not affected.
type Unmet struct {
	Customer     string              `json:"customer"`
	Set          int                 `json:"set"`
	Accelerators uint32              `json:"accelerators"`
	Adjacency    controlpb.Adjacency `json:"adjacency"`
}

// Plan is the outcome of one pass.
type Plan struct {
	Assignments []*controlpb.Assignment
	Preemptions []*controlpb.Preemption
	// Expected has the estimates for the jobs assigned, where ends are estimated.
	Expected map[string]Expectation
	Waiting  []Reason
	// LocalityWaits are the waiting jobs that are restricted to a part of the workers
	// eligible for them; Starved are the starved jobs: nothing of them runs although
	// there is free capacity for them after this plan.
	LocalityWaits []LocalityWait
	Starved       []StarvedJob
	// QuietSince is when arrivals will count as having stopped, if no further work
	// arrives.
	QuietSince time.Time
	// Cells, Reservations and Starved are part of the next pass's snapshot: see
	// CarryOver.
	Cells        []Cell
	Reservations []Reservation
	Unmet        []Unmet
	// Separations are the placements that were changed to keep interfering classes apart.
	Separations []Separation
	// OnQuarantined are the jobs that are placed on workers that are unavailable because of their
	// failures, and QuarantineDue is the next time at which such a worker may take a waiting job;
	// zero if there is none.
	OnQuarantined []QuarantinedStart
	QuarantineDue time.Time
	// Breach is set if the plan violated an invariant: it then assigns and preempts
	// nothing.
	Breach *Breach
}

// Pass runs one scheduling pass over the snapshot.
func Pass(snapshot *Snapshot) *Plan {
	p := newPass(snapshot)
	p.run()
	if breach := Verify(snapshot, p.plan); breach != nil {
		return refusedPlan(snapshot, p.plan, breach)
	}
	return p.plan
}

func (p *pass) run() {
	p.assignCells()
	queue := p.queue()
	p.restoreReservations(queue)
	p.startCellOwners(queue)
	p.startUrgent(queue)
	p.startLongWaiting(queue)
	p.startRemaining(queue)
	p.startStarved(queue)
	p.startStanding(queue)
	p.recordLocalityWaits(queue)
	p.plan.Cells = p.cluster.cellList()
}

// refusedPlan returns a plan that changes nothing. A violated invariant is a fault of
// this package; starting nothing is safe, because the running work satisfies the
// invariants.
func refusedPlan(snapshot *Snapshot, plan *Plan, breach *Breach) *Plan {
	unchanged := &Plan{
		Waiting:       plan.Waiting,
		Cells:         snapshot.Cells,
		Reservations:  snapshot.Reservations,
		Unmet:         plan.Unmet,
		LocalityWaits: plan.LocalityWaits,
		Starved:       plan.Starved,
		Breach:        breach,
	}
	for _, assignment := range plan.Assignments {
		unchanged.Waiting = append(unchanged.Waiting, Reason{Job: assignment.Job, Code: ReasonRefused})
	}
	return unchanged
}

// Preemptible reports whether a job may be stopped and run again: from its checkpoint,
// or from its start if it is idempotent.
func Preemptible(job *controlpb.Job) bool {
	return job.Checkpointable || job.Idempotent
}
