package overload

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Deployment describes the workers, the queues and the faults of a simulated day.
type Deployment struct {
	Name           string `ini:"-"`
	Workers        int    `ini:"workers"`
	WorkersPerRack int    `ini:"workers_per_rack"`
	// DataCentres is the number of data centres, all of the same size.
	DataCentres  int    `ini:"data_centres"`
	Cores        uint32 `ini:"cores"`
	MemoryMB     uint64 `ini:"memory_mb"`
	Accelerators uint32 `ini:"accelerators"`
	// Speeds are the possible worker speeds, drawn with equal probability; a worker of
	// speed 1 takes the nominal run time.
	Speeds    []float64 `ini:"speeds"`
	Customers int       `ini:"customers"`
	// Guaranteed is each customer's guarantee in accelerators.
	Guaranteed uint32 `ini:"guaranteed_accelerators"`
	// Arrivals is the mean number of workflows per second, Length the period in which
	// they arrive, and Tail the time after it in which they may still complete.
	Arrivals float64       `ini:"arrivals_per_s"`
	Length   time.Duration `ini:"length"`
	Tail     time.Duration `ini:"tail"`
	// RemoteFactor multiplies the run time of work that runs outside the rack of its data,
	// and of a tightly coupled gang that spans several racks.
	RemoteFactor float64       `ini:"remote_factor"`
	StopTime     time.Duration `ini:"stop_time"`
	// CheckpointEvery is the work between two checkpoints, RestoreTime the extra time of
	// a run that resumes from one.
	CheckpointEvery time.Duration `ini:"checkpoint_every"`
	RestoreTime     time.Duration `ini:"restore_time"`
	// LeaseWait is the time from the loss of a worker until its work may start elsewhere.
	LeaseWait time.Duration `ini:"lease_wait"`
	// LeaderAbsent, WorkersLostShare, WorkersLostFor and the bursts of the queues describe the faults of
	// a day, which begin at random times: the length of the period without a leader, the
	// share of workers that is lost, and how long each of them is gone.
	LeaderAbsent     time.Duration `ini:"leader_absent"`
	WorkersLostShare float64       `ini:"workers_lost_share"`
	WorkersLostFor   time.Duration `ini:"workers_lost_for"`
	// SlowShare is the share of workers that turn SlowFactor times slower for SlowFor, each
	// once a day at a random time.
	SlowShare  float64       `ini:"slow_share"`
	SlowFactor float64       `ini:"slow_factor"`
	SlowFor    time.Duration `ini:"slow_for"`
	Queues     []Queue       `ini:"-"`
}

// Queue describes the workflows of one queue.
type Queue struct {
	Name string `ini:"-"`
	// Share is the queue's share of the arrivals.
	Share       float64       `ini:"share"`
	Priority    uint32        `ini:"priority"`
	MaxAttempts uint32        `ini:"max_attempts"`
	SlackFactor float64       `ini:"slack"`
	Target      time.Duration `ini:"target"`
	// Value is earned by a workflow of the mean size that ends by its objective,
	// LateValue by one that ends within three times its objective.
	Value     float64 `ini:"worth"`
	LateValue float64 `ini:"late_worth"`
	// SecondStepShare is the share of workflows that have a second step.
	SecondStepShare float64       `ini:"second_step_share"`
	TasksMean       float64       `ini:"tasks_mean"`
	TasksSpread     float64       `ini:"tasks_spread"`
	TasksMax        int           `ini:"tasks_most"`
	RunTime         time.Duration `ini:"run_time_mean"`
	RunTimeSpread   float64       `ini:"run_time_spread"`
	RunTimeMax      time.Duration `ini:"run_time_most"`
	CoresMilli      uint32        `ini:"cores_milli"`
	MemoryMB        uint64        `ini:"memory_mb"`
	Accelerators    []uint        `ini:"accelerators"`
	Gang            bool          `ini:"gang"`
	// Uneven is, for a gang, the largest share by which its longest task exceeds the mean;
	// for independent tasks, the standard deviation of the logarithm of their run times.
	Uneven float64 `ini:"uneven"`
	// The fields up to FailedRunShare are shares of the workflows, or of the runs.
	// EstimateSpread is the standard deviation of the logarithm of declared over true run
	// time.
	TightShare      float64 `ini:"tight_share"`
	CheckpointShare float64 `ini:"checkpoint_share"`
	DataRack        float64 `ini:"data_rack_share"`
	CancelledShare  float64 `ini:"cancelled_share"`
	FailedRunShare  float64 `ini:"failed_run_share"`
	EstimateSpread  float64 `ini:"estimate_spread"`
	// EstimateFactor is the factor, of at least 1, by which the declared run time of a step
	// is at most off in addition, in both directions; 0 for none.
	EstimateFactor float64 `ini:"estimate_factor"`
	// Burst multiplies the arrival rate for BurstLength, once a day at a random time.
	Burst       float64       `ini:"burst"`
	BurstLength time.Duration `ini:"burst_for"`
}

// Load reads a deployment's description from an INI file: the section "deployment", and a
// section "queue NAME" for each queue. Errors are of type *DescriptionError.
func Load(path string) (*Deployment, error) {
	file, err := ini.Load(path)
	if err != nil {
		return nil, &DescriptionError{Path: path, Err: err}
	}
	d := &Deployment{Name: strings.TrimSuffix(filepath.Base(path), ".ini")}
	if err := file.Section("deployment").StrictMapTo(d); err != nil {
		return nil, &DescriptionError{Path: path, Section: "deployment", Err: err}
	}
	for _, section := range file.Sections() {
		name, ok := strings.CutPrefix(section.Name(), "queue ")
		if !ok {
			continue
		}
		q := Queue{Name: name}
		if err := section.StrictMapTo(&q); err != nil {
			return nil, &DescriptionError{Path: path, Section: section.Name(), Err: err}
		}
		d.Queues = append(d.Queues, q)
	}
	if d.Workers < 1 || d.WorkersPerRack < 1 || len(d.Speeds) == 0 || len(d.Queues) == 0 {
		return nil, &DescriptionError{Path: path, Err: errIncomplete}
	}
	return d, nil
}

var errIncomplete = errors.New("workers, racks, speeds or queues are missing")

// DescriptionError reports a description that cannot be read or is incomplete.
type DescriptionError struct {
	Path    string
	Section string
	Err     error
}

func (e *DescriptionError) Error() string {
	if e.Section == "" {
		return fmt.Sprintf("%s: %v", e.Path, e.Err)
	}
	return fmt.Sprintf("%s [%s]: %v", e.Path, e.Section, e.Err)
}

func (e *DescriptionError) Unwrap() error { return e.Err }
