package app

import (
	"context"
	"slices"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/membership"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/settings"
)

// lookEvery is how often changes of state are looked for: often enough for a
// person, and too seldom to cost an idle instance anything.
const lookEvery = time.Second

// heardForLog is the shortest silence after which the log says that an instance went:
// one sign of life and a second, or each would seem to go between two of them.
const heardForLog = peerPingEvery + time.Second

// view is what the log tells changes of.
type view struct {
	leader   string
	revision uint64
	// notReady is why this instance admits nothing; empty if it does.
	notReady  failure.Code
	instances []string
}

// change is one line of the log.
type change struct {
	message string
	fields  logrus.Fields
}

// changes lists what differs between two views. Figures that move all the time
// are counters and never lines.
func changes(before, after view) []change {
	var lines []change
	if before.leader != after.leader {
		lines = append(lines, change{"leader", logrus.Fields{"leader": after.leader, "before": before.leader}})
	}
	if before.revision != after.revision {
		lines = append(lines, change{"declarations in force", logrus.Fields{"revision": after.revision}})
	}
	if before.notReady != after.notReady && after.notReady == "" {
		lines = append(lines, change{"ready", nil})
	} else if before.notReady != after.notReady {
		lines = append(lines, change{"not ready", logrus.Fields{"code": after.notReady}})
	}
	lines = append(lines, appeared("instance came", before.instances, after.instances)...)
	return append(lines, appeared("instance went", after.instances, before.instances)...)
}

// appeared names those of after that are not in before.
func appeared(message string, before, after []string) []change {
	var lines []change
	for _, name := range after {
		if !slices.Contains(before, name) {
			lines = append(lines, change{message, logrus.Fields{"name": name}})
		}
	}
	return lines
}

func runChanges(lifecycle fx.Lifecycle, s *settings.Settings, log control.Log, registry *membership.Registry, logger *logrus.Logger) {
	background(lifecycle, func(ctx context.Context) {
		ticker := time.NewTicker(lookEvery)
		defer ticker.Stop()
		shown := view{notReady: failure.NotReady}
		for {
			seen := look(s, log, registry)
			for _, line := range changes(shown, seen) {
				logger.WithFields(line.fields).Info(line.message)
			}
			shown = seen
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func look(s *settings.Settings, log control.Log, registry *membership.Registry) view {
	seen := view{leader: log.Leader(), revision: log.State().Revision()}
	if err := log.Fresh(); err != nil {
		seen.notReady = failure.From(err).Code
	}
	for _, instance := range registry.Instances(max(s.Control.FreshnessBound, heardForLog)) {
		seen.instances = append(seen.instances, instance.Name)
	}
	return seen
}
