package gang

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/store"
)

const (
	minBackoff = time.Second
	// maxBackoff caps the delay: a job that keeps failing is still retried several
	// times an hour until it is parked.
	maxBackoff = 5 * time.Minute
	// parkHealthyWorkers is the number of distinct healthy workers on which a job has to
	// fail before it is parked; one or two may have a fault not yet detected.
	parkHealthyWorkers = 3
	// parkOwnFailures is the number of failures of its own after which a job is parked
	// on whichever workers it ran: a small system has fewer than three workers to try.
	parkOwnFailures = 8
	// parkVanishedWorkers is the number of distinct workers that have to vanish while
	// running one task before its job is parked. A single vanished worker is not attributed
	// to the task, nor those of the other members of its gang.
	parkVanishedWorkers = 5
	// immediateRetries is how often a job that was not started is placed again without a
	// delay.
	immediateRetries = 3
	// maxInfrastructureFailures caps how many infrastructure failures lengthen a job's
	// backoff: lost workers are back or replaced within seconds.
	maxInfrastructureFailures = 3
)

// backoff returns the delay before the next attempt: exponential, of which the upper half
// is jitter derived from a hash of the job and epoch. The jitter spreads the retries of
// jobs that failed together, and every leader computes the same delay. While a job has
// never failed itself, an attempt that did not start, such as one whose worker did not
// answer in time, is repeated sooner, at first immediately: during a delay other work would
// take the capacity, and would have to be preempted for guaranteed work again.
func backoff(job *controlpb.Job) time.Duration {
	own, infrastructure := countFailures(job)
	delay := maxBackoff
	if failures := own + min(infrastructure, maxInfrastructureFailures); failures < 10 {
		delay = min(minBackoff<<max(failures-1, 0), maxBackoff)
	}
	if own == 0 && job.StartedMs == 0 {
		if infrastructure <= immediateRetries {
			return 0
		}
		delay = min(infrastructureRetryDelay<<(infrastructure-immediateRetries-1), delay)
	}
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], job.Epoch)
	digest := xxhash.New()
	_, _ = digest.WriteString(job.Id)
	_, _ = digest.Write(epoch[:])
	const steps = 1024
	return delay/2 + delay/2*time.Duration(digest.Sum64()%steps)/steps
}

// countFailures counts the recorded failures of the job itself and those of its workers. An
// order to evacuate a data centre is neither.
func countFailures(job *controlpb.Job) (own, infrastructure int) {
	for _, failed := range job.Failures {
		switch code := failure.Code(failed.GetCode()); {
		case code == failure.DataCentreEvacuated:
		case code.Infrastructure():
			infrastructure++
		default:
			own++
		}
	}
	return own, infrastructure
}

// infrastructureRetryDelay keeps a job that its worker refused from being retried in
// every step: a refusal for lack of capacity lasts until the end of another task is
// recorded.
const infrastructureRetryDelay = 100 * time.Millisecond

// decideBoundedRetry retries a job with a declared maximum of attempts without backoff,
// and parks it when the attempts are used up. Infrastructure failures don't count as
// attempts.
func (s *step) decideBoundedRetry(job *controlpb.Job, move *controlpb.MoveJob) {
	failed := store.FailedAttempts(job)
	if move.Failure != nil && !failure.Code(move.Failure.Code).Infrastructure() {
		failed++
	}
	if failed >= job.MaxAttempts {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		return
	}
	if job.FailedEpoch != job.Epoch && move.Failure == nil && !job.Preempted && !stoppedByEvacuation(job) && !s.resumesAtOnce(job) {
		move.NotBeforeMs = s.in.Now.Add(infrastructureRetryDelay).UnixMilli()
	}
}

// lostMember are the codes of failures by which a gang has lost a member that ran.
var lostMember = map[failure.Code]bool{
	failure.WorkerVanished: true,
	failure.LeaseLost:      true,
	failure.Stalled:        true,
}

// resumesAtOnce reports whether a gang that has lost a member is placed again without a
// delay. The delay after a refused start would only hold back the rest of the gang: the
// capacity of the other members is free, and the lost worker gets no work.
func (s *step) resumesAtOnce(job *controlpb.Job) bool {
	newest := len(job.Failures) - 1
	return s.config.ResumeAtOnce && job.StartedMs > 0 && newest >= 0 && lostMember[failure.Code(job.Failures[newest].Code)]
}

// stoppedByEvacuation reports whether the newest run was not started as a whole because of
// an evacuation. It is placed elsewhere without a delay: the next pass leaves the data
// centre out.
func stoppedByEvacuation(job *controlpb.Job) bool {
	newest := len(job.Failures) - 1
	return newest >= 0 && job.Failures[newest].Code == string(failure.DataCentreEvacuated)
}

// atFault reports whether the recorded failures are attributed to the job itself rather
// than to its workers.
func atFault(job *controlpb.Job, quarantined func(worker string) bool) bool {
	healthy := map[string]bool{}
	vanished := map[uint32]map[string]bool{}
	own := 0
	for _, failed := range job.Failures {
		switch code := failure.Code(failed.Code); {
		case code == failure.WorkerVanished:
			if vanished[failed.Task] == nil {
				vanished[failed.Task] = map[string]bool{}
			}
			vanished[failed.Task][failed.Worker] = true
		case code.Infrastructure():
		case code == failure.MemoryExceeded:
			own++
		default:
			own++
			if !quarantined(failed.Worker) {
				healthy[failed.Worker] = true
			}
		}
	}
	for _, workers := range vanished {
		if len(workers) >= parkVanishedWorkers {
			return true
		}
	}
	return len(healthy) >= parkHealthyWorkers || own >= parkOwnFailures
}
