package dispatch

import (
	"context"
	"expvar"
	"slices"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/evacuation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/coordination/scheduling"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

var (
	// dataCentresEvacuated counts the evacuations in force, and tasksInEvacuated the tasks
	// that still run there.
	dataCentresEvacuated = expvar.NewInt("dispatch_data_centres_evacuated")
	tasksInEvacuated     = expvar.NewInt("dispatch_tasks_in_evacuated")
	// startsWithheld counts starts that were not sent because of an evacuation, and gangsEvacuated gangs that were stopped before all members had started.
	startsWithheld = expvar.NewInt("dispatch_starts_evacuated")
	gangsEvacuated = expvar.NewInt("dispatch_gangs_evacuated")
	// jobsDrained counts running jobs that were stopped because of an evacuation, and
	// workersHeld the workers of readmitted data centres that get no work yet.
	jobsDrained = expvar.NewInt("dispatch_jobs_drained")
	workersHeld = expvar.NewInt("dispatch_workers_readmitted_later")
)

// observeEvacuations logs the changes of evacuations and publishes their metrics.
func (c *Controller) observeEvacuations(state *store.State, live []*peerpb.Upstream) {
	events, evacuated := c.evacuations.Observe(state.Evacuations(), live, state.ActiveJobs())
	tasks := 0
	for _, occupied := range evacuated {
		tasks += occupied.Tasks
	}
	dataCentresEvacuated.Set(int64(len(evacuated)))
	tasksInEvacuated.Set(int64(tasks))
	if c.dispatcher.config.Logger == nil {
		return
	}
	for _, event := range events {
		c.dispatcher.config.Logger.WithFields(logrus.Fields{
			"data_centre": event.DataCentre, "event": event.Kind, "changes": event.Changes, "index": state.Index(),
			"workers": event.Workers, "jobs": event.Jobs, "tasks": event.Tasks,
		}).Info("evacuation of a data centre")
	}
}

// heldWorkers returns the workers of readmitted data centres that may not be given work yet.
func (c *Controller) heldWorkers(state *store.State, live []*peerpb.Upstream) map[string]bool {
	held := c.dispatcher.config.Evacuation.Held(latest(c.now(), state.Time()), state.Evacuations(), live, state.ActiveJobs())
	workersHeld.Set(int64(len(held)))
	return held
}

// drainEvacuated adds to a plan the stops of work that would run for too long in an evacuated
// data centre.
func (c *Controller) drainEvacuated(state *store.State, snapshot *scheduling.Snapshot, plan *scheduling.Plan, live []*peerpb.Upstream) {
	config := c.dispatcher.config.Evacuation
	if config.Drain == 0 || len(state.Evacuations()) == 0 || plan.Breach != nil {
		return
	}
	stops := config.Stops(&evacuation.Running{
		Now: snapshot.Now, Jobs: snapshot.Jobs, DataCentres: dataCentresOf(live), Records: state.Evacuations(),
		Remaining:     snapshot.Remaining,
		FitsElsewhere: func(job *controlpb.Job) bool { return scheduling.FitsAvailable(job, snapshot.Workers) },
	})
	for _, stop := range stops {
		if slices.ContainsFunc(plan.Preemptions, func(p *controlpb.Preemption) bool { return p.Job == stop.Job }) {
			continue
		}
		jobsDrained.Add(1)
		plan.Preemptions = append(plan.Preemptions, stop.Preemption)
		if c.dispatcher.config.Logger != nil {
			c.dispatcher.config.Logger.WithFields(logrus.Fields{
				"job": stop.Job, "epoch": stop.Epoch, "data_centre": stop.DataCentre, "index": state.Index(),
				"remaining_ms": stop.Remaining.Milliseconds(), "allowed_ms": stop.Allowed.Milliseconds(),
			}).Info("job stopped for an evacuation")
		}
	}
}

func dataCentresOf(live []*peerpb.Upstream) map[string]string {
	dataCentres := make(map[string]string, len(live))
	for _, worker := range live {
		dataCentres[worker.Id] = worker.DataCentre
	}
	return dataCentres
}

// forgetEvacuations discards what a former leader observed.
func (c *Controller) forgetEvacuations() {
	c.evacuations = evacuation.Tracker{}
	dataCentresEvacuated.Set(0)
	tasksInEvacuated.Set(0)
	workersHeld.Set(0)
}

// execute sends a command to its worker, unless it would start work in a data centre that has
// been evacuated since the command was issued. A command may wait until others are answered,
// so that the leadership is checked again too: a leader that was cut off meanwhile does not
// know of the order.
func (d *Dispatcher) execute(ctx context.Context, command *gang.Command) (*api.TaskAnswer, error) {
	if command.Kind == gang.Start {
		if err := d.control.CheckFresh(); err != nil {
			return nil, err
		}
		if d.control.State().Evacuated(command.DataCentre) {
			startsWithheld.Add(1)
			return nil, failure.New(failure.DataCentreEvacuated, "the data centre %s is evacuated", command.DataCentre)
		}
	}
	return d.workers.Command(ctx, command.Address, paths[command.Kind], &command.Task)
}

// countEvacuated counts the gangs of a batch that an evacuation kept from starting.
func countEvacuated(batch *controlpb.BatchMove) {
	for _, move := range batch.Moves {
		if move.Failure.GetCode() == string(failure.DataCentreEvacuated) {
			gangsEvacuated.Add(1)
		}
	}
}
