package gang

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	firstBackoff = time.Second
	// lastBackoff caps the pause: work that fails for long is still tried a few
	// times an hour, until it is parked.
	lastBackoff = 5 * time.Minute
	// parkWorkers is on how many distinct healthy workers a job may fail; one or
	// two may be broken in a way that nobody has noticed yet.
	parkWorkers = 3
	// parkFailures is how often a job may fail of itself wherever it ran: on a
	// small system there are not three workers to try.
	parkFailures = 8
	// parkVanished is how many distinct workers may vanish under a job. A worker
	// that vanishes is not the job's fault until it happens to all of them.
	parkVanished = 5
	// mostLost bounds how many failures that were not a job's own lengthen its pause: lost
	// workers are back, or others in their place, within seconds.
	mostLost = 3
)

// backoff is the pause before the next attempt: exponential, with half of it
// drawn from the job and epoch, so that a wave of failed jobs does not come back
// as a wave, and that every leader draws the same.
func backoff(job *controlpb.Job) time.Duration {
	pause := lastBackoff
	if tries := triesOf(job); tries < 10 {
		pause = min(firstBackoff<<max(tries-1, 0), lastBackoff)
	}
	var epoch [8]byte
	binary.LittleEndian.PutUint64(epoch[:], job.Epoch)
	digest := xxhash.New()
	_, _ = digest.WriteString(job.Id)
	_, _ = digest.Write(epoch[:])
	const steps = 1024
	return pause/2 + pause/2*time.Duration(digest.Sum64()%steps)/steps
}

// triesOf counts the failures that lengthen a job's pause.
func triesOf(job *controlpb.Job) int {
	own, lost := 0, 0
	for _, failed := range job.Failures {
		if failure.Code(failed.GetCode()).Infrastructure() {
			lost++
		} else {
			own++
		}
	}
	return own + min(lost, mostLost)
}

// infrastructurePause keeps a job whose worker refused it from asking again in
// every step: a refusal for want of room lasts until an end is listed.
const infrastructurePause = 100 * time.Millisecond

// decideBounded retries work with a declared number of attempts at once, and
// parks it when they are used up. Ends that were not its own don't count.
func decideBounded(job *controlpb.Job, now time.Time, move *controlpb.MoveJob) {
	failed := job.OwnFailures
	if move.Failure != nil && !failure.Code(move.Failure.Code).Infrastructure() {
		failed++
	}
	if failed >= job.MaxAttempts {
		move.State = controlpb.JobState_JOB_STATE_PARKED
		return
	}
	if job.FailedEpoch != job.Epoch && move.Failure == nil && !job.Preempted {
		move.NotBeforeMs = now.Add(infrastructurePause).UnixMilli()
	}
}

// atFault tells a job that fails by itself from one that met bad workers.
func atFault(job *controlpb.Job, quarantined func(worker string) bool) bool {
	healthy := map[string]bool{}
	vanished := map[string]bool{}
	own := 0
	for _, failed := range job.Failures {
		switch code := failure.Code(failed.Code); {
		case code == failure.WorkerVanished:
			vanished[failed.Worker] = true
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
	return len(healthy) >= parkWorkers || own >= parkFailures || len(vanished) >= parkVanished
}
