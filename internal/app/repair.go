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
	// minRepairDelay keeps a quick restart from counting as a loss.
	minRepairDelay = 30 * time.Second
	// maxRepairDelay limits the delay learned from a peer's history, and is how long
	// the voters of an unreachable data centre are waited for, unless the settings say less.
	maxRepairDelay = 2 * time.Hour
	// repairCost is the delay of a real repair that is worth one avoided needless repair:
	// docs/design/failure-detection.md.
	repairCost = time.Hour
)

// runRepairer monitors the voters on an instance that can become leader.
func runRepairer(lifecycle fx.Lifecycle, s *settings.Settings, node control.Node, registry *membership.Registry, logger *logrus.Logger) {
	log, isReplica := node.(repairer.Log)
	if !s.Control.AutomaticRepair || !isReplica {
		return
	}
	delays := detector.New(detector.Config{
		InitialDelay: s.Control.RepairAfter,
		MinDelay:     min(minRepairDelay, s.Control.RepairAfter),
		MaxDelay:     maxRepairDelay,
		RepairCost:   repairCost,
	})
	config := repairer.Config{
		Repair:          repair.Config{Voters: s.Control.WantedVoters(), PartitionDelay: maxRepairDelay, MaxDelay: s.Control.MaxRepairDelay},
		Window:          livenessWindow,
		ContactInterval: peerPingInterval,
		Now:             time.Now,
		Logger:          logger,
	}
	background(lifecycle, repairer.New(config, log, registry, delays).Run)
}
