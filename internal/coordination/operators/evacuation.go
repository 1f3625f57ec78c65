package operators

import (
	"context"
	"expvar"
	"maps"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/arrival"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// applyWait limits how long an acknowledgement waits until this instance has applied the
// order, so that operators read their own writes. The order is committed in any case.
const applyWait = 200 * time.Millisecond

var (
	evacuationsAcknowledged = expvar.NewInt("operators_evacuations_acknowledged")
	evacuationsRefused      = expvar.NewInt("operators_evacuations_refused")
	// evacuationsRetried counts the orders that were proposed again with the newest number
	// of changes.
	evacuationsRetried = expvar.NewInt("operators_evacuations_retried")
)

// EvacuationConfig configures Evacuations.
type EvacuationConfig struct {
	// ResendWindow is how long after an order was committed the same order may be a resend.
	ResendWindow time.Duration
	// DataCentres are the data centres of the deployment; empty if they are those of the
	// replicas, the live instances and the announced upstreams.
	DataCentres []string
	// SettleTime is the time from the start of this instance until it has received the
	// announcements of all upstreams.
	SettleTime time.Duration
	// InstanceWindow is the maximum age of the last message of a live instance.
	InstanceWindow time.Duration
	Now            func() time.Time
}

// Evacuations serves the orders to evacuate and readmit data centres at one instance.
type Evacuations struct {
	config   EvacuationConfig
	log      control.Log
	registry *membership.Registry
	logger   *logrus.Logger
	started  time.Time
}

// NewEvacuations creates the service when an instance starts.
func NewEvacuations(config EvacuationConfig, log control.Log, registry *membership.Registry, logger *logrus.Logger) *Evacuations {
	return &Evacuations{config: config, log: log, registry: registry, logger: logger, started: config.Now()}
}

// Start orders that nothing more is sent to the upstreams of a data centre. It returns once
// the order is committed. It fails with not_found for an unknown data centre, with not_ready
// if the order was certainly not carried out, and with outcome_unknown otherwise; after the
// last two it can be sent again, here or to another instance.
func (e *Evacuations) Start(ctx context.Context, dataCentre string) error {
	return e.order(ctx, dataCentre, true)
}

// Finish readmits a data centre. It fails like Start.
func (e *Evacuations) Finish(ctx context.Context, dataCentre string) error {
	return e.order(ctx, dataCentre, false)
}

func (e *Evacuations) order(ctx context.Context, dataCentre string, evacuate bool) error {
	entry := e.logger.WithFields(logrus.Fields{"data_centre": shortName(dataCentre), "order": orderName(evacuate)})
	err := e.checkKnown(dataCentre)
	if err == nil {
		if err = e.commit(ctx, entry, dataCentre, evacuate); err == nil {
			return nil
		}
		err = retryable(err)
	}
	f := failure.From(err)
	evacuationsRefused.Add(1)
	state := e.log.State()
	entry.WithFields(logrus.Fields{
		"code": f.Code, "not_run": f.NotRun, "detail": f.Error(),
		"index": state.Index(), "changes": state.Evacuation(dataCentre).GetChanges(),
	}).Warn("evacuation refused")
	return err
}

// shortName limits the length of a name that may not be one of a data centre.
func shortName(dataCentre string) string {
	const maxBytes = 64
	return dataCentre[:min(len(dataCentre), maxBytes)]
}

func orderName(evacuate bool) string {
	if evacuate {
		return "start"
	}
	return "finish"
}

// commit proposes the order until it is committed, refused or out of time. An order that
// meets a newer number of changes is proposed again once this instance has applied it. That
// is not done if the state was stale when the call began: this process may have been
// paused, and the order may be older than the change. Nor is an order proposed that is too old once the number of
// changes has been read: its caller has given it to another instance, and may have given the opposite one since. Where the
// process is paused later, the number is that of then.
func (e *Evacuations) commit(ctx context.Context, entry *logrus.Entry, dataCentre string, evacuate bool) error {
	arrived := arrival.Time(ctx, e.config.Now())
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	stale := e.log.CheckFresh()
	for {
		changes := e.log.State().Evacuation(dataCentre).GetChanges()
		if err := arrival.Check(arrived, e.config.Now()); err != nil {
			return err
		}
		result, err := e.log.Propose(ctx, &controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{
			DataCentre: dataCentre, Evacuate: evacuate,
			ExpectedChanges: changes,
			ResendWindowMs:  e.config.ResendWindow.Milliseconds(),
		}}})
		if err != nil {
			return err
		}
		switch code := failure.Code(result.Code); {
		case code == "":
			e.acknowledge(ctx, entry, dataCentre, result)
			return nil
		case code != failure.Conflict || stale != nil:
			return failure.New(code, "%s", result.Detail)
		}
		evacuationsRetried.Add(1)
		if err := control.AwaitIndex(ctx, e.log, result.Index); err != nil {
			return err
		}
	}
}

