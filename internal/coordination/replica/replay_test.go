package replica

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/state/store"
)

// commitChanges commits a number of changes sequentially.
func commitChanges(is *is.I, leader *Replica, number int) {
	is.Helper()
	for i := range number {
		propose(is, leader, fmt.Sprint("w", i%70))
	}
}

// Guards against callers refused while a start applies many entries since the last
// snapshot.
func TestStartAppliesFewEntries(t *testing.T) {
	const maxApplied = 2_000
	inBubble(t, func(is *is.I, m *mesh) {
		commitChanges(is, startAll(m), 4_500)
		m.crash("i2")
		_, recovered, err := openStorage(&Config{Instance: "i2", Files: m.disks["i2"], DataFolder: "/data/i2"})
		is.NoErr(err)
		behind := 0
		for _, entry := range recovered.consensus.Entries {
			if entry.Index > recovered.state.Index() {
				behind++
			}
		}
		is.True(behind <= maxApplied)
	})
}

// Guards against a cluster without elections while the replicas apply the entries on
// their disks.
func TestReplicaParticipatesDuringReplay(t *testing.T) {
	const maxEntriesPerPart = 256
	inBubble(t, func(is *is.I, m *mesh) {
		m.entries = 100_000
		commitChanges(is, startAll(m), 1_500)
		m.crash("i2")
		config := m.replicas["i2"].config
		config.Files = m.disks["i2"]
		storage, recovered, err := openStorage(&config)
		is.NoErr(err)
		defer storage.close()
		c, err := newCore(New(config, nil), storage, recovered)
		is.NoErr(err)
		for applied := c.state.Index(); applied < recovered.consensus.Hard.Commit; applied = c.state.Index() {
			is.NoErr(c.processAllReady(background()))
			is.True(c.state.Index() > applied)
			is.True(c.state.Index()-applied <= maxEntriesPerPart)
		}
	})
}

// Replay in parts must continue without waiting for ticks: at one part per tick a start
// with 1,500 entries would delay callers by another half a second.
func TestReplayInPartsContinuesWithoutDelay(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.entries = 100_000
		commitChanges(is, startAll(m), 1_500)
		m.crash("i2")
		started, r := time.Now(), m.start("i2")
		<-r.opened
		synctest.Wait()
		is.Equal(time.Since(started), time.Duration(0))
		is.True(r.State().Index() >= 1_500)
	})
}

// Guards against accepted work reported as unknown by a leader that has applied only a
// part of its log.
func TestReplayInPartsAppliesEverything(t *testing.T) {
	inBubble(t, func(is *is.I, m *mesh) {
		m.entries = 100_000
		commitChanges(is, startAll(m), 1_500)
		want := m.leader().State().Index()
		for _, voter := range voters {
			m.crash(voter)
		}
		for _, voter := range voters {
			m.start(voter)
		}
		for fresh := 0; fresh < len(voters); time.Sleep(time.Millisecond) {
			fresh = 0
			for _, voter := range voters {
				if m.replicas[voter].CheckFresh() != nil {
					continue
				}
				fresh++
				is.True(m.replicas[voter].State().Index() >= want)
				is.Equal(drainedCount(m.replicas[voter].State()), 70)
			}
		}
	})
}

func drainedCount(state *store.State) int { return len(state.Snapshot().Drained) }
