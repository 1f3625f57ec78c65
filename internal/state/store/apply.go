package store

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Retention limits of the state. They are compared with the time that commands carry,
// never with a clock, so that all replicas expire the same records.
const (
	// endedJobRetention is how long an ended job can be looked up.
	endedJobRetention = 24 * time.Hour
	// healthRetention is how long a worker's failures are kept after the newest one.
	healthRetention = 24 * time.Hour
	// occurrenceRetention is how long the last occurrence of a removed entry is kept, in
	// case the entry is declared again.
	occurrenceRetention = 45 * 24 * time.Hour
	// expireInterval is the number of log entries between two expiry passes. It counts
	// indexes, so that every replica expires records at the same index.
	expireInterval = 256
	// maxExpiredPerApply limits the records of each kind that one pass removes, and so
	// the duration of one apply.
	maxExpiredPerApply = 64
)

// Apply returns the state after the command at the given log index, and the command's
// result. A command that fails changes only the index, the time and the client's session.
func (s *State) Apply(index uint64, command *controlpb.Command) (*State, *controlpb.Result) {
	next := *s
	next.index = index
	next.timeMs = max(s.timeMs, command.TimeMs)
	if result, done := next.storedResult(index, command); done {
		return &next, result
	}
	result := next.apply(command)
	result.Index = index
	result.Revision = next.revision
	next.storeResult(command, result)
	if index%expireInterval == 0 {
		next.expireAll()
	}
	return &next, result
}

// Supports reports whether this version supports the command. A process of a newer
// version may have proposed it; skipping it would make this replica's state diverge
// permanently, so the caller must stop instead. New fields of known commands must not
// change how an older version applies them.
func Supports(command *controlpb.Command) bool {
	return command.Op != nil || len(command.ProtoReflect().GetUnknown()) == 0
}

// Idempotent reports whether applying the command twice leaves the same state and gives
// the same result as applying it once, so that it may be retried after an unknown
// outcome. This holds for workflows because an ended workflow is kept by its id for
// minutes, far longer than any caller waits. Commands under a client session are not
// included: the session deduplicates them.
func Idempotent(command *controlpb.Command) bool {
	if command == nil || command.Client != "" {
		return false
	}
	switch command.Op.(type) {
	case *controlpb.Command_SubmitWorkflow, *controlpb.Command_CancelWorkflow, *controlpb.Command_SetEvacuation:
		return true
	case nil:
		// A read through the log has no operation.
		return Supports(command)
	}
	return false
}

func (s *State) apply(command *controlpb.Command) *controlpb.Result {
	switch op := command.Op.(type) {
	case *controlpb.Command_Apply:
		return s.applyItems(op.Apply)
	case *controlpb.Command_Submit:
		return s.submit(op.Submit)
	case *controlpb.Command_Cancel:
		return s.cancel(op.Cancel)
	case *controlpb.Command_Plan:
		return s.commitPlan(op.Plan)
	case *controlpb.Command_Move:
		return s.moveJob(op.Move)
	case *controlpb.Command_Finish:
		return s.finishTasks(op.Finish)
	case *controlpb.Command_Claims:
		return s.acquireClaims(op.Claims)
	case *controlpb.Command_Settles:
		return s.settleClaims(op.Settles)
	case *controlpb.Command_Drain:
		return s.setDrain(op.Drain)
	case *controlpb.Command_BatchMove:
		return s.batchMove(op.BatchMove, command.DecidedIn)
	case *controlpb.Command_CreditMembers:
		return s.setCreditMembers(op.CreditMembers)
	case *controlpb.Command_SubmitJobs:
		return s.submitJobs(op.SubmitJobs)
	case *controlpb.Command_Replace:
		return s.replaceDeclarations(op.Replace)
	case *controlpb.Command_SubmitWorkflow:
		return s.submitWorkflow(op.SubmitWorkflow)
	case *controlpb.Command_CancelWorkflow:
		return s.cancelWorkflow(op.CancelWorkflow)
	case *controlpb.Command_StartRepetitions:
		return s.startRepetitions(op.StartRepetitions)
	case *controlpb.Command_SetReplicas:
		return s.setReplicas(op.SetReplicas)
	case *controlpb.Command_SetEvacuation:
		return s.setEvacuation(op.SetEvacuation)
	}
	return &controlpb.Result{}
}

// expireAll removes records that are past their retention.
func (s *State) expireAll() {
	s.expireSessions()
	s.expireClaims(maxExpiredPerApply)
	s.expireJobs()
	s.workflows = expire(s.workflows, s.workflowExpired)
	s.health = expire(s.health, s.healthExpired)
	s.occurrences = expire(s.occurrences, s.occurrenceExpired)
	s.crashes, s.lostRuns = s.recentCrashes(), s.recentLostRuns()
}

// expireJobs removes ended jobs. It looks at the jobs only once the oldest ended one is due:
// all of them are retained for hours, by every process of the system.
func (s *State) expireJobs() {
	due := s.timeMs - endedJobRetention.Milliseconds()
	if s.oldestEndMs >= due {
		return
	}
	before := s.jobs.Len()
	oldest := s.timeMs
	s.jobs = expire(s.jobs, func(j *controlpb.Job) bool {
		if !Ended(j.State) {
			return false
		}
		if j.EndedMs >= due {
			oldest = min(oldest, j.EndedMs)
		}
		return j.EndedMs < due
	})
	if before-s.jobs.Len() < maxExpiredPerApply {
		// All jobs were looked at.
		s.oldestEndMs = oldest
	}
}

func expire[T any](t *table[T], expired func(T) bool) *table[T] {
	txn := t.Txn()
	removed := 0
	t.Root().Walk(func(key []byte, value T) bool {
		if expired(value) {
			txn.Delete(key)
			removed++
		}
		return removed >= maxExpiredPerApply
	})
	return txn.Commit()
}

func refusal(index uint64, code failure.Code, detail string) *controlpb.Result {
	return &controlpb.Result{Index: index, Code: string(code), Detail: detail}
}
