package leases_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	freshness = 1500 * time.Millisecond
	holdFor   = 5 * time.Second
	// shortWork ends well within a lease; longWork outlives a lease that nobody
	// prolongs.
	shortWork = 2 * time.Second
	longWork  = 12 * time.Second
)

// world is a log, the instances that lead it one after another, the workers, and a
// network that loses orders, holds them back for up to 12 s and swaps them.
type world struct {
	mu        sync.Mutex
	rand      *rand.Rand
	plant     plant
	state     *store.State
	term      uint64
	leader    *instance
	instances []*instance
	// refusing is set while connections across a cut are refused; else nothing answers.
	refusing bool
	boots    []*boot
	// chaos is the share of orders that meet a fault, in hundredths.
	chaos int
	// work is how long a task of a workflow takes.
	work map[string]time.Duration
	// gangs are the sizes of gang steps by the name of their job.
	gangs map[string]int
	// cancelAfter is how long after its nth placement the caller of a workflow cancels it;
	// none for those that are left alone.
	cancelAfter map[string]cancellation
	// turns is how long an order may wait for its turn at the leader.
	turns time.Duration
	// good are the good ends of each task.
	good   map[string][]*goodEnd
	broken string
	// story is what happened, for the reader of a failure.
	story []string
	begun time.Time
}

func newWorld(seed uint64, planted plant) *world {
	w := &world{
		begun: time.Now(),
		rand:  rand.New(rand.NewPCG(seed, 1)), plant: planted, state: store.New(),
		work: map[string]time.Duration{}, gangs: map[string]int{}, good: map[string][]*goodEnd{},
	}
	for i := range 3 {
		w.boots = append(w.boots, newBoot(w, fmt.Sprint("w", i), 0.98+0.02*w.rand.Float64()))
	}
	for i := range 2 {
		w.instances = append(w.instances, newInstance(w, i))
	}
	return w
}

// apply commits one command of a leader of a term.
func (w *world) apply(command *controlpb.Command) *controlpb.Result {
	command.TimeMs = time.Now().UnixMilli()
	next, result := control.Apply(w.state, &peerpb.LogEntry{Index: w.state.Index() + 1, Term: w.term, Command: command})
	w.state = next
	w.notePlacements(command.GetPlan())
	return result
}

func (w *world) bootOf(id string) *boot {
	i := slices.IndexFunc(w.boots, func(b *boot) bool { return b.id == id })
	return w.boots[i]
}
