package gangs

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
)

// Customer is one customer with its token and the classes that it submits.
type Customer struct {
	Token   string
	Classes []string
}

// Load is callers that submit gangs, cancel some in waves, and now and then ask
// for guaranteed work.
type Load struct {
	Client *Client
	// Borrower floods the workers; Owner asks for Urgent, which its guarantee
	// covers, one job at a time.
	Borrower, Owner Customer
	Urgent          string
	// Long is the borrower's class of gangs that run until the load is over; Longs
	// of them come first, and are cancelled then.
	Long  string
	Longs int
	// Every is about how long lies between two jobs.
	Every time.Duration
	Seed  uint64

	mu        sync.Mutex
	submitted []Submitted
}

const (
	waveEvery = 2500 * time.Millisecond
	waveSize  = 6
	// urgentPause lets borrowers come in between.
	urgentPause = time.Second
	pollEvery   = 50 * time.Millisecond
)

// Run submits until the second context ends: the load is over then.
func (l *Load) Run(ctx, ends context.Context) {
	var group sync.WaitGroup
	for number, stream := range []func(ctx, ends context.Context, random *rand.Rand){l.flood, l.waves, l.urgent} {
		random := rand.New(rand.NewPCG(l.Seed, uint64(number)))
		group.Go(func() { stream(ctx, ends, random) })
	}
	group.Wait()
}

// Submitted gives every job that was accepted so far.
func (l *Load) Submitted() []Submitted {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.submitted)
}

func (l *Load) flood(ctx, ends context.Context, random *rand.Rand) {
	for number := range l.Longs {
		id := l.submit(ctx, l.Borrower, l.Long, fmt.Sprintf("long-%d", number))
		defer l.cancel(ctx, l.Borrower, id)
	}
	for number := 0; ends.Err() == nil; number++ {
		class := l.Borrower.Classes[random.IntN(len(l.Borrower.Classes))]
		l.submit(ctx, l.Borrower, class, fmt.Sprintf("%s-%d", class, number))
		control.Pause(ends, time.Duration(random.Int64N(int64(2*l.Every))))
	}
}

// waves cancels most jobs of a wave soon after it has come.
func (l *Load) waves(ctx, ends context.Context, random *rand.Rand) {
	for wave := 0; ends.Err() == nil; wave++ {
		var ids []string
		for number := range waveSize {
			class := l.Owner.Classes[random.IntN(len(l.Owner.Classes))]
			if id := l.submit(ctx, l.Owner, class, fmt.Sprintf("wave-%d-%d", wave, number)); id != "" {
				ids = append(ids, id)
			}
		}
		control.Pause(ends, time.Duration(random.Int64N(int64(time.Second))))
		for _, id := range ids[:len(ids)*3/4] {
			l.cancel(ctx, l.Owner, id)
		}
		control.Pause(ends, waveEvery)
	}
}

func (l *Load) cancel(ctx context.Context, customer Customer, id string) {
	l.note(id, func(s *Submitted) { s.CancelAsked = time.Now() })
	if _, err := l.Client.Cancel(ctx, customer.Token, id); err != nil {
		return
	}
	l.note(id, func(s *Submitted) { s.Cancelled = true })
}

// note changes what is kept of an accepted job.
func (l *Load) note(id string, change func(s *Submitted)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.IndexFunc(l.submitted, func(s Submitted) bool { return s.ID == id })
	if at >= 0 {
		change(&l.submitted[at])
	}
}

func (l *Load) urgent(ctx, ends context.Context, _ *rand.Rand) {
	for number := 0; ends.Err() == nil; number++ {
		control.Pause(ends, urgentPause)
		id := l.submit(ctx, l.Owner, l.Urgent, fmt.Sprintf("urgent-%d", number))
		for id != "" && ctx.Err() == nil {
			if job, err := l.Client.Job(ctx, l.Owner.Token, id); err == nil && job.Ended() {
				break
			}
			control.Pause(ctx, pollEvery)
		}
	}
}

func (l *Load) submit(ctx context.Context, customer Customer, class, key string) string {
	asked := time.Now()
	job, err := l.Client.Submit(ctx, customer.Token, class, key)
	if err != nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, Submitted{ID: job.ID, Class: class, Asked: asked, Guaranteed: class == l.Urgent})
	return job.ID
}
