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

// checkFeasible refuses classes and guarantees that the workers could not serve
// with nothing else running: they would wait for ever, and be noticed late.
func (s *Server) checkFeasible(items []*controlpb.Item, set []*controlpb.Item, allow bool) error {
	workers, known := s.knownWorkers()
	if allow || !known {
		return nil
	}
	var violations []declaration.Violation
	guarantees := false
	for _, item := range set {
		if class := item.GetWorkClass(); class != nil {
			if reason := infeasible(class, workers); reason != "" {
				violations = append(violations, declaration.Violation{Item: item.Key, Reason: reason})
			}
		}
		guarantees = guarantees || item.GetCustomer() != nil
	}
	if guarantees {
		violations = append(violations, unmetGuarantees(declaration.Changed(items, set, nil), workers)...)
	}
	if len(violations) == 0 {
		return nil
	}
	return failure.Wrap(failure.Infeasible, problems(violations), "%d problems with the %d workers known now", len(violations), len(workers))
}

// checkSubmit refuses a job that no worker known could run.
func (s *Server) checkSubmit(class *controlpb.WorkClass) error {
	workers, known := s.knownWorkers()
	if !known {
		return nil
	}
	if reason := infeasible(class, workers); reason != "" {
		return failure.New(failure.Infeasible, "class %s: %s", class.Name, reason)
	}
	return nil
}

// knownWorkers lists the live workers. Nothing is known until every worker has
// had time to announce itself to some instance and the news to come here: a
// starting instance would call possible work impossible.
func (s *Server) knownWorkers() (workers []scheduling.Worker, known bool) {
	if time.Since(s.started) < api.AnnouncementsMissed*s.settings.Upstreams.AnnounceEvery+announceGrace {
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

// infeasible says why a class cannot run, or nothing if it can.
func infeasible(class *controlpb.WorkClass, workers []scheduling.Worker) string {
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

// unmetGuarantees asks the scheduler itself whether it finds a place for every
// guarantee at once on empty workers.
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
			Reason: fmt.Sprintf("no place beside the other guarantees for a set of %d accelerators, adjacency %s", unmet.Accelerators, adjacencyName(unmet.Adjacency)),
		})
	}
	return violations
}
