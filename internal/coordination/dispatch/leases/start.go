package leases

import (
	"context"
	"expvar"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/latency"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// startTimeout bounds one sending of a start. A response normally takes milliseconds, and the
	// other members of a gang wait for it.
	startTimeout = 600 * time.Millisecond
	// maxSendings limits how often a start is sent. With startTimeout they fit into the time that a command may
	// take.
	maxSendings = 3
)

// startsEvacuated counts starts that were not sent because of an evacuation.
var startsEvacuated = expvar.NewInt("leases_starts_evacuated")

// startLatency measures the time from sending a start to receiving its response.
var startLatency = latency.New("leases_start")

// start sends a start command, again if a worker that may start again under its id leaves it unanswered. The first one
// may be carried out late, and by the worker's next incarnation: until then the task could not be started elsewhere.
func (s *session) start(ctx context.Context, command *api.TaskCommand) (*api.TaskAnswer, error) {
	for sending := 1; ; sending++ {
		answer, err := s.sendStart(ctx, command)
		if err == nil || !isUnanswered(failure.From(err).Code) || s.unansweredStart(command).IsZero() {
			return answer, err
		}
		if sending == maxSendings || ctx.Err() != nil || s.checkIncarnation(command.Incarnation) != nil {
			return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "the start may still be carried out")
		}
		s.logEntry().WithFields(logrus.Fields{"job": command.Job, "task": command.Task, "run": command.Epoch, "reason": err.Error()}).Info("start without an answer is sent again")
		// A worker whose connections are refused fails at once.
		control.Sleep(ctx, pollRetryDelay)
	}
}

// unansweredStart returns when the newest start of a run was sent that may still be carried out; zero for none.
func (s *session) unansweredStart(command *api.TaskCommand) time.Time {
	job, ok := s.manager.log.State().Job(command.Job)
	if !ok {
		return time.Time{}
	}
	return s.starts.unansweredSince(runKey{store.TaskName(job, command.Task), command.Epoch})
}

// sendStart sends a start command once. The run is covered by the worker's lease, which the
// command may extend, so the extension is recorded before the command is sent.
func (s *session) sendStart(ctx context.Context, command *api.TaskCommand) (*api.TaskAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.awaitFirstPoll(ctx); err != nil {
		return nil, err
	}
	if err := s.confirmIncarnation(ctx, command.Incarnation); err != nil {
		return nil, err
	}
	s.awaitRenewable(ctx)
	prepared, err := s.prepareStart(command)
	if err != nil {
		return nil, err
	}
	if prepared == nil {
		return &api.TaskAnswer{Incarnation: command.Incarnation, Phase: api.PhaseRunning}, nil
	}
	// The deadline is computed before, so that a pause after the check does not extend it.
	if err := s.manager.checkLeadership(s.term); err != nil {
		s.starts.settle(runKey{prepared.start.Task, prepared.start.Run})
		return nil, err
	}
	start, state, sent := prepared.start, prepared.state, prepared.at
	s.requestPoll()
	var clock int64
	_, err = s.roundTrip(func(target Target) (err error) {
		clock, err = s.manager.client.Start(ctx, target, start)
		return err
	})
	s.extensions.settle(prepared.extension, err, s.now())
	entry := s.commandEntry(start.Task, start.Run, state).WithField("specification_bytes", len(start.Specification))
	if start.Checkpoint != "" {
		entry = entry.WithField("checkpoint", start.Checkpoint)
	}
	if err != nil {
		f := failure.From(err)
		entry.WithFields(logrus.Fields{"code": f.Code, "detail": f.Error()}).Warn("start refused or lost")
		if !isUnanswered(f.Code) || isUnsent(f.Code) {
			s.starts.settle(runKey{start.Task, start.Run})
		}
		return nil, err
	}
	entry.Info("started")
	startLatency.Record(s.now().Sub(sent))
	s.mu.Lock()
	certain := s.observeClock(clock, prepared.incarnation)
	s.recordAnswer()
	s.mu.Unlock()
	if !certain {
		if err := s.confirmAnswer(ctx, command.Incarnation); err != nil {
			return nil, err
		}
	}
	s.starts.recordAnswer(runKey{start.Task, start.Run})
	s.recordFence(prepared.token, command.Incarnation)
	return &api.TaskAnswer{Incarnation: command.Incarnation, Phase: api.PhaseRunning}, nil
}

// confirmAnswer fails unless the given incarnation still answers after a start: the start may have been answered by the
// next one, whose lease is not the one that is counted here.
func (s *session) confirmAnswer(ctx context.Context, incarnation int64) error {
	if err := s.sendPoll(ctx, s.plainPoll()); err != nil {
		return failure.Wrap(failure.OutcomeUnknown, err, "worker %s does not answer after the start", s.worker)
	}
	return s.checkIncarnation(incarnation)
}

