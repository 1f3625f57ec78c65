package overload

import (
	"errors"
	"fmt"
	"path/filepath"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// Deployment describes the workers, the queues and the troubles of its days.
type Deployment struct {
	Name    string `ini:"-"`
	Workers int    `ini:"workers"`
	PerRack int    `ini:"workers_per_rack"`
	// DataCentres are of the same size.
	DataCentres  int    `ini:"data_centres"`
	Cores        uint32 `ini:"cores"`
	MemoryMB     uint64 `ini:"memory_mb"`
	Accelerators uint32 `ini:"accelerators"`
	// Speeds are drawn alike; 1 does the work as it is declared.
	Speeds    []float64 `ini:"speeds"`
	Customers int       `ini:"customers"`
	// Guaranteed is each customer's guarantee in accelerators.
	Guaranteed uint32 `ini:"guaranteed_accelerators"`
	// Arrivals is workflows a second, Length how long they come, Tail how long what has
	// come may still end.
	Arrivals float64       `ini:"arrivals_per_s"`
	Length   time.Duration `ini:"length"`
	Tail     time.Duration `ini:"tail"`
	// RemoteFactor is by how much longer work takes away from its data, or a tightly
	// coupled gang over several racks.
	RemoteFactor float64       `ini:"remote_factor"`
	StopTime     time.Duration `ini:"stop_time"`
	// CheckpointEvery is the work between two checkpoints, RestoreTime what a run that
	// goes on from one takes longer.
	CheckpointEvery time.Duration `ini:"checkpoint_every"`
	RestoreTime     time.Duration `ini:"restore_time"`
	// LeaseWait is from the loss of a worker until its work may begin elsewhere.
	LeaseWait time.Duration `ini:"lease_wait"`
	// LeaderAbsent, WorkersLost and Bursts are the troubles of a day, at drawn times.
	LeaderAbsent time.Duration `ini:"leader_absent"`
	LostShare    float64       `ini:"workers_lost_share"`
	LostFor      time.Duration `ini:"workers_lost_for"`
	Queues       []Queue       `ini:"-"`
}

// Queue describes the workflows of one queue.
type Queue struct {
	Name string `ini:"-"`
	// Share is that of the arrivals.
	Share       float64       `ini:"share"`
	Priority    uint32        `ini:"priority"`
	MaxAttempts uint32        `ini:"max_attempts"`
	Slack       float64       `ini:"slack"`
	Target      time.Duration `ini:"target"`
	// Worth is what a workflow of the mean size is worth by its objective, LateWorth
	// what it is up to three times as late.
	Worth     float64 `ini:"worth"`
	LateWorth float64 `ini:"late_worth"`
	// SecondStep is the share with a second step after the first.
	SecondStep   float64       `ini:"second_step_share"`
	Width        float64       `ini:"tasks_mean"`
	WidthSpread  float64       `ini:"tasks_spread"`
	WidthMost    int           `ini:"tasks_most"`
	RunTime      time.Duration `ini:"run_time_mean"`
	RunSpread    float64       `ini:"run_time_spread"`
	RunMost      time.Duration `ini:"run_time_most"`
	CoresMilli   uint32        `ini:"cores_milli"`
	MemoryMB     uint64        `ini:"memory_mb"`
	Accelerators []uint        `ini:"accelerators"`
	Gang         bool          `ini:"gang"`
	// Uneven is by how much the longest task of a gang exceeds the mean, at most.
	Uneven float64 `ini:"uneven"`
	// The rest are shares of the workflows, but for EstimateOff: the spread of
	// declared beside true run times.
	Tight       float64 `ini:"tight_share"`
	Saves       float64 `ini:"checkpoint_share"`
	DataRack    float64 `ini:"data_rack_share"`
	Cancelled   float64 `ini:"cancelled_share"`
	FailedRuns  float64 `ini:"failed_run_share"`
	EstimateOff float64 `ini:"estimate_spread"`
	// Burst is by how much more comes for BurstFor, once a day at a drawn time.
	Burst    float64       `ini:"burst"`
	BurstFor time.Duration `ini:"burst_for"`
}

// Load reads a deployment's description: the section "deployment", and a section
// "queue NAME" for each queue.
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
	if d.Workers < 1 || d.PerRack < 1 || len(d.Speeds) == 0 || len(d.Queues) == 0 {
		return nil, &DescriptionError{Path: path, Err: errIncomplete}
	}
	return d, nil
}

var errIncomplete = errors.New("workers, racks, speeds or queues are missing")

// DescriptionError is a description that can't be used.
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
