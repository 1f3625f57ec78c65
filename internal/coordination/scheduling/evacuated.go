package scheduling

// waitsForEvacuated reports whether a job that found no capacity waits only because data
// centres are evacuated: either it would fit now if they were not, or no other worker could
// hold it even when empty.
func (p *pass) waitsForEvacuated(req *request) bool {
	if !p.cluster.hasEvacuated {
		return false
	}
	return p.fitsIn(req, freeWithEvacuated) || !p.fitsIn(req, emptyWithoutEvacuated)
}

// fitsIn reports whether some domain has capacity for the whole gang.
func (p *pass) fitsIn(req *request, capacity capacityFunc) bool {
	for _, domain := range p.cluster.domains(req.adjacency) {
		var tasks int64
		for _, n := range domain.nodes {
			if tasks += max(capacity(n, req), 0); tasks >= req.tasks {
				return true
			}
		}
	}
	return false
}

// freeWithEvacuated counts what is free, on workers of evacuated data centres too.
func freeWithEvacuated(n *node, req *request) int64 {
	if !n.worker.Evacuated {
		return freeCapacity(n, req)
	}
	if !n.isEligible(req) {
		return 0
	}
	return min(n.free.tasks(req.perTask), req.tasks, n.spreadLimitLeft(req.job))
}

// emptyWithoutEvacuated counts what workers outside of evacuated data centres hold when
// nothing runs on them. Workers that are unavailable for another reason count: the job
// waits for these too.
func emptyWithoutEvacuated(n *node, req *request) int64 {
	if n.worker.Evacuated || !runsOn(req.job, n.worker) {
		return 0
	}
	return min(n.total.tasks(req.perTask), req.tasks)
}
