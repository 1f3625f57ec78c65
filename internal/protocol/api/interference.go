package api

// PathInterference shows operators which classes slow down which others.
const PathInterference = "/v1/interference"

// Interference is the leader's estimate of which classes of tasks slow down which others
// on the same worker.
type Interference struct {
	// Enabled is whether the settings switch the estimate on.
	Enabled bool `json:"enabled"`
	// Pairs are those that were observed, the interfering ones first.
	Pairs []InterferencePair `json:"pairs"`
}

// InterferencePair is the estimate for one class beside another.
type InterferencePair struct {
	Class  string `json:"class"`
	Beside string `json:"beside"`
	// Interferes is set while the scheduler keeps the classes apart.
	Interferes bool `json:"interferes"`
	// Slowdown is the factor by which the run time of Class grows beside Beside, and Error
	// its relative standard error.
	Slowdown float64 `json:"slowdown"`
	Error    float64 `json:"error"`
	// Samples are the recent samples of Class beside Beside, and Workers the workers on
	// which it was slowed down, up to 64.
	Samples float64 `json:"samples"`
	Workers uint32  `json:"workers"`
	// CPU and CPUWithout are the cpu in use of Class as a share of what it asked for,
	// beside Beside and otherwise; absent if unknown.
	CPU        *float64 `json:"cpu,omitempty"`
	CPUWithout *float64 `json:"cpu_without,omitempty"`
	// AgeSeconds is for how long the pair has interfered, 0 if it does not, and
	// LastSeenSeconds how long ago the classes last ran together.
	AgeSeconds      float64 `json:"age_seconds"`
	LastSeenSeconds float64 `json:"last_seen_seconds"`
}
