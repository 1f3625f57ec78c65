package httpapi

import (
	"fmt"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// checkFeasible rejects classes of work and guarantees that the known workers could not
// serve even when idle: their jobs would wait forever, and the mistake would be noticed
// late.
func (s *Server) checkFeasible(items []*controlpb.Item, set []*controlpb.Item, allow bool) error {
	workers, known := s.knownWorkers()
	if allow || !known {
		return nil
	}
	var violations []declaration.Violation
	guarantees := false
	for _, item := range set {
		if class := item.GetWorkClass(); class != nil {
			if reason := infeasibleReason(class, workers); reason != "" {
				violations = append(violations, declaration.Violation{Item: item.Key, Reason: reason})
			}
		}
		guarantees = guarantees || item.GetCustomer() != nil
	}
	if guarantees {
		violations = append(violations, unmetGuarantees(declaration.ApplyChange(items, set, nil), workers)...)
	}
	if len(violations) == 0 {
		return nil
	}
	return failure.Wrap(failure.Infeasible, problems(violations), "%d problems with the %d workers currently known", len(violations), len(workers))
}

// checkSubmit rejects a job of a class that the known workers could not run.
func (s *Server) checkSubmit(class *controlpb.WorkClass) error {
	workers, known := s.knownWorkers()
	if !known {
		return nil
	}
	if reason := infeasibleReason(class, workers); reason != "" {
		return failure.New(failure.Infeasible, "class %s: %s", class.Name, reason)
	}
	return nil
}

// knownWorkers returns the live workers. known is false until every worker has had time
// to announce itself to some instance and this instance to receive it; before that,
// feasible work would be rejected as infeasible.
func (s *Server) knownWorkers() (workers []scheduling.Worker, known bool) {
	if time.Since(s.started) < api.MaxMissedAnnouncements*s.settings.Upstreams.AnnounceEvery+announceGrace {
		return nil, false
	}
	for _, worker := range s.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER) {
		workers = append(workers, scheduling.Worker{
			ID:           worker.Id,
			DataCentre:   worker.DataCentre,
			Rack:         worker.Rack,
			Cores:        worker.Cores,
			MemoryMB:     worker.MemoryMb,
			Accelerators: worker.Accelerators,
		})
	}
	return workers, len(workers) > 0
}

// infeasibleReason returns why a class cannot run on the workers, or "" if it can.
func infeasibleReason(class *controlpb.WorkClass, workers []scheduling.Worker) string {
	shape := scheduling.ClassShape(class)
	found := scheduling.Feasible(shape, workers)
	if found.Feasible {
		return ""
	}
	reason := describeShape(shape) + " fit nowhere"
	if found.Nearest.Tasks > 0 {
		reason += "; the nearest that fits: " + describeShape(found.Nearest)
	}
	if found.HasWider {
		reason += fmt.Sprintf("; or adjacency %s", adjacencyName(found.Wider))
	}
	return reason
}

func describeShape(shape scheduling.Shape) string {
	return fmt.Sprintf("%d tasks of %d accelerators, %d cores and %d MB, adjacency %s",
		shape.Tasks, shape.Accelerators, shape.Cores, shape.MemoryMB, adjacencyName(shape.Adjacency))
}

func adjacencyName(adjacency controlpb.Adjacency) string {
	return strings.ToLower(strings.TrimPrefix(adjacency.String(), "ADJACENCY_"))
}

// unmetGuarantees runs a scheduling pass to check whether all guarantees can be met at
// the same time on idle workers.
func unmetGuarantees(items []*controlpb.Item, workers []scheduling.Worker) []declaration.Violation {
	customers := map[string]*controlpb.Customer{}
	for _, item := range items {
		if customer := item.GetCustomer(); customer != nil {
			customers[customer.Name] = customer
		}
	}
	plan := scheduling.Pass(&scheduling.Snapshot{Workers: workers, Customers: customers, Rules: &controlpb.Rules{}})
	var violations []declaration.Violation
	for _, unmet := range plan.Unmet {
		violations = append(violations, declaration.Violation{
			Item:   declaration.CustomerKey(unmet.Customer),
			Field:  "guarantee",
			Reason: fmt.Sprintf("a set of %d accelerators, adjacency %s, does not fit alongside the other guarantees", unmet.Accelerators, adjacencyName(unmet.Adjacency)),
		})
	}
	return violations
}
