package dispatch

import (
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/scheduling"
)

// passAnyway is how often a pass is made without news: time alone ends back-offs
// and moves deadlines near.
const passAnyway = time.Second

// passGate tells when a scheduling pass can find anything new. Announcements come
// many times a second and mostly change nothing that a pass looks at.
type passGate struct {
	index   uint64
	workers []workerFacts
	made    time.Time
}

// workerFacts is what scheduling reads of a worker.
type workerFacts struct {
	id, dataCentre, rack string
	cores, accelerators  uint32
	memoryMB             uint64
	unavailable          bool
}

// open tells whether a pass is due, and takes note that it is made now.
func (g *passGate) open(index uint64, workers []scheduling.Worker, now time.Time) bool {
	facts := make([]workerFacts, len(workers))
	for i, w := range workers {
		facts[i] = workerFacts{
			id: w.ID, dataCentre: w.DataCentre, rack: w.Rack,
			cores: w.Cores, accelerators: w.Accelerators, memoryMB: w.MemoryMB,
			unavailable: w.Unavailable,
		}
	}
	due := index != g.index || !slices.Equal(facts, g.workers) || now.Sub(g.made) >= passAnyway
	if due {
		*g = passGate{index: index, workers: facts, made: now}
	}
	return due
}
