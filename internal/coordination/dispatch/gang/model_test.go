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

// model simulates a leader, an instance that workers announce themselves to, and workers,
// with the production implementations of the control state and the task tables. Each
// message between them is held until a test delivers it. Each participant has its own
// clock, which runs up to 1% fast or slow.
type model struct {
	elapsed time.Duration
	state   *store.State
	leader  *leader
	deposed *leader
	// standby follows the log and becomes the next leader.
	standby  *leader
	instance followerInstance
	// otherInstance is the instance that workers switch to when an answer has TryOther;
	// nil for none.
	otherInstance *followerInstance
	workers       []*workerModel
	commands      []pendingCommand
	announcements []pendingAnnouncement
	replies       []pendingReply
	reserved      map[api.TaskRef]bool
	// onDeliver is called before each delivery of a command. It gets and returns whether
	// the command arrives and whether its answer arrives.
	onDeliver func(arrives, answered bool) (bool, bool)
	// completions holds the runs of each task that completed.
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

func (c clock) at(elapsed time.Duration) time.Time {
	return epochStart.Add(time.Duration(float64(elapsed) * float64(c)))
}

type leader struct {
	machine *gang.Machine
	clock   clock
	// state and deposedAt are set for a deposed leader, which sees no newer state.
	state     *store.State
	deposedAt time.Duration
	answers   []gang.Answer
}

// followerInstance follows the log and answers announcements. Its state was confirmed at
// the time confirmed.
type followerInstance struct {
	clock     clock
	state     *store.State
	confirmed time.Duration
	// partitioned instances receive announcements but no newer state.
	partitioned bool
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
	// A partitioned worker receives no commands; a delayed one receives commands and
	// answers late. Both still announce themselves.
	partitioned, delayed bool
	// usesOther is set if the worker announces itself to otherInstance.
	usesOther bool
}

type pendingCommand struct {
	command gang.Command
	from    *leader
}

type pendingAnnouncement struct {
	worker       *workerModel
	announcement *api.Announcement
}

type pendingReply struct {
	pendingAnnouncement pendingAnnouncement
	reply               *api.AnnounceReply
}

func newModel(newClock func() clock, workers int) *model {
	m := &model{state: store.New(), reserved: map[api.TaskRef]bool{}, completions: map[taskName]map[completion]bool{}}
	m.leader = &leader{machine: gang.New(config), clock: newClock()}
	m.standby = &leader{machine: gang.New(config), clock: newClock()}
	m.instance = followerInstance{clock: newClock(), state: m.state}
	for i := range workers {
		m.workers = append(m.workers, &workerModel{id: fmt.Sprint("w", i), clock: newClock(), options: tasks.Options{Speed: 1}})
		m.restart(i)
	}
	return m
}

func exactClock() clock { return 1 }

func (m *model) restart(i int) {
	w := m.workers[i]
	w.incarnation++
	w.options.Incarnation = w.incarnation
	w.table = tasks.New(w.options)
	w.up = true
}

func (m *model) apply(command *controlpb.Command) {
	command.TimeMs = m.leader.clock.at(m.elapsed).UnixMilli()
	m.state, _ = m.state.Apply(m.state.Index()+1, command)
}

func (m *model) submit(job *controlpb.Job) {
	m.apply(&controlpb.Command{Op: &controlpb.Command_Submit{Submit: &controlpb.SubmitJob{Job: job}}})
}

// schedule places waiting jobs in order (first fit) on workers with two accelerators
// each.
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
		if job.State != controlpb.JobState_JOB_STATE_WAITING || job.NotBeforeMs > m.leader.clock.at(m.elapsed).UnixMilli() {
			continue
		}
		if placements := m.place(job, taken); placements != nil {
			plan.Assignments = append(plan.Assignments, &controlpb.Assignment{Job: job.Id, Epoch: job.Epoch, Placements: placements})
		}
	}
	m.apply(&controlpb.Command{Op: &controlpb.Command_Plan{Plan: plan}})
}

func (m *model) place(job *controlpb.Job, taken map[store.Accelerator]bool) []*controlpb.Placement {
	var placements []*controlpb.Placement
	var chosen []store.Accelerator
	for _, w := range m.workers {
		for number := range uint32(2) {
			accelerator := store.Accelerator{Worker: w.id, Number: number}
			if len(placements) < int(job.Tasks) && !taken[accelerator] && m.live(w) {
				chosen = append(chosen, accelerator)
				placements = append(placements, &controlpb.Placement{Task: uint32(len(placements)), Worker: w.id, Accelerators: []uint32{number}, Incarnation: w.announced.Incarnation})
			}
		}
	}
	if len(placements) < int(job.Tasks) {
		return nil
	}
	for _, accelerator := range chosen {
		taken[accelerator] = true
	}
	return placements
}

func (m *model) live(w *workerModel) bool { return w.announced != nil && m.elapsed < w.expires }

// step runs one step of a leader. Its moves are committed, or lost if commit is false or
// the leader is deposed.
func (m *model) step(l *leader, commit bool) {
	in := &gang.Input{Now: l.clock.at(m.elapsed), Answers: l.answers, Quarantined: func(string) bool { return false }}
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
		m.commands = append(m.commands, pendingCommand{command: command, from: l})
	}
	if out.Batch != nil && commit && l == m.leader {
		m.apply(&controlpb.Command{Op: &controlpb.Command_BatchMove{BatchMove: out.Batch}})
	}
}

