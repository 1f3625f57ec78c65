package evacuation

import (
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Config is what the settings say about evacuations. The zero value stops no running work,
// and readmits all workers of a data centre at once.
type Config struct {
	// Drain is how long after an order work may be expected to run that can resume from a
	// checkpoint; 0 for no limit.
	Drain time.Duration
	// ColdStart is how long a cold worker takes to reach its full speed, and ColdPerSecond how
	// many additional workers may begin to do so in each second; 0 if workers are never cold.
	ColdStart     time.Duration
	ColdPerSecond float64
}

// Running is what a decision on running work is based on.
type Running struct {
	Now time.Time
	// Jobs are the open jobs.
	Jobs []*controlpb.Job
	// DataCentres holds the data centres of workers by id.
	DataCentres map[string]string
	Records     []*controlpb.Evacuation
	// Remaining is how long a job is expected to run on. FitsElsewhere reports whether the
	// available workers could hold it when empty.
	Remaining     func(job *controlpb.Job) time.Duration
	FitsElsewhere func(job *controlpb.Job) bool
}

// Stop is a job to stop because of an evacuation.
type Stop struct {
	*controlpb.Preemption
	DataCentre string
	// Remaining is how long the job was expected to run on; Allowed is how long it might.
	Remaining, Allowed time.Duration
}

// Stops returns the jobs that run in an evacuated data centre, can resume from a checkpoint,
// are expected to run past the limit and could run elsewhere. Work that fits nowhere else
// runs on, since a stop would only keep it waiting.
func (c Config) Stops(in *Running) []Stop {
	if c.Drain <= 0 {
		return nil
	}
	ends := map[string]time.Time{}
	for _, record := range in.Records {
		if record.Active {
			ends[record.DataCentre] = time.UnixMilli(record.StartedMs).Add(c.Drain)
		}
	}
	if len(ends) == 0 {
		return nil
	}
	var stops []Stop
	for _, job := range in.Jobs {
		name, found := evacuatedPlace(job, in.DataCentres, ends)
		if !found || job.State != controlpb.JobState_JOB_STATE_RUNNING || !job.Checkpointable {
			continue
		}
		remaining, allowed := in.Remaining(job), ends[name].Sub(in.Now)
		if remaining > allowed && in.FitsElsewhere(job) {
			preemption := &controlpb.Preemption{Job: job.Id, Epoch: job.Epoch}
			stops = append(stops, Stop{preemption, name, remaining, max(allowed, 0)})
		}
	}
	return stops
}

// evacuatedPlace returns the evacuated data centre that a job has to leave first.
func evacuatedPlace(job *controlpb.Job, dataCentres map[string]string, ends map[string]time.Time) (name string, found bool) {
	for _, placement := range job.Placements {
		candidate := dataCentres[placement.Worker]
		end, evacuated := ends[candidate]
		if evacuated && !done(job, placement.Task) && (!found || end.Before(ends[name])) {
			name, found = candidate, true
		}
	}
	return name, found
}
