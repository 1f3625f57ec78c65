package leases

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	// reserveTimeout bounds the check that a worker responds.
	reserveTimeout = 300 * time.Millisecond
	// recentAnswerAge is the maximum age of a worker's latest response at which the
	// worker is not polled again before a start.
	recentAnswerAge = 100 * time.Millisecond
	// startCertainty is the maximum age of the latest report of a worker that names its start at
	// which it is not polled again before a start.
	startCertainty = 25 * time.Millisecond
)

// Command implements dispatch.Workers.
func (m *Manager) Command(ctx context.Context, _, path string, command *api.TaskCommand) (*api.TaskAnswer, error) {
	state := m.log.State()
	job, ok := state.Job(command.Job)
	if !ok {
		return nil, failure.New(failure.NotFound, "no such job")
	}
	// The worker is looked up in the job's current placement. A command that was queued
	// until the job was placed again would reach the worker of another run.
	if job.Epoch != command.Epoch {
		return nil, m.withhold(state, job, path, command)
	}
	worker := store.PlacementOf(job, command.Task).GetWorker()
	s := m.session(worker)
	if s == nil {
		return nil, failure.New(failure.Unreachable, "worker %s is not known", worker)
	}
	switch path {
	case api.PathTaskReserve:
		return s.reserve(ctx, command)
	case api.PathTaskStart:
		return s.start(ctx, command)
	case api.PathTaskStop:
		return s.stop(ctx, job, command)
	}
	return nil, failure.New(failure.BadRequest, "unknown command %s", path)
}

// reserve checks that a worker responds before any member of a gang is started. A start
// without a response may still have been carried out, so the whole gang would have to
// wait for the worker's lease to expire, 6 s, whereas a gang that was not started can
// be placed elsewhere immediately. A worker that responded within recentAnswerAge is
// not polled.
func (s *session) reserve(ctx context.Context, command *api.TaskCommand) (*api.TaskAnswer, error) {
	answer := &api.TaskAnswer{Incarnation: command.Incarnation, Phase: api.PhaseReserved}
	if s.answeredRecently() {
		return answer, s.checkIncarnation(command.Incarnation)
	}
	if err := s.manager.checkLeadership(s.term); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if err := s.awaitFirstPoll(ctx); err != nil {
		return nil, err
	}
	if s.answeredRecently() {
		return answer, s.checkIncarnation(command.Incarnation)
	}
	if err := s.sendPoll(ctx, s.plainPoll()); err != nil {
		return nil, failure.Wrap(failure.Unreachable, err, "worker %s does not answer", s.worker)
	}
	if err := s.checkIncarnation(command.Incarnation); err != nil {
		return nil, err
	}
	return answer, nil
}

// confirmIncarnation polls the worker if the last report does not show which incarnation a start
// would reach, and fails unless it is the given one. A worker that names its start also has to have
// answered just before: a start that gets lost with it is waited out for its late arrival, 26 s.
func (s *session) confirmIncarnation(ctx context.Context, incarnation int64) error {
	s.mu.Lock()
	now := s.now()
	certain := s.life.certain(now) && (!s.life.named() || now.Sub(s.life.seenAt) <= startCertainty)
	s.mu.Unlock()
	if !certain {
		if err := s.sendPoll(ctx, s.plainPoll()); err != nil {
			return failure.Wrap(failure.Unreachable, err, "worker %s does not answer", s.worker)
		}
	}
	return s.checkIncarnation(incarnation)
}

// checkIncarnation fails if another incarnation than the given one is known to answer.
func (s *session) checkIncarnation(incarnation int64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.life.isOther(incarnation) {
		return failure.New(failure.WorkerVanished, "worker %s has started again", s.worker)
	}
	return nil
}

func (s *session) answeredRecently() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.tracker.HasReport() && s.life.certain(s.now()) && s.now().Sub(s.tracker.clockAt) < recentAnswerAge
}

// withhold logs and counts a command that is not sent because its job's state has
// changed.
func (m *Manager) withhold(state *store.State, job *controlpb.Job, path string, command *api.TaskCommand) error {
	commandsWithheld.Add(1)
	m.config.Logger.WithFields(logrus.Fields{
		"order": path, "task": store.TaskName(job, command.Task), "run": command.Epoch,
		"state": store.StateName(job.State), "epoch": job.Epoch, "index": state.Index(),
	}).Info("order withheld")
	return failure.New(failure.StaleEpoch, "the job has moved on")
}

// commandEntry returns a log entry for a command on a run, with the index of the state
// on which the command is based.
func (s *session) commandEntry(task string, run uint64, state *store.State) *logrus.Entry {
	return s.logEntry().WithFields(logrus.Fields{"task": task, "run": run, "index": state.Index()})
}

// awaitFirstPoll waits for the worker's first response under the token. Until then the
// worker's clock is unknown, and the worker may still accept commands of an earlier
// leader after this one: a start whose lease was derived from the clock at that time
// could outlast the wait that applies when the worker is lost.
func (s *session) awaitFirstPoll(ctx context.Context) error {
	select {
	case <-s.firstPoll:
		return nil
	case <-ctx.Done():
		return failure.Wrap(failure.Unreachable, ctx.Err(), "worker %s has not answered a poll yet", s.worker)
	}
}