// replaceLeader installs a new leader without any recorded state. The old one continues
// until its last leadership confirmation exceeds FreshnessBound.
func (m *model) replaceLeader(c clock) {
	m.deposed = m.leader
	m.deposed.state = m.state
	m.deposed.deposedAt = m.elapsed
	m.leader = &leader{machine: gang.New(config), clock: c}
}

// promoteStandby makes the standby, which has followed the log, the leader, and the
// previous leader the standby.
func (m *model) promoteStandby() {
	previous, next := m.leader, m.standby
	m.replaceLeader(next.clock)
	m.leader.machine = next.machine.NextTerm()
	m.standby = &leader{machine: previous.machine.NextTerm(), clock: previous.clock}
}

func (m *model) followLog() {
	m.standby.machine.ObserveStops(m.standby.clock.at(m.elapsed), m.state.ActiveJobs())
}

func (m *model) deposedStillLeads() bool {
	if m.deposed == nil {
		return false
	}
	return m.deposed.clock.at(m.elapsed).Sub(m.deposed.clock.at(m.deposed.deposedAt)) <= config.FreshnessBound
}

func (m *model) worker(id string) *workerModel {
	i := slices.IndexFunc(m.workers, func(w *workerModel) bool { return w.id == id })
	return m.workers[i]
}

// deliver delivers the nth command to its worker. The command or its answer may be lost.
func (m *model) deliver(n int, arrives, answerArrives bool) {
	pending := m.commands[n]
	m.commands = slices.Delete(m.commands, n, n+1)
	if m.onDeliver != nil {
		arrives, answerArrives = m.onDeliver(arrives, answerArrives)
	}
	answer := gang.Answer{Kind: pending.command.Kind, Ref: pending.command.Task.TaskRef}
	noAnswer := failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, nil, "no answer")
	w := m.worker(pending.command.Worker)
	var reply *api.TaskAnswer
	failed := noAnswer
	if arrives && w.up {
		reply, failed = m.execute(w, &pending.command)
	}
	if !answerArrives {
		reply, failed = nil, noAnswer
	}
	answer.Err = failed
	if reply != nil {
		answer.Phase, answer.Incarnation, answer.CheckpointedMs = reply.Phase, reply.Incarnation, reply.CheckpointedMs
	}
	pending.from.answers = append(pending.from.answers, answer)
}

func (m *model) execute(w *workerModel, command *gang.Command) (*api.TaskAnswer, *failure.Error) {
	now := w.clock.at(m.elapsed)
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
	version, reports := w.table.Announce(w.clock.at(m.elapsed))
	m.announcements = append(m.announcements, pendingAnnouncement{worker: w, announcement: &api.Announcement{
		ID: w.id, Incarnation: w.incarnation, Version: version, Tasks: reports,
	}})
}

// receiveAnnouncement lets the worker's instance receive and answer the nth announcement.
func (m *model) receiveAnnouncement(n int) {
	received := m.announcements[n]
	m.announcements = slices.Delete(m.announcements, n, n+1)
	w := received.worker
	upstream := received.announcement.Upstream(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, 0)
	old := w.announced
	if old == nil || upstream.Incarnation > old.Incarnation || (upstream.Incarnation == old.Incarnation && upstream.Version > old.Version) {
		w.announced = upstream
		w.expires = m.elapsed + 3*config.AnnounceEvery
	}
	f := &m.instance
	if w.usesOther {
		f = m.otherInstance
	}
	age := f.clock.at(m.elapsed).Sub(f.clock.at(f.confirmed))
	reply := renewal.Answer(f.state, age <= config.FreshnessBound, received.announcement.Tasks)
	reply.LeaseMs = config.Lease.Milliseconds()
	m.replies = append(m.replies, pendingReply{pendingAnnouncement: received, reply: reply})
}

func (m *model) receiveReply(n int) {
	received := m.replies[n]
	m.replies = slices.Delete(m.replies, n, n+1)
	w := received.pendingAnnouncement.worker
	if w.up && w.incarnation == received.pendingAnnouncement.announcement.Incarnation {
		w.table.Take(w.clock.at(m.elapsed), received.pendingAnnouncement.announcement.Version, received.reply)
		if received.reply.TryOther && m.otherInstance != nil {
			w.usesOther = !w.usesOther
		}
	}
}

func (m *model) follow() { m.instance.follow(m) }

func (f *followerInstance) follow(m *model) { f.state, f.confirmed = m.state, m.elapsed }

// round simulates half a second in which all messages are delivered that the current
// faults let through.
func (m *model) round() {
	m.elapsed += 500 * time.Millisecond
	for _, f := range []*followerInstance{&m.instance, m.otherInstance} {
		if f != nil && !f.partitioned {
			f.follow(m)
		}
	}
	for _, w := range m.workers {
		if w.up {
			m.announce(w)
		}
	}
	for len(m.announcements) > 0 {
		m.receiveAnnouncement(0)
	}
	for n := len(m.replies) - 1; n >= 0; n-- {
		if !m.replies[n].pendingAnnouncement.worker.delayed {
			m.receiveReply(n)
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
		if !w.delayed {
			m.deliver(n, !w.partitioned, true)
		}
	}
}

// heal ends all faults and restarts workers that are down.
func (m *model) heal() {
	m.instance.partitioned = false
	if m.otherInstance != nil {
		m.otherInstance.partitioned = false
	}
	for i, w := range m.workers {
		w.partitioned, w.delayed = false, false
		if !w.up {
			m.restart(i)
		}
	}
}
