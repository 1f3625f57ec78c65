package gang_test

import (
	"fmt"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/renewal"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/standin/tasks"
	"pinewinch.example/pinewinch/internal/state/store"
)

var config = gang.Config{Lease: 10 * time.Second, FreshnessBound: 3 * time.Second, AnnounceEvery: time.Second, CommandTimeout: 2 * time.Second}

var epochStart = time.Unix(1_800_000_000, 0)

// model is a real state, a leader, one entry instance and workers with real
// tables of tasks; every message between them waits until a test delivers it.
// Each has a clock of its own, up to 1% fast or slow.
type model struct {
	real    time.Duration
	state   *store.State
	leader  *leader
	deposed *leader
	// standby follows the log, to lead next.
	standby *leader
	entry   entry
	// other is an instance that workers turn to when they are asked to; nil for none.
	other    *entry
	workers  []*workerModel
	commands []flight
	notices  []notice
	replies  []answered
	reserved map[api.TaskRef]bool
	// before runs ahead of each delivery of a command and may change its fate.
	before func(arrives, answered bool) (bool, bool)
	// completions holds the runs of each task that ended well.
	completions map[taskName]map[completion]bool
}

type taskName struct {
	job  string
	task uint32
}

type completion struct {
	epoch       uint64
	incarnation int64
}

type clock float64

func (c clock) at(real time.Duration) time.Time {
	return epochStart.Add(time.Duration(float64(real) * float64(c)))
}

type leader struct {
	machine *gang.Machine
	clock   clock
	// state and since are of a deposed leader: it sees no newer state.
	state   *store.State
	since   time.Duration
	answers []gang.Answer
}

// entry follows the log; what it holds was confirmed at a moment.
type entry struct {
	clock     clock
	state     *store.State
	confirmed time.Duration
	// cut entries hear workers but nothing new of the log.
	cut bool
}

type workerModel struct {
	id          string
	clock       clock
	up          bool
	options     tasks.Options
	table       *tasks.Table
	incarnation int64
	announced   *peerpb.Upstream
	expires     time.Duration
	// cut workers get no command; held ones get commands and answers late. Both
	// still announce themselves.
	cut, held bool
	// elsewhere tells that it announces itself to the other instance.
	elsewhere bool
}

type flight struct {
	command gang.Command
	from    *leader
}

type notice struct {
	worker       *workerModel
	announcement *api.Announcement
}

type answered struct {
	notice notice
	reply  *api.AnnounceReply
}

func newModel(clocks func() clock, workers int) *model {
	m := &model{state: store.New(), reserved: map[api.TaskRef]bool{}, completions: map[taskName]map[completion]bool{}}
	m.leader = &leader{machine: gang.New(config), clock: clocks()}
	m.standby = &leader{machine: gang.New(config), clock: clocks()}
	m.entry = entry{clock: clocks(), state: m.state}
	for i := range workers {
		m.workers = append(m.workers, &workerModel{id: fmt.Sprint("w", i), clock: clocks(), options: tasks.Options{Speed: 1}})
		m.restart(i)
	}
	return m
}

func steady() clock { return 1 }

func (m *model) restart(i int) {
	w := m.workers[i]
	w.incarnation++
	w.options.Incarnation = w.incarnation
	w.table = tasks.New(w.options)
	w.up = true
}

func (m *model) apply(command *controlpb.Command) {
	command.TimeMs = m.leader.clock.at(m.real).UnixMilli()
	m.state, _ = m.state.Apply(m.state.Index()+1, command)
}

func (m *model) submit(job *controlpb.Job) {
	m.apply(&controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}})
}

