package scheduling

import (
	"fmt"
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// BreachKind identifies a violated invariant.
type BreachKind string

// The invariants of a plan.
const (
	BreachIncompleteGang     BreachKind = "gang_not_whole"
	BreachAdjacency          BreachKind = "gang_not_adjacent"
	BreachDoubleAllocation   BreachKind = "accelerator_given_twice"
	BreachOvercommit         BreachKind = "worker_overfull"
	BreachUnusableWorker     BreachKind = "worker_unknown_or_unavailable"
	BreachCellNotReclaimable BreachKind = "cell_not_takeable"
	BreachCellShape          BreachKind = "cell_not_of_its_shape"
	BreachMissingCell        BreachKind = "guarantee_without_cell"
)

// Breach is an invariant that a plan would violate.
type Breach struct {
	Kind     BreachKind
	Job      string
	Worker   string
	Customer string
}

// Error describes the violation.
func (b *Breach) Error() string {
	return fmt.Sprintf("plan violates invariant %s: job %q, worker %q, customer %q", b.Kind, b.Job, b.Worker, b.Customer)
}

// Verify checks a plan against its snapshot, in one pass over the running and assigned
// work: every gang is complete and adjacent, no accelerator is allocated twice, no
// worker is overcommitted, isolation is kept, and the cells hold every guarantee but the
// unmet ones and can all be reclaimed at once. It counts anew, without the index that the plan was
// made with, in order to catch faults of that index: their symptom would be a customer
// who can't get its guarantee back. It returns nil for a valid plan.
func Verify(snapshot *Snapshot, plan *Plan) *Breach {
	c := newCluster(affectedWorkers(snapshot, plan))
	waiting := map[string]*controlpb.Job{}
	for _, job := range snapshot.Jobs {
		if job.State == controlpb.JobState_JOB_STATE_WAITING {
			waiting[job.Id] = job
		}
		if len(job.Placements) > 0 {
			c.addGang(job)
		}
	}
	isolation := &pass{snapshot: snapshot}
	for _, assignment := range plan.Assignments {
		job := waiting[assignment.Job]
		if breach := c.verifyAssignment(job, assignment); breach != nil {
			return breach
		}
		if breach := c.verifyIsolation(isolation, job, assignment); breach != nil {
			return breach
		}
	}
	return c.verifyCells(snapshot, plan)
}

// affectedWorkers lists the workers on which the plan places work or cells; the others
// don't change.
func affectedWorkers(snapshot *Snapshot, plan *Plan) []Worker {
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
		return &Breach{Kind: BreachIncompleteGang, Job: assignment.Job}
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
		c.addGang(placed)
		if c.byID[placement.Worker].free.negative() {
			return &Breach{Kind: BreachOvercommit, Job: job.Id, Worker: placement.Worker}
		}
	}
	return nil
}

// verifyIsolation checks that workers which are kept for other jobs take guaranteed work only, and
// that restricted jobs use no others than their own.
func (c *cluster) verifyIsolation(p *pass, job *controlpb.Job, assignment *controlpb.Assignment) *Breach {
	restricted := p.snapshot.Restricted[job.Id]
	for _, placement := range assignment.Placements {
		onlyFor := c.byID[placement.Worker].worker.OnlyFor
		if onlyFor == job.Id || onlyFor == "" && !restricted {
			continue
		}
		if restricted || !p.withinGuarantee(job) {
			return &Breach{Kind: BreachUnusableWorker, Job: job.Id, Worker: placement.Worker}
		}
	}
	return nil
}

func (c *cluster) verifyPlacement(job *controlpb.Job, assignment *controlpb.Assignment, placement *controlpb.Placement) *Breach {
	n, ok := c.byID[placement.Worker]
	if !ok || n.worker.Unavailable && !n.quarantined() {
		return &Breach{Kind: BreachUnusableWorker, Job: job.Id, Worker: placement.Worker}
	}
	if len(placement.Accelerators) != int(job.Accelerators) {
		return &Breach{Kind: BreachIncompleteGang, Job: job.Id, Worker: placement.Worker}
	}
	if !withinAdjacency(c.byID[assignment.Placements[0].Worker], n, job.Adjacency) {
		return &Breach{Kind: BreachAdjacency, Job: job.Id, Worker: placement.Worker}
	}
	free := n.freeMask
	for _, number := range placement.Accelerators {
		if number >= maxAccelerators || free&(1<<number) == 0 {
			return &Breach{Kind: BreachDoubleAllocation, Job: job.Id, Worker: placement.Worker}
		}
		free &^= 1 << number
	}
	return nil
}

// verifyCells checks that each guaranteed set has a cell of its shape or is reported as
// unmet, and that all cells of each node can be reclaimed at once.
func (c *cluster) verifyCells(snapshot *Snapshot, plan *Plan) *Breach {
	sets := map[cellKey]guaranteedSet{}
	for _, set := range (&pass{snapshot: snapshot, cluster: c}).guaranteedSets() {
		sets[cellKey{set.customer, set.set}] = set
	}
	for i := range plan.Cells {
		cell := &plan.Cells[i]
		key := cellKey{c.customer(cell.Customer), cell.Set}
		set, declared := sets[key]
		if !declared || !c.addDeclaredCell(set, cell) {
			return &Breach{Kind: BreachCellShape, Customer: cell.Customer}
		}
		delete(sets, key)
	}
	for _, unmet := range plan.Unmet {
		delete(sets, cellKey{c.customer(unmet.Customer), unmet.Set})
	}
	for key := range sets {
		return &Breach{Kind: BreachMissingCell, Customer: c.names[key.customer]}
	}
	for _, n := range c.nodes {
		if !n.cellsReclaimable() {
			return &Breach{Kind: BreachCellNotReclaimable, Worker: n.worker.ID, Customer: c.names[n.cells[0].customer]}
		}
	}
	return nil
}

func (c *cluster) addDeclaredCell(set guaranteedSet, cell *Cell) bool {
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
