package app

import (
	"context"
	"expvar"
	"math"
	"runtime/debug"
	"runtime/metrics"
	"time"

	"github.com/sirupsen/logrus"
	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/settings"
)

// Near the memory of the machine the runtime collects as often as it takes. Below that, a
// collection takes processor time from the decisions of a leader, most of all
// on a machine with a part of one core. Where the machine has memory to spare, instances with
// a replica collect less often: the heap may grow to a share of the machine's memory.

const (
	// usualGCPercent is the growth of the heap between two collections, in percent, that Go
	// uses by itself; never less is set.
	usualGCPercent = 100
	maxGCPercent   = 300
	// heapShare is the share of the machine's memory up to which the heap may grow, and
	// memoryShare that at which the runtime collects as often as it takes.
	heapShare, memoryShare = 0.5, 0.8
	// collectionInterval is the time between two adjustments. The heap grows by tens of MB
	// a second.
	collectionInterval = time.Second
	// minGCPercentChange keeps the runtime from being adjusted for each small change.
	minGCPercentChange = 20

	bytesPerMB = 1 << 20
)

var gcPercent = expvar.NewInt("collection_percent")

// collectionModule is used on all instances.
var collectionModule = fx.Module("collection", fx.Invoke(runCollection))

// gcPercentFor returns by how many percent the live heap, in bytes, may grow until the next
// collection.
func gcPercentFor(live, memory uint64) int {
	if live == 0 {
		return maxGCPercent
	}
	percent := 100 * (heapShare*float64(memory)/float64(live) - 1)
	return int(min(max(percent, usualGCPercent), maxGCPercent))
}

func runCollection(lifecycle fx.Lifecycle, s *settings.Settings, logger *logrus.Logger) {
	memory := uint64(s.Instance.MemoryMB) * bytesPerMB
	if memory == 0 {
		return
	}
	lifecycle.Append(fx.StartStopHook(
		func() { debug.SetMemoryLimit(int64(memoryShare * float64(memory))) },
		func() { debug.SetMemoryLimit(math.MaxInt64) },
	))
	if s.Instance.DataFolder == "" {
		return
	}
	background(lifecycle, func(ctx context.Context) {
		ticker := time.NewTicker(collectionInterval)
		defer ticker.Stop()
		for current := 0; ; {
			current = adjustCollection(current, memory, logger)
			select {
			case <-ctx.Done():
				debug.SetGCPercent(usualGCPercent)
				return
			case <-ticker.C:
			}
		}
	})
}

// adjustCollection sets the percentage that fits the live heap, and returns it.
func adjustCollection(current int, memory uint64, logger *logrus.Logger) int {
	sample := []metrics.Sample{{Name: "/gc/heap/live:bytes"}}
	metrics.Read(sample)
	live := sample[0].Value.Uint64()
	wanted := gcPercentFor(live, memory)
	if change := wanted - current; max(change, -change) < minGCPercentChange {
		return current
	}
	debug.SetGCPercent(wanted)
	gcPercent.Set(int64(wanted))
	logger.WithFields(logrus.Fields{"percent": wanted, "live_mb": live / bytesPerMB, "memory_mb": memory / bytesPerMB}).Info("garbage is collected")
	return wanted
}
