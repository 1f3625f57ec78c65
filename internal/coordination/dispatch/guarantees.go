package dispatch

import (
	"expvar"
	"slices"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
)

var guaranteesUnmet = expvar.NewInt("dispatch_guarantees_unmet")

// unmetGuarantees is what the available workers can't hold of the guarantees.
type unmetGuarantees struct {
	// sets are guaranteed shapes without a place.
	sets []scheduling.Unmet
	// missing is the number of accelerators, over all guarantees by count, that the available
	// workers don't have.
	missing int64
}

// unmetOf compares the guarantees of a snapshot with its available workers.
func unmetOf(snapshot *scheduling.Snapshot, plan *scheduling.Plan) unmetGuarantees {
	missing := int64(0)
	for _, customer := range snapshot.Customers {
		missing += int64(customer.GuaranteedAccelerators)
	}
	for i := range snapshot.Workers {
		if !snapshot.Workers[i].Unavailable {
			missing -= int64(snapshot.Workers[i].Accelerators)
		}
	}
	return unmetGuarantees{sets: plan.Unmet, missing: max(missing, 0)}
}

func (u unmetGuarantees) count() int {
	count := len(u.sets)
	if u.missing > 0 {
		count++
	}
	return count
}

func (u unmetGuarantees) equal(other unmetGuarantees) bool {
	return u.missing == other.missing && slices.Equal(u.sets, other.sets)
}

// reportUnmet logs each change of the guarantees that can't be held: workers are lost or have
// shrunk, or hold work that can't be preempted.
func (c *Controller) reportUnmet(snapshot *scheduling.Snapshot, plan *scheduling.Plan) {
	current := unmetOf(snapshot, plan)
	if current.equal(c.unmet) {
		return
	}
	c.unmet = current
	guaranteesUnmet.Set(int64(current.count()))
	logger := c.dispatcher.config.Logger
	if logger == nil {
		return
	}
	if current.count() == 0 {
		logger.Info("all guarantees can be held again")
		return
	}
	if current.missing > 0 {
		logger.WithField("missing_accelerators", current.missing).Warn("guarantee can't be held")
	}
	for _, set := range current.sets {
		logger.WithFields(logrus.Fields{
			"customer": set.Customer, "set": set.Set, "accelerators": set.Accelerators, "adjacency": set.Adjacency.String(),
		}).Warn("guarantee can't be held")
	}
}
