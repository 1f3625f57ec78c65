// Package scheduling decides where jobs run: from a snapshot to a plan, with
// reasons for every job left waiting. It is pure: no clock, socket or goroutine.
//
// Guarantees are shapes, kept as cells: disjoint places of free accelerators,
// or ones lent to preemptible tasks, that hold every customer's whole unclaimed
// guarantee at once. The idea is that of HiveD (OSDI 2020); docs/design/scheduling.md
// weighs it against free-form adjacency and quotas.
package scheduling

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Worker is one worker as scheduling sees it.
type Worker struct {
	ID         string
	DataCentre string
	Rack       string
	Cores      uint32
	// CoresMilli are thousandths of a core beside the whole ones.
	CoresMilli   uint32
	MemoryMB     uint64
	Accelerators uint32
	// Speed is by how much faster than usual the worker does its tasks, as observed; 0
	// where nothing is known.
	Speed float64
	// Unavailable workers keep their tasks but get no new ones: leaving,
	// drained or quarantined.
	Unavailable bool
	// Labels are what jobs may require of a worker.
	Labels []string
	// Services are those whose tasks it takes; none for any.
	Services []string
}

// Snapshot is what one pass decides from.
type Snapshot struct {
	Now       time.Time
	Workers   []Worker
	Jobs      []*controlpb.Job
	Customers map[string]*controlpb.Customer
	Rules     *controlpb.Rules
	// Cells are those of the plan before this one, or none: they are then
	// found afresh from what runs.
	Cells []Cell
	// Reservations are those of the plan before this one, or none.
	Reservations []Reservation
	// Standing are those of the plan before this one, or none.
	Standing []Standing
	// Warm are workers that urgent work has just left: room there is kept a moment
	// for the next.
	Warm map[string]bool
	// RunTimes is what was observed of each class; nil for nothing yet.
	RunTimes *RunTimes
	// Off are mechanisms that an experiment switches off; none in the product.
	Off Mechanisms
}

// GoOnFrom takes over what a plan hands to the next pass.
func (s *Snapshot) GoOnFrom(plan *Plan) {
	s.Cells, s.Reservations, s.Standing = plan.Cells, plan.Reservations, plan.Standing
}

// ReasonCode says why a job waits.
type ReasonCode string

// The reasons.
const (
	ReasonNoCapacity ReasonCode = "no_free_capacity"
	ReasonBackoff    ReasonCode = "waiting_to_retry"
	ReasonGuarantee  ReasonCode = "kept_for_guarantee"
	ReasonLimit      ReasonCode = "customer_limit"
	ReasonReserved   ReasonCode = "kept_for_reservation"
	ReasonNever      ReasonCode = "never_fits"
	ReasonPreempting ReasonCode = "taking_back"
	ReasonReserving  ReasonCode = "has_reservation"
	ReasonRefused    ReasonCode = "plan_refused"
)

// Reason is why one job was left waiting.
type Reason struct {
	Job  string     `json:"job"`
	Code ReasonCode `json:"code"`
	// Wanted and Free count accelerators.
	Wanted uint32 `json:"wanted"`
	Free   uint32 `json:"free"`
}

// Unmet is a guaranteed set that no place can be found for, since workers are
// lost or hold work that can't be stopped. Other guarantees and work go on.
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
	Waiting     []Reason
	// Kept are the waiting jobs that are kept to a part of where they may run; Standing are
	// those with nothing running that have room beside them after this plan.
	Kept     []Kept
	Standing []Standing
	// QuietSince is when work will have stopped coming, if none comes.
	QuietSince time.Time
	// Cells, Reservations and Standing go into the next pass's snapshot: see GoOnFrom.
	Cells        []Cell
	Reservations []Reservation
	Unmet        []Unmet
	// Breach is set when the plan broke an invariant: it then assigns and
	// preempts nothing.
	Breach *Breach
}

// Pass plans once over the snapshot.
func Pass(snapshot *Snapshot) *Plan {
	p := newPass(snapshot)
	p.run()
	if breach := Verify(snapshot, p.plan); breach != nil {
		return refused(snapshot, p.plan, breach)
	}
	return p.plan
}

func (p *pass) run() {
	p.keepCells()
	queue := p.queue()
	p.keepReservations(queue)
	p.startEntitled(queue)
	p.startUrgent(queue)
	p.startStarving(queue)
	p.startRest(queue)
	p.startStanding(queue)
	p.noteStanding(queue)
	p.plan.Cells = p.cluster.cellList()
}

// refused is the plan that changes nothing. A breach is a fault of this
// package: starting nothing is safe, for what runs keeps the invariant.
func refused(snapshot *Snapshot, plan *Plan, breach *Breach) *Plan {
	safe := &Plan{
		Waiting:      plan.Waiting,
		Cells:        snapshot.Cells,
		Reservations: snapshot.Reservations,
		Unmet:        plan.Unmet,
		Kept:         plan.Kept,
		Standing:     plan.Standing,
		Breach:       breach,
	}
	for _, assignment := range plan.Assignments {
		safe.Waiting = append(safe.Waiting, Reason{Job: assignment.Job, Code: ReasonRefused})
	}
	return safe
}

// Preemptible tells whether a job may be stopped and run again: from its
// checkpoint, or from its start where running it twice does no harm.
func Preemptible(job *controlpb.Job) bool {
	return job.Checkpointable || job.Idempotent
}
