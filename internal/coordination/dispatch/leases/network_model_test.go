package leases_test

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// fate of one order on the network.
type fate int

const (
	arrives fate = iota
	lost
	answerLost
	late
	// refused is what a worker's machine answers once its process has crashed, and
	// what a cut may answer in its place.
	refused
)

func (i *instance) fateOf(worker string) fate {
	w := i.world
	if i.unreachable[worker] && w.refusing {
		return refused
	}
	if i.unreachable[worker] {
		return lost
	}
	if w.bootOf(worker).down {
		return refused
	}
	if w.rand.IntN(100) >= w.chaos {
		return arrives
	}
	return []fate{lost, answerLost, late}[w.rand.IntN(3)]
}

// carry takes an order to its worker; obey runs with the world locked.
func carry[T any](ctx context.Context, i *instance, worker string, obey func(b *boot, now time.Time) (T, error)) (T, error) {
	i.thaw()
	w := i.world
	w.mu.Lock()
	met := i.fateOf(worker)
	there := time.Duration(1+w.rand.IntN(5)) * time.Millisecond
	behind := time.Duration(2000+w.rand.IntN(10000)) * time.Millisecond
	w.mu.Unlock()
	run := func(after time.Duration) (T, error) {
		time.Sleep(after)
		w.mu.Lock()
		defer w.mu.Unlock()
		w.advance(time.Now())
		b := w.bootOf(worker)
		if b.down {
			var none T
			return none, failure.New(failure.Unreachable, "down")
		}
		return obey(b, time.Now())
	}
	switch met {
	case refused:
		time.Sleep(there)
		var none T
		return none, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "connection refused")
	case arrives:
		answer, err := run(there)
		time.Sleep(there)
		return answer, err
	case answerLost:
		_, _ = run(there)
	case late:
		go func() { _, _ = run(behind) }()
	}
	<-ctx.Done()
	var none T
	return none, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, ctx.Err(), "no answer")
}

// lengthen is what a leader with the fault adds to a lease.
func (i *instance) lengthen(deadline int64) int64 {
	if i.world.plant == longLease && deadline > 0 {
		return deadline + holdFor.Milliseconds()
	}
	return deadline
}

// Look implements leases.Client.
func (i *instance) Look(ctx context.Context, target leases.Target, look leases.Look) (*leases.Report, error) {
	look.Deadline = i.lengthen(look.Deadline)
	report, err := carry(ctx, i, target.Worker, func(b *boot, now time.Time) (*leases.Report, error) {
		if err := b.accept(look.Token); err != nil {
			return nil, err
		}
		if i.world.plant == acknowledgeAtOnce {
			look.Acknowledged = b.ended
		}
		b.extend(look.Deadline, now)
		return b.report(look, now), nil
	})
	if err != nil || len(report.Ends) > 0 {
		return report, err
	}
	return i.held(target.Worker, look, report), nil
}

// held is the answer of a worker that waits for an end.
func (i *instance) held(worker string, look leases.Look, report *leases.Report) *leases.Report {
	const step = 100 * time.Millisecond
	w := i.world
	for waited := time.Duration(0); waited < look.Wait && len(report.Ends) == 0; waited += step {
		time.Sleep(step)
		w.mu.Lock()
		w.advance(time.Now())
		if b := w.bootOf(worker); !b.down {
			report = b.report(look, time.Now())
		}
		w.mu.Unlock()
	}
	return report
}

// Start implements leases.Client.
func (i *instance) Start(ctx context.Context, target leases.Target, start leases.Start) (int64, error) {
	start.Deadline = i.lengthen(start.Deadline)
	return carry(ctx, i, target.Worker, func(b *boot, now time.Time) (int64, error) { return b.start(start, now) })
}

// Stop implements leases.Client.
func (i *instance) Stop(ctx context.Context, target leases.Target, stop leases.Stop) (int64, error) {
	clock, err := carry(ctx, i, target.Worker, func(b *boot, now time.Time) (int64, error) {
		return b.stop(stop, now, time.Duration(i.world.rand.IntN(400))*time.Millisecond)
	})
	if err == nil && i.world.plant == stopIsReport {
		clock = 0
	}
	return clock, err
}