// preparedStart is a start that is about to be sent.
type preparedStart struct {
	start Start
	// state is the one from which the start was built.
	state *store.State
	token token
	// incarnation is the worker's, and at the time, when the lease was extended.
	incarnation int64
	at          time.Time
	// extension is what the start may do to the lease of another incarnation.
	extension *extension
}

// prepareStart builds a start and extends the lease for it. Everything that decides whether the start is sent, and what
// it contains, is read after the last wait and from a single state. The job may be stopped after that, so from before
// it is read until the lease is extended the run does not count as over. It returns nil if the run is active: the report
// that lists it would count for another start, which may be carried out late.
func (s *session) prepareStart(command *api.TaskCommand) (*preparedStart, error) {
	s.mu.Lock()
	s.preparing[command.TaskRef]++
	s.mu.Unlock()
	state := s.manager.log.State()
	start, err := s.newStart(state, command)
	token := s.tokenIn(state)
	start.Token = token.number
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.preparing[command.TaskRef]--; s.preparing[command.TaskRef] == 0 {
		delete(s.preparing, command.TaskRef)
	}
	if err != nil {
		return nil, err
	}
	if s.suspended {
		return nil, failure.New(failure.Unreachable, "the lease of worker %s is not renewed", s.worker)
	}
	if status, _ := s.tracker.Find(start.Task, start.Run); status == Active {
		return nil, nil
	}
	now := s.now()
	start.Deadline = s.tracker.ExtendLease(now, s.manager.config.Lease)
	s.lastCommand = now
	if s.life.named() {
		s.starts.record(runKey{start.Task, start.Run}, s.manager.lateStartPeriod(), now)
	}
	return &preparedStart{start: start, state: state, token: token, incarnation: s.life.incarnation, at: now, extension: s.recordExtension()}, nil
}

// isUnsent reports whether a failure shows that no connection was opened, so that nothing can arrive late.
func isUnsent(code failure.Code) bool {
	return code == failure.Unreachable || code == failure.OutOfDescriptors
}

// observeClock records the worker's clock from the answer to a command that was sent to an
// incarnation, and reports whether that one has answered: a clock that has gone back is that of a later
// one. The caller must hold the lock.
func (s *session) observeClock(clock, incarnation int64) bool {
	switch {
	case incarnation != s.life.incarnation:
		return false
	case s.life.named() && clock < s.tracker.ReportClock():
		s.life.doubt(s.now())
		s.viewStale = true
		return false
	}
	s.tracker.ObserveClock(clock, s.now())
	return true
}

// newStart builds a start command, unless the job's state has changed since the command
// was issued.
func (s *session) newStart(state *store.State, command *api.TaskCommand) (Start, error) {
	job, ok := state.Job(command.Job)
	if !ok {
		return Start{}, failure.New(failure.NotFound, "no such job")
	}
	workflow, ok := state.Workflow(job.Workflow)
	if !ok {
		return Start{}, failure.New(failure.NotFound, "no workflow %s", job.Workflow)
	}
	if isSuperseded(job, command) {
		return Start{}, s.manager.withhold(state, job, api.PathTaskStart, command)
	}
	if err := s.checkEvacuation(state, job, command); err != nil {
		return Start{}, err
	}
	return Start{
		Task:          store.TaskName(job, command.Task),
		Run:           command.Epoch,
		Specification: workflow.Specification,
		Checkpoint:    job.Checkpoint,
	}, nil
}

// checkEvacuation fails if the worker's data centre is evacuated. The plan that placed the
// task may be older than the order.
func (s *session) checkEvacuation(state *store.State, job *controlpb.Job, command *api.TaskCommand) error {
	s.mu.Lock()
	dataCentre := s.dataCentre
	s.mu.Unlock()
	if !state.Evacuated(dataCentre) {
		return nil
	}
	startsEvacuated.Add(1)
	s.commandEntry(store.TaskName(job, command.Task), command.Epoch, state).WithField("data_centre", dataCentre).Info("start withheld by an evacuation")
	return failure.New(failure.DataCentreEvacuated, "the data centre %s is evacuated", dataCentre)
}

// isSuperseded reports whether a job is no longer being started under the command's
// epoch. The job may be cancelled while its start is queued: its epoch is unchanged,
// but its workflow no longer has the specification, and the worker would receive an
// empty one.
func isSuperseded(job *controlpb.Job, command *api.TaskCommand) bool {
	return job.Epoch != command.Epoch || job.State != controlpb.JobState_JOB_STATE_STARTING
}
