package api

// Status is completion and waste at a glance.
type Status struct {
	Revision uint64 `json:"revision"`
	// Index is the log index that the figures were taken at; it never goes back
	// on one instance.
	Index  uint64 `json:"index"`
	Leader string `json:"leader"`
	// Fresh is false where the figures may be older than the freshness bound.
	Fresh        bool           `json:"fresh"`
	Jobs         map[string]int `json:"jobs"`
	Workers      int            `json:"workers"`
	Minions      int            `json:"minions"`
	Accelerators int            `json:"accelerators"`
	// Used accelerators are held by a job that runs, starts or stops.
	Used int `json:"accelerators_used"`
	Idle int `json:"accelerators_idle"`
	// Fragmentation is the part of the idle accelerators that the declared
	// classes of work cannot use, from 0 to 1; package fragmentation defines it.
	Fragmentation float64          `json:"fragmentation"`
	Completion    Completion       `json:"completion"`
	Waste         Waste            `json:"waste"`
	Customers     []CustomerStatus `json:"customers"`
}

// Completion sums up the jobs that completed in the last day.
type Completion struct {
	Jobs int `json:"jobs"`
	// Seconds from submission to the end.
	MeanSeconds     float64 `json:"mean_seconds"`
	MedianSeconds   float64 `json:"p50_seconds"`
	P99Seconds      float64 `json:"p99_seconds"`
	DeadlinesMet    int     `json:"deadlines_met"`
	DeadlinesMissed int     `json:"deadlines_missed"`
}

// Waste counts accelerator-seconds of the jobs of the last day, and what stands
// idle now.
type Waste struct {
	// Run is what was spent running, also in runs that were lost.
	Run float64 `json:"run_accelerator_seconds"`
	// Reserved is what was held without running: starts and stops.
	Reserved float64 `json:"reserved_unused_accelerator_seconds"`
	// Preempted and Retried were run and lost.
	Preempted float64 `json:"lost_to_preemption_accelerator_seconds"`
	Retried   float64 `json:"lost_to_retries_accelerator_seconds"`
	// ReservedNow counts accelerators held without running now.
	ReservedNow int `json:"reserved_unused_accelerators"`
	// IdleInGuarantee counts accelerators idle now that a guarantee claims.
	IdleInGuarantee int `json:"idle_in_guarantee_accelerators"`
}

// CustomerStatus is the same for one customer.
type CustomerStatus struct {
	Name       string     `json:"name"`
	Waiting    int        `json:"waiting"`
	Running    int        `json:"running"`
	Guaranteed int        `json:"accelerators_guaranteed"`
	Used       int        `json:"accelerators_used"`
	Completion Completion `json:"completion"`
	Waste      Waste      `json:"waste"`
}
