package dispatch_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// order commits an order on the evacuation of a data centre.
func (m *machines) order(dataCentre string, evacuate bool) {
	op := &controlpb.SetEvacuation{DataCentre: dataCentre, Evacuate: evacuate, ExpectedChanges: m.State().Evacuation(dataCentre).GetChanges()}
	_, _ = m.Propose(context.Background(), &controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: op}})
}

// startsSince counts the machines of a data centre on which a run began after a time.
func (m *machines) startsSince(dataCentre string, since time.Time) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	count := 0
	for _, machine := range m.list {
		if machine.dataCentre == dataCentre && machine.lastStart.After(since) {
			count++
		}
	}
	return count
}

func (m *machines) inTwoDataCentres() {
	for n, machine := range m.list {
		machine.dataCentre = []string{"east", "west"}[n%2]
	}
}

// Gangs arrive every 20 ms while data centres are evacuated, one and then both, and the leader
// is replaced in between. Guards against starts of plans that were committed before the order,
// attempts used up by an evacuation, work that is lost, and work that does not wait for the
// end of an evacuation.
func TestNothingStartsInAnEvacuatedDataCentre(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is, m := is.New(t), newMachines(6)
		m.inTwoDataCentres()
		m.lead(t)
		time.Sleep(time.Second)
		submitted := 0
		arrive := func(gangs int) {
			for range gangs {
				m.submit(fmt.Sprint("g", submitted), "x", &controlpb.Step{Count: 3, Gang: true, CoresMilli: 4000})
				submitted++
				time.Sleep(20 * time.Millisecond)
			}
		}
		// A command that was sent before the order still arrives, after a millisecond.
		evacuate := func(dataCentre string) time.Time {
			m.order(dataCentre, true)
			return time.Now().Add(2 * time.Millisecond)
		}
		arrive(70) // an idle leader looks for work once a second
		is.True(m.startsSince("east", time.Time{}) > 0)
		east := evacuate("east")
		arrive(20)
		m.stopLeader()
		m.lead(t)
		arrive(20)
		west := evacuate("west")
		arrive(10)
		time.Sleep(10 * time.Second)
		is.Equal(m.startsSince("east", east), 0)
		is.Equal(m.startsSince("west", west), 0)
		is.True(m.workflowState(fmt.Sprint("g", submitted-1)) != workflowCompleted)
		m.order("west", false)
		for n := range submitted {
			id := fmt.Sprint("g", n)
			m.await(t, time.Minute, id+" completes", func() bool { return m.workflowState(id) == workflowCompleted })
		}
		is.Equal(m.startsSince("east", east), 0)
		is.Equal(m.violations, nil)
		m.stopLeader()
		time.Sleep(settleTime)
	})
}