// schedule places waiting jobs first come, first fit, on workers with two
// accelerators each.
func (m *model) schedule() {
	taken := map[store.Accelerator]bool{}
	for _, job := range m.state.ActiveJobs() {
		for _, p := range job.Placements {
			for _, number := range p.Accelerators {
				taken[store.Accelerator{Worker: p.Worker, Number: number}] = true
			}
		}
	}
	plan := &controlpb.CommitPlan{}
	for _, job := range m.state.ActiveJobs() {
		if job.State != controlpb.JobState_JOB_STATE_WAITING || job.NotBeforeMs > m.leader.clock.at(m.real).UnixMilli() {
			continue
		}
		if placements := m.fit(job, taken); placements != nil {
			plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
		}
	}
	m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: plan}})
}

func (m *model) fit(job *controlpb.Job, taken map[store.Accelerator]bool) []*controlpb.Placement {
	var placements []*controlpb.Placement
	var own []store.Accelerator
	for _, w := range m.workers {
		for number := range uint32(2) {
			accelerator := store.Accelerator{Worker: w.id, Number: number}
			if len(placements) < int(job.Tasks) && !taken[accelerator] && m.live(w) {
				own = append(own, accelerator)
				placements = append(placements, &controlpb.Placement{Task: uint32(len(placements)), Worker: w.id, Accelerators: []uint32{number}, Incarnation: w.announced.Incarnation})
			}
		}
	}
	if len(placements) < int(job.Tasks) {
		return nil
	}
	for _, accelerator := range own {
		taken[accelerator] = true
	}
	return placements
}

func (m *model) live(w *workerModel) bool { return w.announced != nil && m.real < w.expires }

// step lets a leader decide; its moves are committed, or lost with the answer.
func (m *model) step(l *leader, commit bool) {
	in := &gang.Input{Now: l.clock.at(m.real), Answers: l.answers, Quarantined: func(string) bool { return false }}
	l.answers = nil
	in.Jobs = m.state.ActiveJobs()
	if l.state != nil {
		in.Jobs = l.state.ActiveJobs()
	}
	for _, w := range m.workers {
		if m.live(w) {
			in.Workers = append(in.Workers, w.announced)
		}
	}
	out := l.machine.Step(in)
	for _, command := range out.Commands {
		m.commands = append(m.commands, flight{command: command, from: l})
	}
	if out.Batch != nil && commit && l == m.leader {
		m.apply(&controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: out.Batch}})
	}
}

// newLeader takes over with empty memory. The old one goes on until it notices
// that nobody confirms its leadership any more.
func (m *model) newLeader(c clock) {
	m.deposed = m.leader
	m.deposed.state = m.state
	m.deposed.since = m.real
	m.leader = &leader{machine: gang.New(config), clock: c}
}

// alternate lets the standby lead, which has followed the log so far, and the leader
// before it follow.
func (m *model) alternate() {
	before, next := m.leader, m.standby
	m.newLeader(next.clock)
	m.leader.machine = next.machine.NextTerm()
	m.standby = &leader{machine: before.machine.NextTerm(), clock: before.clock}
}

func (m *model) followLog() {
	m.standby.machine.Follow(m.standby.clock.at(m.real), m.state.ActiveJobs())
}

func (m *model) deposedLeads() bool {
	if m.deposed == nil {
		return false
	}
	return m.deposed.clock.at(m.real).Sub(m.deposed.clock.at(m.deposed.since)) <= config.FreshnessBound
}

func (m *model) worker(id string) *workerModel {
	i := slices.IndexFunc(m.workers, func(w *workerModel) bool { return w.id == id })
	return m.workers[i]
}

// deliver hands the nth command to its worker; the answer may be lost.
func (m *model) deliver(n int, arrives, answerArrives bool) {
	f := m.commands[n]
	m.commands = slices.Delete(m.commands, n, n+1)
	if m.before != nil {
		arrives, answerArrives = m.before(arrives, answerArrives)
	}
	answer := gang.Answer{Kind: f.command.Kind, Ref: f.command.Task.TaskRef}
	lost := failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "no answer")
	w := m.worker(f.command.Worker)
	var obeyed *api.TaskAnswer
	refused := lost
	if arrives && w.up {
		obeyed, refused = m.obey(w, &f.command)
	}
	if !answerArrives {
		obeyed, refused = nil, lost
	}
	answer.Err = refused
	if obeyed != nil {
		answer.Phase, answer.Incarnation, answer.CheckpointedMs = obeyed.Phase, obeyed.Incarnation, obeyed.CheckpointedMs
	}
	f.from.answers = append(f.from.answers, answer)
}

