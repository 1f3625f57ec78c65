package store

import (
	"cmp"
	"maps"
	"slices"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// Customers lists the declared customers.
func (s *State) Customers() []*controlpb.Customer {
	return listDeclared(s, declaration.CustomerPrefix, (*controlpb.Item).GetCustomer)
}

// customerWithKey returns the customer that has a key of callers.
func (s *State) customerWithKey(key string) (*controlpb.Customer, bool) {
	if !declaration.ValidKey(key) {
		return nil, false
	}
	customers := s.Customers()
	at := slices.IndexFunc(customers, func(c *controlpb.Customer) bool { return slices.Contains(c.Keys, key) })
	if at < 0 {
		return nil, false
	}
	return customers[at], true
}

// Successors returns, by name, the customer that each of the customers before a change of the
// declarations is after it; one that is no longer there has no entry. Callers send keys and no
// names, so that keys decide where they tell (docs/PROMISES.md has the order). Both lists are
// sorted by name, and no two customers of one list share a key.
func Successors(before, after []*controlpb.Customer) map[string]string {
	known := make(map[string]*controlpb.Customer, len(before))
	for _, old := range before {
		known[old.Name] = old
	}
	// remains reports whether a customer was there before, by its name and a key.
	remains := func(c *controlpb.Customer) bool { return sharedKeys(known[c.Name], c) > 0 }
	successors := map[string]string{}
	for _, old := range before {
		rank := func(c *controlpb.Customer) (preference, keys int) {
			keys = sharedKeys(old, c)
			switch {
			case c.Name == old.Name && keys > 0:
				return 4, keys
			case keys > 0 && !remains(c):
				return 3, keys
			case c.Name == old.Name:
				return 2, keys
			case keys > 0:
				return 1, keys
			}
			return 0, 0
		}
		best, bestRank, bestKeys := "", 0, 0
		for _, c := range after {
			preference, keys := rank(c)
			if cmp.Or(cmp.Compare(preference, bestRank), cmp.Compare(keys, bestKeys)) > 0 {
				best, bestRank, bestKeys = c.Name, preference, keys
			}
		}
		if bestRank > 0 {
			successors[old.Name] = best
		}
	}
	return successors
}

// sharedKeys counts the keys that two customers share.
func sharedKeys(a, b *controlpb.Customer) int {
	shared := 0
	for _, key := range a.GetKeys() {
		if declaration.ValidKey(key) && slices.Contains(b.GetKeys(), key) {
			shared++
		}
	}
	return shared
}

// succeedCustomers hands the workflows of customers that a document has renamed or removed to their
// successors. Customers without one are remembered while they have workflows, since a later
// document may bring them back.
func (s *State) succeedCustomers(before []*controlpb.Customer) {
	before = append(slices.Clone(before), s.formerCustomers...)
	slices.SortFunc(before, func(a, b *controlpb.Customer) int { return cmp.Compare(a.Name, b.Name) })
	successors := Successors(before, s.Customers())
	renamed := map[string]string{}
	former := map[string]*controlpb.Customer{}
	for _, old := range before {
		switch name, ok := successors[old.Name]; {
		case !ok:
			former[old.Name] = old
		case name != old.Name:
			renamed[old.Name] = name
		}
	}
	s.formerCustomers = nil
	if len(renamed)+len(former) > 0 {
		s.handOver(renamed)
		s.rememberFormer(former)
	}
}

// handOver makes the workflows and open jobs of customers those of their successors.
func (s *State) handOver(successors map[string]string) {
	workflows, openWorkflows := s.workflows.Txn(), s.openWorkflows.Txn()
	jobs, active := s.jobs.Txn(), s.active.Txn()
	handedOver := map[string]bool{}
	walk(s.workflows, func(id string, w *controlpb.Workflow) {
		successor, ok := successors[w.Customer]
		if !ok || !ownedByKey(w) {
			return
		}
		handedOver[id] = true
		w = proto.CloneOf(w)
		w.Customer = successor
		workflows.Insert([]byte(id), w)
		if !WorkflowEnded(w.State) {
			openWorkflows.Insert([]byte(id), w)
		}
	})
	walk(s.active, func(id string, job *controlpb.Job) {
		if !handedOver[job.Workflow] {
			return
		}
		job = proto.CloneOf(job)
		job.Customer = successors[job.Customer]
		jobs.Insert([]byte(id), job)
		active.Insert([]byte(id), job)
	})
	s.workflows, s.openWorkflows = workflows.Commit(), openWorkflows.Commit()
	s.jobs, s.active = jobs.Commit(), active.Commit()
}

// rememberFormer keeps the former customers that have workflows.
func (s *State) rememberFormer(former map[string]*controlpb.Customer) {
	remembered := map[string]*controlpb.Customer{}
	walk(s.workflows, func(_ string, w *controlpb.Workflow) {
		if old := former[w.Customer]; old != nil && ownedByKey(w) {
			remembered[w.Customer] = old
		}
	})
	for _, name := range slices.Sorted(maps.Keys(remembered)) {
		s.formerCustomers = append(s.formerCustomers, remembered[name])
	}
}

// ownedByKey reports whether the owner of a workflow is known by its key. The callers of workflows
// without a queue are known by their tokens.
func ownedByKey(w *controlpb.Workflow) bool { return w.Queue != "" && w.Customer != "" }
