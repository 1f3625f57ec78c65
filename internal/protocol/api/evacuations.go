package api

// DataCentre is a known data centre and what operators have ordered for it.
type DataCentre struct {
	Name string `json:"name"`
	// Evacuated is true while nothing more is sent to the upstreams of the data centre.
	Evacuated bool `json:"evacuated"`
	// Changes is the number of orders that changed the record.
	Changes uint64 `json:"changes"`
	// StartedMs and FinishedMs are when the newest orders to evacuate and to readmit were
	// committed, in Unix milliseconds by the log's time; 0 for never.
	StartedMs  int64 `json:"started_ms,omitempty"`
	FinishedMs int64 `json:"finished_ms,omitempty"`
	// Workers counts the live workers, PlacedTasks the tasks that are placed on them.
	Workers     int `json:"workers"`
	PlacedTasks int `json:"placed_tasks"`
}
