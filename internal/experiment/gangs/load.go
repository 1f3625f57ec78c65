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

// Customer is a customer's token and the classes of work that it submits.
type Customer struct {
	Token   string
	Classes []string
}

// Load generates gang jobs: a steady stream of one customer, waves of another that are
// mostly cancelled, and now and then guaranteed work.
type Load struct {
	Client *Client
	// Borrower keeps the workers busy beyond its guarantee. Owner submits jobs of the class
	// Urgent, which its guarantee covers, one at a time.
	Borrower, Owner Customer
	Urgent          string
	// Long is the borrower's class of gangs that run until the load is over. Longs of them
	// are submitted first and cancelled at the end.
	Long  string
	Longs int
	// Every is the mean time between two jobs of the borrower.
	Every time.Duration
	Seed  uint64

	mu        sync.Mutex
	submitted []Submitted
}

const (
	waveInterval = 2500 * time.Millisecond
	waveSize     = 6
	// urgentPause lets jobs of the borrower start between two urgent jobs.
	urgentPause  = time.Second
	pollInterval = 50 * time.Millisecond
)

// Run submits jobs until the context submitting is done, then finishes what is under way
// within ctx.
func (l *Load) Run(ctx, submitting context.Context) {
	var group sync.WaitGroup
	for number, stream := range []func(ctx, submitting context.Context, random *rand.Rand){l.submitBorrowed, l.submitWaves, l.submitUrgent} {
		random := rand.New(rand.NewPCG(l.Seed, uint64(number)))
		group.Go(func() { stream(ctx, submitting, random) })
	}
	group.Wait()
}

// Submitted returns the jobs accepted so far.
func (l *Load) Submitted() []Submitted {
	l.mu.Lock()
	defer l.mu.Unlock()
	return slices.Clone(l.submitted)
}

func (l *Load) submitBorrowed(ctx, submitting context.Context, random *rand.Rand) {
	for number := range l.Longs {
		id := l.submit(ctx, l.Borrower, l.Long, fmt.Sprintf("long-%d", number))
		defer l.cancel(ctx, l.Borrower, id)
	}
	for number := 0; submitting.Err() == nil; number++ {
		class := l.Borrower.Classes[random.IntN(len(l.Borrower.Classes))]
		l.submit(ctx, l.Borrower, class, fmt.Sprintf("%s-%d", class, number))
		control.Sleep(submitting, time.Duration(random.Int64N(int64(2*l.Every))))
	}
}

// submitWaves submits waves of jobs and cancels most of each soon after.
func (l *Load) submitWaves(ctx, submitting context.Context, random *rand.Rand) {
	for wave := 0; submitting.Err() == nil; wave++ {
		var ids []string
		for number := range waveSize {
			class := l.Owner.Classes[random.IntN(len(l.Owner.Classes))]
			if id := l.submit(ctx, l.Owner, class, fmt.Sprintf("wave-%d-%d", wave, number)); id != "" {
				ids = append(ids, id)
			}
		}
		control.Sleep(submitting, time.Duration(random.Int64N(int64(time.Second))))
		for _, id := range ids[:len(ids)*3/4] {
			l.cancel(ctx, l.Owner, id)
		}
		control.Sleep(submitting, waveInterval)
	}
}

func (l *Load) cancel(ctx context.Context, customer Customer, id string) {
	l.update(id, func(s *Submitted) { s.CancelRequestedAt = time.Now() })
	if _, err := l.Client.Cancel(ctx, customer.Token, id); err != nil {
		return
	}
	l.update(id, func(s *Submitted) { s.Cancelled = true })
}

// update changes the record of an accepted job.
func (l *Load) update(id string, change func(s *Submitted)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	at := slices.IndexFunc(l.submitted, func(s Submitted) bool { return s.ID == id })
	if at >= 0 {
		change(&l.submitted[at])
	}
}

func (l *Load) submitUrgent(ctx, submitting context.Context, _ *rand.Rand) {
	for number := 0; submitting.Err() == nil; number++ {
		control.Sleep(submitting, urgentPause)
		id := l.submit(ctx, l.Owner, l.Urgent, fmt.Sprintf("urgent-%d", number))
		for id != "" && ctx.Err() == nil {
			if job, err := l.Client.Job(ctx, l.Owner.Token, id); err == nil && job.Ended() {
				break
			}
			control.Sleep(ctx, pollInterval)
		}
	}
}

func (l *Load) submit(ctx context.Context, customer Customer, class, key string) string {
	submittedAt := time.Now()
	job, err := l.Client.Submit(ctx, customer.Token, class, key)
	if err != nil {
		return ""
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.submitted = append(l.submitted, Submitted{ID: job.ID, Class: class, SubmittedAt: submittedAt, Guaranteed: class == l.Urgent})
	return job.ID
}
