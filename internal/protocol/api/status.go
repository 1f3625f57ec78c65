package api

// Status summarises completion and waste.
type Status struct {
	Revision uint64 `json:"revision"`
	// Index is the log index at which the figures were computed; it never decreases
	// on one instance.
	Index  uint64 `json:"index"`
	Leader string `json:"leader"`
	// Fresh is false if the figures may be older than the freshness bound.
	Fresh bool `json:"fresh"`
	// EvacuatedDataCentres are the data centres to whose upstreams nothing more is sent.
	EvacuatedDataCentres []string `json:"evacuated_data_centres,omitempty"`

	Jobs         map[string]int `json:"jobs"`
	Workers      int            `json:"workers"`
	Minions      int            `json:"minions"`
	Accelerators int            `json:"accelerators"`
	// Used counts the accelerators held by jobs that are running, starting or stopping.
	Used int `json:"accelerators_used"`
	Idle int `json:"accelerators_idle"`
	// Fragmentation is the fraction, from 0 to 1, of the idle accelerators that the
	// declared work classes cannot use; package fragmentation defines it.
	Fragmentation float64          `json:"fragmentation"`
	Completion    Completion       `json:"completion"`
	Waste         Waste            `json:"waste"`
	Customers     []CustomerStatus `json:"customers"`
}

// Completion summarises the jobs that completed in the last day.
type Completion struct {
	Jobs int `json:"jobs"`
	// MeanSeconds, MedianSeconds and P99Seconds are times from submission to completion.
	MeanSeconds     float64 `json:"mean_seconds"`
	MedianSeconds   float64 `json:"p50_seconds"`
	P99Seconds      float64 `json:"p99_seconds"`
	DeadlinesMet    int     `json:"deadlines_met"`
	DeadlinesMissed int     `json:"deadlines_missed"`
}

// Waste holds the accelerator-seconds of the jobs of the last day, and the number of
// accelerators that are unused now.
type Waste struct {
	// Run is the time spent running, including runs whose work was lost.
	Run float64 `json:"run_accelerator_seconds"`
	// Reserved is the time held without running, while tasks start or stop.
	Reserved float64 `json:"reserved_unused_accelerator_seconds"`
	// Preempted and Retried are running time lost to preemption and to retries.
	Preempted float64 `json:"lost_to_preemption_accelerator_seconds"`
	Retried   float64 `json:"lost_to_retries_accelerator_seconds"`
	// ReservedNow counts the accelerators that are now held without running.
	ReservedNow int `json:"reserved_unused_accelerators"`
	// IdleInGuarantee counts the accelerators that are now idle within a customer's
	// guarantee.
	IdleInGuarantee int `json:"idle_in_guarantee_accelerators"`
}

// CustomerStatus summarises completion and waste for one customer.
type CustomerStatus struct {
	Name       string     `json:"name"`
	Waiting    int        `json:"waiting"`
	Running    int        `json:"running"`
	Guaranteed int        `json:"accelerators_guaranteed"`
	Used       int        `json:"accelerators_used"`
	Completion Completion `json:"completion"`
	Waste      Waste      `json:"waste"`
}
