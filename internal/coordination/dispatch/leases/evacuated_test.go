package leases

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// An evacuation is committed while a start waits for the worker's first answer. It must not be
// sent although the job is placed there. A leader that is cut off, and so does not know of
// the order, sends none once its leadership is no longer confirmed.
func TestStartIsNotSentToAnEvacuatedDataCentre(t *testing.T) {
	for name, order := range map[string]func(c *fakeCluster){
		"evacuated": func(c *fakeCluster) {
			c.apply(&controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{DataCentre: worker.DataCentre, Evacuate: true}}})
		},
		"cut off": func(c *fakeCluster) { c.set(func() { c.fresh = false }) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is, c := is.New(t), newFakeCluster(placedState())
				c.delay = 600 * time.Millisecond
				m := startManager(t, c)
				done := make(chan error, 1)
				go func() {
					_, err := sendCommand(m, api.PathTaskStart)
					done <- err
				}()
				time.Sleep(100 * time.Millisecond)
				order(c)
				err := <-done
				is.True(failure.From(err).Code.Infrastructure())
				is.Equal(failure.Is(err, failure.DataCentreEvacuated), name == "evacuated")
				is.Equal(c.started, nil)
			})
		})
	}
}