func (e *Evacuations) acknowledge(ctx context.Context, entry *logrus.Entry, dataCentre string, result *controlpb.Result) {
	ctx, cancel := context.WithTimeout(ctx, applyWait)
	defer cancel()
	_ = control.AwaitIndex(ctx, e.log, result.Index)
	evacuationsAcknowledged.Add(1)
	entry.WithFields(logrus.Fields{"index": result.Index, "changes": e.log.State().Evacuation(dataCentre).GetChanges()}).Info("evacuation acknowledged")
}

// retryable turns the failure of an order for a known data centre into one with a status of
// 5xx: operators don't resend an order that is answered with most of the 4xx, such as that of
// revision_conflict, stale_sequence or no_quorum.
func retryable(err error) error {
	if failure.From(err).NotRun == failure.NotRunTrue {
		return failure.Wrap(failure.NotReady, err, "the order was not carried out; send it again")
	}
	return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "the order may have been committed; send it again")
}

// checkKnown fails with not_found if the data centre certainly doesn't exist, and with
// not_ready while this instance can't know.
func (e *Evacuations) checkKnown(dataCentre string) error {
	if slices.Contains(e.names(), dataCentre) {
		return nil
	}
	if len(e.config.DataCentres) > 0 {
		return failure.New(failure.NotFound, "no data centre %q", shortName(dataCentre))
	}
	if e.config.Now().Sub(e.started) < e.config.SettleTime {
		return failure.New(failure.NotReady, "this instance does not know all data centres yet")
	}
	if err := e.log.CheckFresh(); err != nil {
		return err
	}
	return failure.New(failure.NotFound, "no data centre %q", shortName(dataCentre))
}

// names returns the known data centres, sorted. One with a record stays known: it can be
// readmitted after all its machines are gone.
func (e *Evacuations) names() []string {
	names := map[string]bool{}
	for _, name := range e.config.DataCentres {
		names[name] = true
	}
	state := e.log.State()
	for _, record := range state.Evacuations() {
		names[record.DataCentre] = true
	}
	if len(e.config.DataCentres) == 0 {
		e.addLearned(names, state)
	}
	delete(names, "")
	return slices.Sorted(maps.Keys(names))
}

func (e *Evacuations) addLearned(names map[string]bool, state *store.State) {
	for _, replica := range state.Replicas() {
		names[replica.DataCentre] = true
	}
	for _, instance := range e.registry.Instances(e.config.InstanceWindow) {
		names[instance.DataCentre] = true
	}
	for _, kind := range []peerpb.UpstreamKind{peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, peerpb.UpstreamKind_UPSTREAM_KIND_MINION} {
		for _, upstream := range e.registry.Live(kind) {
			names[upstream.DataCentre] = true
		}
	}
}

// List returns the known data centres, sorted by name.
func (e *Evacuations) List() []api.DataCentre {
	state := e.log.State()
	workers, located := map[string]int{}, map[string]string{}
	for _, worker := range e.registry.Live(peerpb.UpstreamKind_UPSTREAM_KIND_WORKER) {
		workers[worker.DataCentre]++
		located[worker.Id] = worker.DataCentre
	}
	tasks := map[string]int{}
	for _, job := range state.Jobs() {
		for _, placement := range job.Placements {
			tasks[located[placement.Worker]]++
		}
	}
	list := []api.DataCentre{}
	for _, name := range e.names() {
		record := state.Evacuation(name)
		list = append(list, api.DataCentre{
			Name: name, Evacuated: record.GetActive(), Changes: record.GetChanges(),
			StartedMs: record.GetStartedMs(), FinishedMs: record.GetFinishedMs(),
			Workers: workers[name], PlacedTasks: tasks[name],
		})
	}
	return list
}
