package dispatch_test

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/leases"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// simulatedRun is one active run.
type simulatedRun struct {
	number  uint64
	endsAt  time.Time
	crashes bool
	fails   bool
}

// machine runs one worker after the other at one address: each crash ends a life, and the
// next one has a new id.
type machine struct {
	address string
	// fails is set if each run on the machine fails after failDelay; rack is r if it is empty.
	fails bool
	rack  string
	// labels are those of the worker.
	labels []string
	// dataCentre is dc if it is empty; lastStart is when a run last began there.
	dataCentre string
	lastStart  time.Time
	life       int
	up         bool
	crashedAt  time.Time
	token      uint64
	running    map[string]*simulatedRun
	ends       []leases.End
	endCount   uint64
	acked      uint64
	// endedAt has the clock at each end, lapsed the latest end of a lease.
	endedAt map[uint64]int64
	lapsed  int64
	// lease is when the lease expires, by the machine's clock.
	lease int64
	// silent machines run on, but no request reaches them.
	silent bool
	// keepsID gives all lives of the machine one id; born then tells them apart, and the
	// clock begins anew with each.
	keepsID bool
	born    time.Time
	// dayTime is what the machine took for the time of day at its start.
	dayTime time.Time
	// jump is by how much the machine's time of day is off.
	jump time.Duration
	// cores is what the machine has.
	cores     uint32
	announced *peerpb.Upstream
	// crashedLife is the announcement of the life before this one.
	crashedLife *peerpb.Upstream
}

func (m *machine) id() string {
	if m.keepsID {
		return m.address
	}
	return fmt.Sprintf("%s-%d", m.address, m.life)
}

// incarnation returns what the machine says of its current life.
func (m *machine) incarnation() int64 {
	if m.keepsID {
		return m.dayTime.UnixMilli()
	}
	return 1
}

// announcement returns the announcement of the current life; it stays the same while nothing
// that it says has changed.
func (machine *machine) announcement() *peerpb.Upstream {
	if machine.announced == nil || machine.announced.Id != machine.id() || machine.announced.Incarnation != machine.incarnation() {
		machine.announced = &peerpb.Upstream{
			Id: machine.id(), Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Address: machine.address, DataCentre: cmp.Or(machine.dataCentre, "dc"), Rack: cmp.Or(machine.rack, "r"),
			Cores: machine.cores, MemoryMb: 1 << 17, Accelerators: 8, Services: []string{"s"}, Labels: machine.labels, Incarnation: machine.incarnation(), Version: 1,
		}
	}
	return machine.announced
}

// reach returns the machine at an address if the addressed life answers there; the caller
// holds mu.
func (m *machines) reach(target leases.Target, token uint64) (*machine, error) {
	at := slices.IndexFunc(m.list, func(machine *machine) bool { return machine.address == target.Address })
	machine := m.list[at]
	switch {
	case !machine.up:
		return nil, failure.New(failure.Unreachable, "connection refused")
	case machine.silent:
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "no answer")
	case machine.id() != target.Worker:
		return nil, failure.New(failure.WorkerVanished, "another worker incarnation answers")
	case token < machine.token:
		return nil, failure.New(failure.StaleEpoch, "fence")
	}
	machine.token = token
	return machine, nil
}

func (machine *machine) clock() int64 { return time.Since(machine.born).Milliseconds() }

// advance ends the runs that are due, or whose lease has expired; the caller holds mu.
func (machine *machine) advance() {
	if machine.clock() >= machine.lease {
		machine.lapsed = max(machine.lapsed, machine.lease)
	}
	for task, run := range machine.running {
		switch {
		case !run.crashes && !time.Now().Before(run.endsAt) && run.endsAt.Sub(machine.born).Milliseconds() < machine.lease:
			machine.end(task, outcomes[run.fails])
		case machine.clock() >= machine.lease:
			machine.end(task, leases.LeaseExpired)
		}
	}
}

// outcomes has how a run ends, by whether it fails.
var outcomes = map[bool]leases.Outcome{false: leases.Done, true: leases.Failed}

// extendLease grants a lease by the machine's clock, of limited length.
func (machine *machine) extendLease(deadline int64) {
	machine.lease = max(machine.lease, min(deadline, machine.clock()+maxSimulatedLease.Milliseconds()))
}

