package leases_test

import (
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// gangPatience is how long a member waits for the others.
	gangPatience = 3 * time.Second
	// longestHold is what a worker shortens a lease to.
	longestHold = 10 * time.Second
)

// modelRun is one run that is alive on a worker.
type modelRun struct {
	run     uint64
	began   time.Time
	stopsAt time.Time
}

// boot is one life of a worker, by the rules that workers keep: one lease for all
// that runs there, by its own clock; the highest token; ends listed until they are
// acknowledged; no run that is not higher than one stopped or ended there.
type boot struct {
	world   *world
	id      string
	began   time.Time
	rate    float64
	down    bool
	token   uint64
	lease   int64
	lapsed  time.Time
	running map[string]*modelRun
	barred  map[string]uint64
	ends    []leases.End
	ended   uint64
	acked   uint64
	endedAt map[uint64]time.Time
}

func newBoot(w *world, id string, rate float64) *boot {
	return &boot{
		world: w, id: id, began: time.Now(), rate: rate,
		running: map[string]*modelRun{}, barred: map[string]uint64{}, endedAt: map[uint64]time.Time{},
	}
}

func (b *boot) clockAt(now time.Time) int64 {
	return int64(float64(now.Sub(b.began)) * b.rate / float64(time.Millisecond))
}

// leaseEnd is the moment at which the lease runs out.
func (b *boot) leaseEnd() time.Time {
	return b.began.Add(time.Duration(float64(b.lease) * float64(time.Millisecond) / b.rate))
}

// noteLapse notes that the lease has run out: also where nothing ran, since it says
// that nobody relied on this worker for a while.
func (b *boot) noteLapse(now time.Time) {
	if end := b.leaseEnd(); !end.After(now) && end.After(b.lapsed) {
		b.lapsed = end
	}
}

func (b *boot) extend(deadline int64, now time.Time) {
	b.noteLapse(now)
	most := b.clockAt(now) + longestHold.Milliseconds()
	if granted := min(deadline, most); granted > b.lease {
		b.lease = granted
		b.world.tellAt(now, "%s holds until %d ms", b.id, b.leaseEnd().Sub(b.world.begun).Milliseconds())
	}
}

func (b *boot) accept(token uint64) error {
	if token < b.token {
		return failure.New(failure.StaleEpoch, "fence")
	}
	b.token = token
	return nil
}

func (b *boot) start(order leases.Start, now time.Time) (int64, error) {
	if err := b.accept(order.Token); err != nil {
		return 0, err
	}
	b.world.asked(order)
	clock := b.clockAt(now)
	if alive := b.running[order.Task]; alive != nil && alive.run == order.Run {
		b.extend(order.Deadline, now)
		return clock, nil
	}
	if order.Deadline < clock {
		return 0, failure.New(failure.DeadlinePassed, "late")
	}
	b.extend(order.Deadline, now)
	if order.Run <= b.barred[order.Task] || b.running[order.Task] != nil {
		return 0, failure.New(failure.StaleEpoch, "old")
	}
	b.running[order.Task] = &modelRun{run: order.Run, began: now}
	b.world.began(b, order.Task, order.Run, now)
	return clock, nil
}

func (b *boot) stop(order leases.Stop, now time.Time, takes time.Duration) (int64, error) {
	if err := b.accept(order.Token); err != nil {
		return 0, err
	}
	b.barred[order.Task] = max(b.barred[order.Task], order.Run)
	if alive := b.running[order.Task]; alive != nil && alive.run <= order.Run && alive.stopsAt.IsZero() {
		alive.stopsAt = now.Add(takes)
	}
	return b.clockAt(now), nil
}

func (b *boot) report(look leases.Look, now time.Time) *leases.Report {
	b.acknowledge(look.Acknowledged, now)
	report := &leases.Report{Clock: b.clockAt(now)}
	for task, alive := range b.running {
		report.Running = append(report.Running, leases.Running{Task: task, Run: alive.run, Checkpoint: b.world.checkpointOf(task, alive.run)})
	}
	for _, end := range b.ends {
		if end.Number > b.acked {
			report.Ends = append(report.Ends, end)
		}
	}
	return report
}

// acknowledge forgets ends, and tells the checks which good ones were taken note of.
func (b *boot) acknowledge(number uint64, now time.Time) {
	b.noteLapse(now)
	for _, end := range b.ends {
		if end.Number <= b.acked || end.Number > number {
			continue
		}
		if b.lapsed.Before(b.endedAt[end.Number]) {
			b.world.noted(b, end)
		}
	}
	if number > b.acked {
		b.world.tellAt(now, "%s forgets ends up to %d, lapsed %v", b.id, number, b.lapsed.Sub(b.world.begun))
	}
	b.acked = max(b.acked, min(number, b.ended))
}

// end takes a run off the worker and lists how it ended.
func (b *boot) end(task string, how leases.How, now time.Time) {
	alive := b.running[task]
	delete(b.running, task)
	b.barred[task] = max(b.barred[task], alive.run)
	b.ended++
	b.ends = append(b.ends, leases.End{Number: b.ended, Task: task, Run: alive.run, How: how, Checkpoint: b.world.checkpointOf(task, alive.run)})
	b.endedAt[b.ended] = now
	b.world.tellAt(now, "%s ends run %d of %s, way %d, number %d", b.id, alive.run, task, how, b.ended)
	if how == leases.Done {
		b.world.done(b, task, alive.run)
	}
}

// lapse kills everything when the lease is over.
func (b *boot) lapse(now time.Time) {
	b.lapsed = now
	for task := range b.running {
		b.end(task, leases.Lapsed, now)
	}
}

func (b *boot) crash() {
	b.down = true
	b.running = map[string]*modelRun{}
}
