package scheduling

import (
	"fmt"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// BreachKind names a broken invariant.
type BreachKind string

// The invariants of a plan.
const (
	BreachGang       BreachKind = "gang_not_whole"
	BreachAdjacency  BreachKind = "gang_not_adjacent"
	BreachTwice      BreachKind = "accelerator_given_twice"
	BreachOverfull   BreachKind = "worker_overfull"
	BreachUnknown    BreachKind = "worker_unknown_or_unavailable"
	BreachCell       BreachKind = "cell_not_takeable"
	BreachCellShape  BreachKind = "cell_not_of_its_shape"
	BreachCellMissed BreachKind = "guarantee_without_cell"
)

// Breach is an invariant that a plan would break.
type Breach struct {
	Kind     BreachKind
	Job      string
	Worker   string
	Customer string
}

// Error describes the breach.
func (b *Breach) Error() string {
	return fmt.Sprintf("plan breaks %s: job %q worker %q customer %q", b.Kind, b.Job, b.Worker, b.Customer)
}

// Verify checks a plan against its snapshot, once over what runs: every gang
// whole and adjacent, no accelerator given twice, no worker overfull, and cells
// that hold every guarantee but the unmet ones and can all be taken back at
// once. It counts afresh, apart from the index that the plan was made with, so
// that a fault there is caught: its symptom would be a customer who can't get
// its guarantee back. It returns nil for a sound plan.
func Verify(snapshot *Snapshot, plan *Plan) *Breach {
	c := newCluster(concerned(snapshot, plan))
	waiting := map[string]*controlpb.Job{}
	for _, job := range snapshot.Jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			waiting[job.Id] = job
		}
		if len(job.Placements) > 0 {
			c.hold(job)
		}
	}
	for _, assignment := range plan.Assignments {
		if breach := c.verifyAssignment(waiting[assignment.Job], assignment); breach != nil {
			return breach
		}
	}
	return c.verifyCells(snapshot, plan)
}

// concerned lists the workers that the plan puts work on or keeps cells on: the
// others are as they were.
func concerned(snapshot *Snapshot, plan *Plan) []Worker {
	named := map[string]bool{}
	for _, assignment := range plan.Assignments {
		for _, placement := range assignment.Placements {
			named[placement.Worker] = true
		}
	}
	for _, cell := range plan.Cells {
		for _, part := range cell.Parts {
			named[part.Worker] = true
		}
	}
	return slices.DeleteFunc(slices.Clone(snapshot.Workers), func(w Worker) bool { return !named[w.ID] })
}

func (c *cluster) verifyAssignment(job *controlpb.Job, assignment *controlpb.Assignment) *Breach {
	if job == nil || len(assignment.Placements) != int(max(job.Tasks, 1)) {
		return &Breach{Kind: BreachGang, Job: assignment.Job}
	}
	placed := &controlpb.Job{
		Customer: job.Customer, Cores: job.Cores, CoresMilli: job.CoresMilli, MemoryMb: job.MemoryMb,
		Idempotent: job.Idempotent, Checkpointable: job.Checkpointable,
	}
	for _, placement := range assignment.Placements {
		if breach := c.verifyPlacement(job, assignment, placement); breach != nil {
			return breach
		}
		placed.Placements = []*controlpb.Placement{placement}
		c.hold(placed)
		if c.byID[placement.Worker].free.negative() {
			return &Breach{Kind: BreachOverfull, Job: job.Id, Worker: placement.Worker}
		}
	}
	return nil
}

func (c *cluster) verifyPlacement(job *controlpb.Job, assignment *controlpb.Assignment, placement *controlpb.Placement) *Breach {
	n, ok := c.byID[placement.Worker]
	if !ok || n.worker.Unavailable {
		return &Breach{Kind: BreachUnknown, Job: job.Id, Worker: placement.Worker}
	}
	if len(placement.Accelerators) != int(job.Accelerators) {
		return &Breach{Kind: BreachGang, Job: job.Id, Worker: placement.Worker}
	}
	if !near(c.byID[assignment.Placements[0].Worker], n, job.Adjacency) {
		return &Breach{Kind: BreachAdjacency, Job: job.Id, Worker: placement.Worker}
	}
	free := n.numbers
	for _, number := range placement.Accelerators {
		if number >= maxAccelerators || free&(1<<number) == 0 {
			return &Breach{Kind: BreachTwice, Job: job.Id, Worker: placement.Worker}
		}
		free &^= 1 << number
	}
	return nil
}

// verifyCells checks that each guaranteed set has a cell of its shape or is
// said to be unmet, and that each node gives back all its cells at once.
func (c *cluster) verifyCells(snapshot *Snapshot, plan *Plan) *Breach {
	sets := map[cellKey]guaranteedSet{}
	for _, set := range (&pass{snapshot: snapshot, cluster: c}).guaranteedSets() {
		sets[cellKey{set.customer, set.set}] = set
	}
	for i := range plan.Cells {
		cell := &plan.Cells[i]
		key := cellKey{c.customer(cell.Customer), cell.Set}
		set, declared := sets[key]
		if !declared || !c.keepDeclared(set, cell) {
			return &Breach{Kind: BreachCellShape, Customer: cell.Customer}
		}
		delete(sets, key)
	}
	for _, unmet := range plan.Unmet {
		delete(sets, cellKey{c.customer(unmet.Customer), unmet.Set})
	}
	for key := range sets {
		return &Breach{Kind: BreachCellMissed, Customer: c.names[key.customer]}
	}
	for _, n := range c.nodes {
		if !n.cellsWhole() {
			return &Breach{Kind: BreachCell, Worker: n.worker.ID, Customer: c.names[n.cells[0].customer]}
		}
	}
	return nil
}

func (c *cluster) keepDeclared(set guaranteedSet, cell *Cell) bool {
	var parts []cellShare
	var sum int64
	for _, part := range cell.Parts {
		n, ok := c.byID[part.Worker]
		if !ok || n.worker.Unavailable {
			return false
		}
		parts = append(parts, cellShare{n, int64(part.Accelerators)})
		sum += int64(part.Accelerators)
	}
	if sum != set.accelerators || !adjacent(parts, set.adjacency) {
		return false
	}
	c.addCell(placedCell{set, parts})
	return true
}
