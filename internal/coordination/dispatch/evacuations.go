package dispatch

import (
	"context"
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/evacuation"
	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
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
	// startsWithheld counts commands to reserve or start that were not sent because of an
	// evacuation, and gangsEvacuated gangs that were stopped before all members had started.
	startsWithheld = expvar.NewInt("dispatch_starts_evacuated")
	gangsEvacuated = expvar.NewInt("dispatch_gangs_evacuated")
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

// forgetEvacuations discards what a former leader observed.
func (c *Controller) forgetEvacuations() {
	c.evacuations = evacuation.Tracker{}
	dataCentresEvacuated.Set(0)
	tasksInEvacuated.Set(0)
}

// execute sends a command to its worker, unless it would give work to a data centre that has
// been evacuated since the command was issued: a command may wait until others are answered.
func (d *Dispatcher) execute(ctx context.Context, command *gang.Command) (*api.TaskAnswer, error) {
	if command.Kind != gang.Stop && d.control.State().Evacuated(command.DataCentre) {
		startsWithheld.Add(1)
		return nil, failure.New(failure.DataCentreEvacuated, "the data centre %s is evacuated", command.DataCentre)
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
