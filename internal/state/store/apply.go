package store

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Bounds of what the state keeps; each ends by a command's time, never by a clock.
const (
	// endedJobLife is how long an ended job can be looked up.
	endedJobLife = 24 * time.Hour
	// healthLife is how long a worker's failures stand after the newest.
	healthLife = 24 * time.Hour
	// occurrenceLife is how long a removed entry's last occurrence is kept, in
	// case the entry is declared again.
	occurrenceLife = 45 * 24 * time.Hour
	// expireEvery is how many entries lie between two clean-ups; it counts
	// indexes, so that every replica cleans up at the same ones.
	expireEvery = 256
	// maxExpiredPerApply bounds the work of one apply.
	maxExpiredPerApply = 64
)

// Apply gives the state after the command at that index, and its result. A
// command that fails changes nothing but the index and the client's session.
func (s *State) Apply(index uint64, command *controlpb.Command) (*State, *controlpb.Result) {
	next := *s
	next.index = index
	next.timeMs = max(s.timeMs, command.TimeMs)
	if result, done := next.resent(index, command); done {
		return &next, result
	}
	result := next.apply(command)
	result.Index = index
	result.Revision = next.revision
	next.remember(command, result)
	if index%expireEvery == 0 {
		next.expire()
	}
	return &next, result
}

// Understands tells whether this process knows what the command does. A newer
// process may have proposed it; to pass over it here would make this state
// differ from the others' for good, so that the caller must stop instead. New
// fields of known commands must not change what an older process makes of them.
func Understands(command *controlpb.Command) bool {
	return command.Op != nil || len(command.ProtoReflect().GetUnknown()) == 0
}

// Idempotent tells whether a second run of the command leaves the state as the first
// one did and is answered alike: it may be sent again whatever became of it. A workflow
// is known by its id for minutes after its end, far longer than any caller waits.
// Under a client session the session answers a second run.
func Idempotent(command *controlpb.Command) bool {
	if command == nil || command.Client != "" {
		return false
	}
	switch command.Op.(type) {
	case *controlpb.Command_SubmitWorkflow, *controlpb.Command_CancelWorkflow:
		return true
	case nil:
		// A read through the log.
		return Understands(command)
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
		return s.takeClaims(op.Claims)
	case *controlpb.Command_Settles:
		return s.settleClaims(op.Settles)
	case *controlpb.Command_Drain:
		return s.setDrain(op.Drain)
	case *controlpb.Command_BatchMove:
		return s.batchMove(op.BatchMove)
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
	}
	return &controlpb.Result{}
}

// expire drops sessions, claims and ended jobs past their life.
func (s *State) expire() {
	s.expireSessions()
	s.expireClaims(maxExpiredPerApply)
	oldJob := s.timeMs - endedJobLife.Milliseconds()
	s.jobs = expire(s.jobs, func(j *controlpb.Job) bool { return Ended(j.State) && j.EndedMs < oldJob })
	s.workflows = expire(s.workflows, s.oldWorkflow)
	s.health = expire(s.health, s.oldHealth)
	s.occurrences = expire(s.occurrences, s.oldOccurrence)
}

func expire[T any](t *table[T], old func(T) bool) *table[T] {
	txn := t.Txn()
	dropped := 0
	t.Root().Walk(func(key []byte, value T) bool {
		if old(value) {
			txn.Delete(key)
			dropped++
		}
		return dropped >= maxExpiredPerApply
	})
	return txn.Commit()
}

func refusal(index uint64, code failure.Code, detail string) *controlpb.Result {
	return &controlpb.Result{Index: index, Code: string(code), Detail: detail}
}
