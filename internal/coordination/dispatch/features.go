package dispatch

import (
	"expvar"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
)

// speedsUneven is 1 while work is placed by its expected end because the speeds of the
// workers differ widely.
var speedsUneven = expvar.NewInt("dispatch_speeds_uneven")

// features returns the optional parts of scheduling for the next pass.
func (c *Controller) features(workers []scheduling.Worker) scheduling.Features {
	config := &c.dispatcher.config
	features := config.Features
	if !config.ExpectedEndIfUneven {
		return features
	}
	if uneven := scheduling.Uneven(workers, c.uneven); uneven != c.uneven {
		c.uneven = uneven
		speedsUneven.Set(0)
		if uneven {
			speedsUneven.Set(1)
		}
		if config.Logger != nil {
			config.Logger.WithFields(logrus.Fields{"uneven": uneven, "workers": len(workers)}).Info("spread of worker speeds")
		}
	}
	features.ExpectedEnd = features.ExpectedEnd || c.uneven
	return features
}
