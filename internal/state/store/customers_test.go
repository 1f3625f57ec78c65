package store

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
)

// drawCustomers draws customers, by name, that share no key.
func drawCustomers(t *rapid.T, label string) []*controlpb.Customer {
	keys := rapid.Permutation([]string{"k1", "k2", "k3", "k4", "k5", "k6"}).Draw(t, label)
	var customers []*controlpb.Customer
	for _, name := range []string{"a", "b", "c", "d"} {
		if count := rapid.IntRange(-1, 2).Draw(t, label+name); count >= 0 {
			count = min(count, len(keys))
			customers = append(customers, &controlpb.Customer{Name: name, Keys: keys[:count]})
			keys = keys[count:]
		}
	}
	return customers
}

// A change of names and keys leaves a customer that can still call without its jobs, or hands those of one
// that remains to another.
func TestSuccessors(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is, before, after := is.New(t), drawCustomers(t, "before"), drawCustomers(t, "after")
		is.Equal(len(Successors(before, before)), len(before))
		successors := Successors(before, after)
		byName := map[string]*controlpb.Customer{}
		for _, c := range after {
			byName[c.Name] = c
		}
		for _, old := range before {
			successor, ok := successors[old.Name]
			if !ok {
				is.True(byName[old.Name] == nil)
				is.True(!slices.ContainsFunc(after, func(c *controlpb.Customer) bool { return sharedKeys(old, c) > 0 }))
				continue
			}
			is.True(byName[successor] != nil)
			if sharedKeys(old, byName[old.Name]) > 0 {
				is.Equal(successor, old.Name)
			} else if successor != old.Name {
				is.True(sharedKeys(old, byName[successor]) > 0)
			}
		}
	})
}

// replaceCustomers applies a document of the given customers.
func (l *workflowLog) replaceCustomers(version uint64, customers ...*controlpb.Customer) {
	replace := &controlpb.ReplaceDeclarations{Document: &controlpb.Document{Version: version}}
	for _, c := range customers {
		replace.Items = append(replace.Items, &controlpb.Item{Key: declaration.CustomerKey(c.Name), Body: &controlpb.Item_Customer{Customer: c}})
	}
	l.apply(0, &controlpb.Command{Op: &controlpb.Command_Replace{Replace: replace}})
}

// jobCustomers lists the customers of the workflow's open jobs.
func (l *workflowLog) jobCustomers(workflow string) []string {
	names := map[string]bool{}
	for _, job := range l.state.WorkflowJobs(workflow) {
		if !Ended(job.State) {
			names[job.Customer] = true
		}
	}
	return slices.Sorted(maps.Keys(names))
}

// A renamed customer loses its guarantee for the work that it has, and what ended before is done again.
func TestRenamedCustomerKeepsItsWork(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	l.replaceCustomers(1, &controlpb.Customer{Name: "a", Keys: []string{"k1"}})
	w := diamond()
	w.Customer = "a"
	l.submit(1000, w)
	l.finish("w.0.0")
	epoch := l.place("w.0.1.0")
	l.replaceCustomers(2, &controlpb.Customer{Name: "b", Keys: []string{"k1"}})
	is.Equal(l.jobCustomers("w"), []string{"b"})
	running, _ := l.state.Job("w.0.1.0")
	is.Equal(running.Epoch, epoch)
	is.Equal(running.State, controlpb.JobState_JOB_STATE_RUNNING)
	l.finish("w.0.1.1")
	l.finish("w.0.2")
	is.Equal(l.waiting(), nil)
}

// The customers that are no longer declared are lost with a snapshot, or remembered for ever.
func TestFormerCustomersAreRemembered(t *testing.T) {
	is, l := is.New(t), newWorkflowLog(t)
	a := &controlpb.Customer{Name: "a", Keys: []string{"k1"}}
	l.replaceCustomers(1, a, &controlpb.Customer{Name: "b", Keys: []string{"k2"}})
	w := diamond()
	w.Customer = "a"
	l.submit(1000, w)
	l.replaceCustomers(2)
	is.Equal(len(l.state.formerCustomers), 1) // b has no work
	l.state = Restore(l.state.Snapshot())
	l.replaceCustomers(3, &controlpb.Customer{Name: "c", Keys: []string{"k1"}})
	is.Equal(l.jobCustomers("w"), []string{"c"})
	is.Equal(len(l.state.formerCustomers), 0)
}

// BenchmarkRenamedCustomer renames the customer of 19,000 running tasks.
func BenchmarkRenamedCustomer(b *testing.B) {
	l := newWorkflowLog(&testing.T{})
	l.replaceCustomers(1, &controlpb.Customer{Name: "a", Keys: []string{"k1"}})
	for n := range 950 {
		l.submit(0, &controlpb.Workflow{Id: fmt.Sprint("w", n), Queue: "q", Customer: "a", Steps: []*controlpb.Step{{Count: 20}}})
	}
	for b.Loop() {
		m := *l
		m.replaceCustomers(2, &controlpb.Customer{Name: "b", Keys: []string{"k1"}})
	}
}
