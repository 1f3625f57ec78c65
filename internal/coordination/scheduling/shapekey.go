package scheduling

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// The keys in this file tell which requests have the same outcome within one pass, so that
// one answer serves all of them.

// preemptionKey is a shape, what it may preempt and on which workers. The age of a long-waiting job
// matters too, but the oldest goes first, and a younger one may preempt less.
type preemptionKey struct {
	shape   shapeKey
	grounds preemptionGrounds
	limit   speedLimit
}

// shapeKey is what determines whether a request finds capacity.
type shapeKey struct {
	customer       customerID
	tasks          int64
	perTask        resources
	nonPreemptible bool
	adjacency      controlpb.Adjacency
	urgent         bool
	constraints    constraintsKey
}

// constraintsKey is what determines which workers are eligible for a request.
type constraintsKey struct {
	service      string
	requirement  string
	rack         string
	unrestricted bool
	// passesIsolation is set where nodes that are kept for others are eligible.
	passesIsolation bool
	// job is set where eligibility depends on the job itself.
	job string
	// step is set where the tasks of the step count towards a spread limit.
	step stepKey
}

func (req *request) constraints() constraintsKey {
	key := constraintsKey{
		service: req.job.Service, requirement: req.job.Requirement, rack: req.rack,
		unrestricted: req.unrestricted, passesIsolation: req.passesIsolation,
	}
	if req.restricted || req.job.MaxAttempts > 0 && len(req.job.Failures) > 0 {
		key.job = req.job.Id
	}
	if req.job.SpreadLimit > 0 {
		key.step = stepKeyOf(req.job)
	}
	return key
}

func (req *request) key() shapeKey {
	return shapeKey{req.customer, req.tasks, req.perTask, req.nonPreemptible, req.adjacency, req.job.Urgent, req.constraints()}
}

// capacityKey is the request's shape without what doesn't affect free capacity: only
// for non-preemptible work does it matter whose cells the capacity lies in.
func (req *request) capacityKey() shapeKey {
	key := shapeKey{perTask: req.perTask, nonPreemptible: req.nonPreemptible, adjacency: req.adjacency, constraints: req.constraints()}
	if req.nonPreemptible {
		key.customer = req.customer
	}
	return key
}

// waitKey is what determines the reason for waiting.
func (req *request) waitKey() shapeKey {
	key := req.capacityKey()
	key.tasks = req.tasks
	return key
}
