// Package evacuation decides what follows from the evacuation and the readmission of data
// centres. It addresses a load of 350 workers in three data centres with up to 2,800 open
// jobs, on which an operator empties one data centre or several. The package is pure: the
// records of the log, jobs, workers and the time in, decisions out. Whether a worker may be
// given work at all while its data centre is evacuated is a fact of the log
// (store.State.Evacuated) and not decided here.
package evacuation

import (
	"slices"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// EventKind is what happened to a data centre.
type EventKind string

// The kinds of events.
const (
	// Started: an evacuation is in force that was not before.
	Started EventKind = "evacuated"
	// Emptied: no task runs any more in an evacuated data centre.
	Emptied EventKind = "empty"
	// Ended: the data centre was readmitted.
	Ended EventKind = "readmitted"
)

// Occupancy is what is known of a data centre.
type Occupancy struct {
	// Workers are the live ones. Jobs have a task there that may run, and Tasks counts these
	// tasks.
	Workers, Jobs, Tasks int
}

// Event is one change for an operator's log.
type Event struct {
	Kind       EventKind
	DataCentre string
	// Changes is the number of orders that took effect on the data centre so far.
	Changes uint64
	Occupancy
}

// Tracker observes the evacuations on the leader. Its memory may be lost at any time: a new
// leader reports the evacuations in force once more.
type Tracker struct {
	// active holds, by data centre, whether the evacuation in force has emptied it.
	active map[string]bool
	// dataCentres holds the data centres of workers by id. A worker that is no longer live
	// may still run its tasks.
	dataCentres map[string]string
}

// Observe returns what has changed since the last call, and what runs in each data centre
// that is evacuated.
func (t *Tracker) Observe(records []*controlpb.Evacuation, live []*peerpb.Upstream, jobs []*controlpb.Job) ([]Event, map[string]Occupancy) {
	inForce := slices.ContainsFunc(records, func(r *controlpb.Evacuation) bool { return r.Active })
	if !inForce && len(t.active) == 0 {
		return nil, nil
	}
	if t.dataCentres == nil {
		t.active, t.dataCentres = map[string]bool{}, map[string]string{}
	}
	occupied := t.count(live, jobs)
	evacuated := map[string]Occupancy{}
	var events []Event
	for _, record := range records {
		emptied, known := t.active[record.DataCentre]
		event := Event{DataCentre: record.DataCentre, Changes: record.Changes, Occupancy: occupied[record.DataCentre]}
		report := func(kind EventKind) {
			event.Kind = kind
			events = append(events, event)
		}
		if !record.Active {
			if known {
				report(Ended)
				delete(t.active, record.DataCentre)
			}
			continue
		}
		if !known {
			report(Started)
		}
		if event.Tasks == 0 && !emptied {
			report(Emptied)
		}
		t.active[record.DataCentre] = event.Tasks == 0
		evacuated[record.DataCentre] = event.Occupancy
	}
	return events, evacuated
}

// count counts workers, jobs and tasks by data centre.
func (t *Tracker) count(live []*peerpb.Upstream, jobs []*controlpb.Job) map[string]Occupancy {
	counted := map[string]Occupancy{}
	for _, worker := range live {
		t.dataCentres[worker.Id] = worker.DataCentre
		c := counted[worker.DataCentre]
		c.Workers++
		counted[worker.DataCentre] = c
	}
	kept := map[string]bool{}
	for _, worker := range live {
		kept[worker.Id] = true
	}
	for _, job := range jobs {
		inJob := map[string]bool{}
		for _, placement := range job.Placements {
			kept[placement.Worker] = true
			if name, known := t.dataCentres[placement.Worker]; known && !done(job, placement.Task) {
				c := counted[name]
				c.Tasks++
				if !inJob[name] {
					inJob[name] = true
					c.Jobs++
				}
				counted[name] = c
			}
		}
	}
	for id := range t.dataCentres {
		if !kept[id] {
			delete(t.dataCentres, id)
		}
	}
	return counted
}

// done reports whether a task is known to run no more.
func done(job *controlpb.Job, task uint32) bool {
	return slices.Contains(job.DoneTasks, task) || store.StopAcknowledged(job, task)
}