// acknowledge makes a machine forget ends, also later ones up to that number. A successful
// end counts unless the lease has lapsed after it; the caller holds mu.
func (m *machines) acknowledge(machine *machine, number uint64) {
	for _, end := range machine.ends {
		if end.Outcome == leases.Done && end.Number <= number && end.Number > machine.acked && machine.endedAt[end.Number] > machine.lapsed {
			m.done[end.Task] = true
		}
	}
	machine.acked = max(machine.acked, number)
}

func (machine *machine) end(task string, outcome leases.Outcome) {
	machine.endCount++
	machine.endedAt[machine.endCount] = min(machine.clock(), machine.running[task].endsAt.Sub(machine.born).Milliseconds())
	machine.ends = append(machine.ends, leases.End{Number: machine.endCount, Task: task, Run: machine.running[task].number, Outcome: outcome})
	delete(machine.running, task)
}

// Poll implements leases.Client: it waits for an end, or for the worker to crash.
func (m *machines) Poll(ctx context.Context, target leases.Target, request leases.Poll) (*leases.Report, error) {
	time.Sleep(time.Millisecond)
	for deadline := time.Now().Add(request.Wait); ; time.Sleep(5 * time.Millisecond) {
		report, err := m.report(target, request)
		if err != nil && failure.Is(err, failure.OutcomeUnknown) {
			<-ctx.Done()
			return nil, err
		}
		if err != nil || len(report.Ends) > 0 || !time.Now().Before(deadline) || ctx.Err() != nil {
			return report, err
		}
	}
}

func (m *machines) report(target leases.Target, request leases.Poll) (*leases.Report, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, err := m.reach(target, request.Token)
	if err != nil {
		return nil, err
	}
	machine.advance()
	machine.extendLease(request.Deadline)
	m.acknowledge(machine, request.Acknowledged)
	report := &leases.Report{Clock: machine.clock()}
	if machine.keepsID {
		report.Incarnation = machine.incarnation()
	}
	for task, run := range machine.running {
		report.Running = append(report.Running, leases.Running{Task: task, Run: run.number})
	}
	for _, end := range machine.ends {
		if end.Number > machine.acked {
			report.Ends = append(report.Ends, end)
		}
	}
	return report, nil
}

// Start implements leases.Client.
func (m *machines) Start(_ context.Context, target leases.Target, start leases.Start) (int64, error) {
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, err := m.reach(target, start.Token)
	if err != nil {
		return 0, err
	}
	machine.advance()
	machine.extendLease(start.Deadline)
	if machine.running[start.Task] != nil {
		return machine.clock(), nil
	}
	for _, other := range m.list {
		other.advance()
		if other.up && other.running[start.Task] != nil {
			m.violations = append(m.violations, start.Task+" runs twice")
		}
	}
	if m.done[start.Task] {
		m.violations = append(m.violations, start.Task+" started after it was done")
	}
	m.starts[start.Task]++
	m.startedOn[startKey(start.Task, start.Run, target.Worker)] = true
	if m.crashes[start.Task] >= 3 {
		m.startsAfterCrashes[start.Task]++
	}
	run := &simulatedRun{number: start.Run, endsAt: time.Now().Add(m.taskTime), crashes: start.Specification == crashing}
	if machine.fails {
		run.fails, run.endsAt = true, time.Now().Add(failDelay)
	}
	machine.running[start.Task], machine.lastStart = run, time.Now()
	if run.crashes {
		time.AfterFunc(crashDelay, func() {
			m.mu.Lock()
			defer m.mu.Unlock()
			if machine.running[start.Task] == run {
				m.crash(machine)
			}
		})
	}
	return machine.clock(), nil
}

func startKey(task string, run uint64, worker string) string {
	return fmt.Sprint(task, " ", run, " ", worker)
}

// Stop implements leases.Client.
func (m *machines) Stop(_ context.Context, target leases.Target, stop leases.Stop) (int64, error) {
	time.Sleep(time.Millisecond)
	m.mu.Lock()
	defer m.mu.Unlock()
	machine, err := m.reach(target, stop.Token)
	if err != nil {
		return 0, err
	}
	if run := machine.running[stop.Task]; run != nil && run.number == stop.Run {
		machine.end(stop.Task, leases.Stopped)
	}
	return machine.clock(), nil
}
