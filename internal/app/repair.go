package app

import (
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/coordination/membership/detector"
	"pinewinch.example/pinewinch/internal/coordination/repair"
	"pinewinch.example/pinewinch/internal/coordination/repairer"
	"pinewinch.example/pinewinch/internal/settings"
)

const (
	// leastRepairDelay keeps a quick restart from counting as a loss.
	leastRepairDelay = 30 * time.Second
	// mostRepairDelay bounds what a peer's history can ask for, and is how long
	// the voters of a silent data centre are waited for.
	mostRepairDelay = 2 * time.Hour
	// repairCost is how long a real loss may wait to save a needless repair:
	// docs/design/failure-detection.md.
	repairCost = time.Hour
)

// runRepairer watches the voters from an instance that may come to lead.
func runRepairer(lifecycle fx.Lifecycle, s *settings.Settings, node control.Node, registry *membership.Registry, logger *logrus.Logger) {
	log, keepsLog := node.(repairer.Log)
	if !s.Control.AutomaticRepair || !keepsLog {
		return
	}
	learned := detector.New(detector.Config{
		InitialDelay: s.Control.RepairAfter,
		MinDelay:     min(leastRepairDelay, s.Control.RepairAfter),
		MaxDelay:     mostRepairDelay,
		RepairCost:   repairCost,
	})
	config := repairer.Config{
		Repair: repair.Config{Voters: s.Control.WantedVoters(), CutDelay: mostRepairDelay},
		Window: heardWindow,
		Now:    time.Now,
		Logger: logger,
	}
	background(lifecycle, repairer.New(config, log, registry, learned).Run)
}
