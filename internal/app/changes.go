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

// changesInterval is how often state is checked for changes to log: often enough for
// an operator, and too seldom to cost an idle instance anything.
const changesInterval = time.Second

// minLoggedSilence is the minimum time since an instance's last heartbeat before its
// departure is logged: one heartbeat interval and a second, or every instance would
// seem to go between two heartbeats.
const minLoggedSilence = peerPingInterval + time.Second

// view is the state whose changes are logged.
type view struct {
	leader string
	// notReady is why this instance admits no requests; empty if it admits them.
	notReady  failure.Code
	instances []string
}

// change is one log line.
type change struct {
	message string
	fields  logrus.Fields
}

// changes lists the differences between two views. Values that change continuously
// are exported as counters and not logged.
func changes(before, after view) []change {
	var lines []change
	if before.leader != after.leader {
		lines = append(lines, change{"leader", logrus.Fields{"leader": after.leader, "before": before.leader}})
	}
	if before.notReady != after.notReady && after.notReady == "" {
		lines = append(lines, change{"ready", nil})
	} else if before.notReady != after.notReady {
		lines = append(lines, change{"not ready", logrus.Fields{"code": after.notReady}})
	}
	lines = append(lines, added("instance came", before.instances, after.instances)...)
	return append(lines, added("instance went", after.instances, before.instances)...)
}

// added returns a change for each name in after that is not in before.
func added(message string, before, after []string) []change {
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
		ticker := time.NewTicker(changesInterval)
		defer ticker.Stop()
		previous := view{notReady: failure.NotReady}
		for {
			current := currentView(s, log, registry)
			for _, line := range changes(previous, current) {
				logger.WithFields(line.fields).Info(line.message)
			}
			previous = current
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
			}
		}
	})
}

func currentView(s *settings.Settings, log control.Log, registry *membership.Registry) view {
	current := view{leader: log.Leader()}
	if err := log.CheckFresh(); err != nil {
		current.notReady = failure.From(err).Code
	}
	for _, instance := range registry.Instances(max(s.Control.FreshnessBound, minLoggedSilence)) {
		current.instances = append(current.instances, instance.Name)
	}
	return current
}