func (m *model) obey(w *workerModel, command *gang.Command) (*api.TaskAnswer, *failure.Error) {
	now := w.clock.at(m.real)
	switch command.Kind {
	case gang.Reserve:
		answer, err := w.table.Reserve(now, &command.Task)
		if err == nil {
			m.reserved[command.Task.TaskRef] = true
		}
		return answer, err
	case gang.Start:
		return w.table.Start(now, &command.Task)
	}
	return w.table.Stop(now, &command.Task)
}

func (m *model) announce(w *workerModel) {
	version, reports := w.table.Announce(w.clock.at(m.real))
	m.notices = append(m.notices, notice{worker: w, announcement: &api.Announcement{
		ID: w.id, Incarnation: w.incarnation, Version: version, Tasks: reports,
	}})
}

// hear lets the entry instance take the nth announcement and answer it.
func (m *model) hear(n int) {
	got := m.notices[n]
	m.notices = slices.Delete(m.notices, n, n+1)
	w := got.worker
	upstream := got.announcement.Upstream(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, 0)
	old := w.announced
	if old == nil || upstream.Incarnation > old.Incarnation || (upstream.Incarnation == old.Incarnation && upstream.Version > old.Version) {
		w.announced = upstream
		w.expires = m.real + 3*config.AnnounceEvery
	}
	e := &m.entry
	if w.elsewhere {
		e = m.other
	}
	age := e.clock.at(m.real).Sub(e.clock.at(e.confirmed))
	reply := renewal.Answer(e.state, age <= config.FreshnessBound, got.announcement.Tasks)
	reply.LeaseMs = config.Lease.Milliseconds()
	m.replies = append(m.replies, answered{notice: got, reply: reply})
}

func (m *model) takeReply(n int) {
	got := m.replies[n]
	m.replies = slices.Delete(m.replies, n, n+1)
	w := got.notice.worker
	if w.up && w.incarnation == got.notice.announcement.Incarnation {
		w.table.Take(w.clock.at(m.real), got.notice.announcement.Version, got.reply)
		if got.reply.TryOther && m.other != nil {
			w.elsewhere = !w.elsewhere
		}
	}
}

func (m *model) follow() { m.entry.follow(m) }

func (e *entry) follow(m *model) { e.state, e.confirmed = m.state, m.real }

// round is half a second in which the network delivers all that its faults let
// through.
func (m *model) round() {
	m.real += 500 * time.Millisecond
	for _, e := range []*entry{&m.entry, m.other} {
		if e != nil && !e.cut {
			e.follow(m)
		}
	}
	for _, w := range m.workers {
		if w.up {
			m.announce(w)
		}
	}
	for len(m.notices) > 0 {
		m.hear(0)
	}
	for n := len(m.replies) - 1; n >= 0; n-- {
		if !m.replies[n].notice.worker.held {
			m.takeReply(n)
		}
	}
	m.schedule()
	for range 3 {
		m.step(m.leader, true)
		m.deliverAll()
	}
	m.followLog()
}

func (m *model) deliverAll() {
	for n := len(m.commands) - 1; n >= 0; n-- {
		w := m.worker(m.commands[n].command.Worker)
		if !w.held {
			m.deliver(n, !w.cut, true)
		}
	}
}

// heal ends every fault.
func (m *model) heal() {
	m.entry.cut = false
	if m.other != nil {
		m.other.cut = false
	}
	for i, w := range m.workers {
		w.cut, w.held = false, false
		if !w.up {
			m.restart(i)
		}
	}
}
