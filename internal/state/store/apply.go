package store

import (
	"bytes"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Bounds of what the state keeps; each ends by a command's time, never by a clock.
const (
	// sessionLife is how long the result of a client's newest command is kept
	// for a resend.
	sessionLife = time.Hour
	// endedJobLife is how long an ended job can be looked up.
	endedJobLife = 24 * time.Hour
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
	if earlier, seen := s.sessions.Get([]byte(command.Client)); seen && command.Client != "" {
		if command.Sequence == earlier.Sequence {
			return &next, earlier.Result
		}
		if command.Sequence < earlier.Sequence {
			return &next, refusal(index, failure.StaleSequence, "a later command of this client was applied")
		}
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
	case *controlpb.Command_Claim:
		return s.claim(op.Claim)
	case *controlpb.Command_Settle:
		return s.settle(op.Settle)
	case *controlpb.Command_Drain:
		return s.setDrain(op.Drain)
	}
	return &controlpb.Result{}
}

// remember keeps the result for a resend and lets old sessions go.
func (s *State) remember(command *controlpb.Command, result *controlpb.Result) {
	if command.Client == "" {
		return
	}
	txn := s.sessions.Txn()
	txn.Insert([]byte(command.Client), &controlpb.Session{
		Client:   command.Client,
		Sequence: command.Sequence,
		Result:   result,
		TimeMs:   s.timeMs,
	})
	s.sessions = txn.Commit()
}

// expire drops sessions, claims and ended jobs past their life.
func (s *State) expire() {
	oldSession := s.timeMs - sessionLife.Milliseconds()
	s.sessions = expire(s.sessions, func(v *controlpb.Session) bool { return v.TimeMs < oldSession })
	s.claims = expire(s.claims, func(c *controlpb.Claim) bool { return c.ExpiresMs < s.timeMs })
	oldJob := s.timeMs - endedJobLife.Milliseconds()
	s.jobs = expire(s.jobs, func(j *controlpb.Job) bool { return Ended(j.State) && j.EndedMs < oldJob })
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

// applyItems takes a change made against the expected revision. Of two
// operators racing with the same one, the second finds a newer revision.
func (s *State) applyItems(op *controlpb.ApplyItems) *controlpb.Result {
	if op.ExpectedRevision != s.revision {
		return refusal(0, failure.Conflict, "the declarations have changed since they were read")
	}
	txn := s.items.Txn()
	for _, item := range op.Set {
		txn.Insert([]byte(item.Key), item)
	}
	for _, key := range op.Remove {
		txn.Delete([]byte(key))
	}
	s.items = txn.Commit()
	s.revision++
	return &controlpb.Result{}
}

// submit accepts a job once: the same id again gets the job as it stands, which
// keeps an inventory entry's occurrence from running twice.
func (s *State) submit(op *controlpb.SubmitJob) *controlpb.Result {
	if job, ok := s.Job(op.Job.Id); ok {
		return &controlpb.Result{Job: job}
	}
	job := proto.CloneOf(op.Job)
	job.State = controlpb.JobState_JOB_STATE_WAITING
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

func (s *State) cancel(op *controlpb.CancelJob) *controlpb.Result {
	job, ok := s.Job(op.Id)
	if !ok || (op.Customer != "" && op.Customer != job.Customer) {
		return refusal(0, failure.NotFound, "no such job")
	}
	if Ended(job.State) {
		return &controlpb.Result{Job: job}
	}
	job = proto.CloneOf(job)
	s.stop(job, controlpb.JobState_JOB_STATE_CANCELLED)
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

// stop sends a job towards its next state: at once if it holds nothing, else
// through STOPPING, which holds its accelerators until every member is stopped.
func (s *State) stop(job *controlpb.Job, next controlpb.JobState) {
	if job.State == controlpb.JobState_JOB_STATE_WAITING {
		s.enter(job, next)
		return
	}
	job.NextState = next
	job.State = controlpb.JobState_JOB_STATE_STOPPING
}

// enter puts a job into a state in which it holds no accelerators, or starts one.
func (s *State) enter(job *controlpb.Job, state controlpb.JobState) {
	job.State = state
	if state == controlpb.JobState_JOB_STATE_WAITING || Ended(state) {
		job.Placements = nil
		job.DoneTasks = nil
		job.NextState = controlpb.JobState_JOB_STATE_UNSPECIFIED
	}
	if Ended(state) {
		job.EndedMs = s.timeMs
	}
}

// commitPlan checks each part of a plan against the state as it is now: the
// plan was made from an older one. Parts are independent; what is stale is
// refused by name and the rest stands.
func (s *State) commitPlan(plan *controlpb.CommitPlan) *controlpb.Result {
	result := &controlpb.Result{}
	for _, preemption := range plan.Preemptions {
		job, ok := s.Job(preemption.Job)
		if !ok || job.Epoch != preemption.Epoch || !holdsUpstreams(job.State) {
			result.Refused = append(result.Refused, preemption.Job)
			continue
		}
		job = proto.CloneOf(job)
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
		s.putJob(job)
	}
	taken := s.takenAccelerators()
	for _, assignment := range plan.Assignments {
		if !s.assign(assignment, taken) {
			result.Refused = append(result.Refused, assignment.Job)
		}
	}
	return result
}

// Accelerator is one accelerator of one worker.
type Accelerator struct {
	Worker string
	Number uint32
}

func (s *State) takenAccelerators() map[Accelerator]bool {
	taken := map[Accelerator]bool{}
	walk(s.active, func(_ string, job *controlpb.Job) {
		markTaken(taken, job.Placements)
	})
	return taken
}

func markTaken(taken map[Accelerator]bool, placements []*controlpb.Placement) {
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			taken[Accelerator{placement.Worker, number}] = true
		}
	}
}

// assign places a waiting job, all of its gang or none. No accelerator is
// given twice: a second plan from a deposed leader would find it taken here.
func (s *State) assign(assignment *controlpb.Assignment, taken map[Accelerator]bool) bool {
	job, ok := s.Job(assignment.Job)
	if !ok || job.Epoch != assignment.Epoch || job.State != controlpb.JobState_JOB_STATE_WAITING {
		return false
	}
	if len(assignment.Placements) != int(job.Tasks) || anyTaken(taken, assignment.Placements) {
		return false
	}
	job = proto.CloneOf(job)
	job.Epoch++
	job.Attempts++
	job.Placements = assignment.Placements
	job.State = controlpb.JobState_JOB_STATE_STARTING
	s.putJob(job)
	markTaken(taken, job.Placements)
	return true
}

func anyTaken(taken map[Accelerator]bool, placements []*controlpb.Placement) bool {
	own := map[Accelerator]bool{}
	for _, placement := range placements {
		for _, number := range placement.Accelerators {
			accelerator := Accelerator{placement.Worker, number}
			if taken[accelerator] || own[accelerator] {
				return true
			}
			own[accelerator] = true
		}
	}
	return false
}

func holdsUpstreams(state controlpb.JobState) bool {
	return state == controlpb.JobState_JOB_STATE_STARTING || state == controlpb.JobState_JOB_STATE_RUNNING
}

// moveJob records what dispatch saw happen to one epoch of a job. A report of
// an older epoch is late news of a gang that has been stopped since.
func (s *State) moveJob(op *controlpb.MoveJob) *controlpb.Result {
	job, ok := s.Job(op.Job)
	if !ok {
		return refusal(0, failure.NotFound, "no such job")
	}
	if job.Epoch != op.Epoch || !moveAllowed(job, op.State) {
		return refusal(0, failure.StaleEpoch, "the job has moved on")
	}
	job = proto.CloneOf(job)
	if op.Failure != nil {
		job.Failures = append(job.Failures, op.Failure)
	}
	job.CheckpointedMs = max(job.CheckpointedMs, op.CheckpointedMs)
	job.NotBeforeMs = max(job.NotBeforeMs, op.NotBeforeMs)
	switch op.State {
	case controlpb.JobState_JOB_STATE_RUNNING:
		job.StartedMs = s.timeMs
		s.enter(job, op.State)
	case controlpb.JobState_JOB_STATE_STOPPING:
		s.stop(job, controlpb.JobState_JOB_STATE_WAITING)
	default:
		s.enter(job, op.State)
	}
	s.putJob(job)
	return &controlpb.Result{Job: job}
}

func moveAllowed(job *controlpb.Job, to controlpb.JobState) bool {
	from := job.State
	switch to {
	case controlpb.JobState_JOB_STATE_RUNNING:
		return from == controlpb.JobState_JOB_STATE_STARTING
	case controlpb.JobState_JOB_STATE_STOPPING:
		return holdsUpstreams(from)
	case controlpb.JobState_JOB_STATE_COMPLETED:
		return from == controlpb.JobState_JOB_STATE_RUNNING
	case controlpb.JobState_JOB_STATE_WAITING,
		controlpb.JobState_JOB_STATE_CANCELLED,
		controlpb.JobState_JOB_STATE_PARKED:
		return from == controlpb.JobState_JOB_STATE_STOPPING || from == controlpb.JobState_JOB_STATE_WAITING
	}
	return false
}

// finishTasks counts tasks that ended well; a gang is complete with its last.
func (s *State) finishTasks(op *controlpb.FinishTasks) *controlpb.Result {
	for _, finished := range op.Tasks {
		job, ok := s.Job(finished.Job)
		if !ok || job.Epoch != finished.Epoch || !holdsUpstreams(job.State) {
			continue
		}
		if slices.Contains(job.DoneTasks, finished.Task) {
			continue
		}
		job = proto.CloneOf(job)
		job.DoneTasks = append(job.DoneTasks, finished.Task)
		if len(job.DoneTasks) == int(job.Tasks) {
			s.enter(job, controlpb.JobState_JOB_STATE_COMPLETED)
		}
		s.putJob(job)
	}
	return &controlpb.Result{}
}

func (s *State) putJob(job *controlpb.Job) {
	key := []byte(job.Id)
	s.jobs, _, _ = s.jobs.Insert(key, job)
	if Ended(job.State) {
		s.active, _, _ = s.active.Delete(key)
		return
	}
	s.active, _, _ = s.active.Insert(key, job)
}

// claim gives the right to run a request to the first that asks. Everyone else
// with the same key and body gets the claim as it stands; another body under
// the key is refused, for the caller would get the wrong answer.
func (s *State) claim(op *controlpb.ClaimRequest) *controlpb.Result {
	wanted := op.Claim
	existing, ok := s.Claim(wanted.Customer, wanted.Key)
	if !ok || existing.ExpiresMs < s.timeMs {
		s.claims, _, _ = s.claims.Insert(claimKey(wanted.Customer, wanted.Key), wanted)
		return &controlpb.Result{Claim: wanted}
	}
	if existing.Service != wanted.Service || !bytes.Equal(existing.BodyHash, wanted.BodyHash) {
		return refusal(0, failure.KeyReused, "the key was used for another request")
	}
	if existing.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_NOT_RUN {
		s.claims, _, _ = s.claims.Insert(claimKey(wanted.Customer, wanted.Key), wanted)
		return &controlpb.Result{Claim: wanted}
	}
	return &controlpb.Result{Claim: existing}
}

// settle records what became of a claimed request; only the claim's owner may,
// and only once, but an unknown outcome may still become a known one.
func (s *State) settle(op *controlpb.SettleClaim) *controlpb.Result {
	claim, ok := s.Claim(op.Customer, op.Key)
	if !ok || claim.Instance != op.Instance {
		return refusal(0, failure.NotFound, "no such claim of this instance")
	}
	open := claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_PENDING ||
		claim.Outcome == controlpb.ClaimOutcome_CLAIM_OUTCOME_UNKNOWN
	if !open {
		return &controlpb.Result{Claim: claim}
	}
	claim = proto.CloneOf(claim)
	claim.Outcome = op.Outcome
	claim.Holder = op.Holder
	claim.Status = op.Status
	s.claims, _, _ = s.claims.Insert(claimKey(op.Customer, op.Key), claim)
	return &controlpb.Result{Claim: claim}
}

func (s *State) setDrain(op *controlpb.SetDrain) *controlpb.Result {
	if strings.TrimSpace(op.Upstream) == "" {
		return refusal(0, failure.BadRequest, "no upstream named")
	}
	key := []byte(op.Upstream)
	if op.Drained {
		s.drained, _, _ = s.drained.Insert(key, true)
	} else {
		s.drained, _, _ = s.drained.Delete(key)
	}
	return &controlpb.Result{}
}
