package replica

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/state/disk"
)

// slowDisk adds a delay to each sync. Sync times differ widely between disks, and the
// disk of the test machine may only sync into a cache.
type slowDisk struct {
	disk.OS
	delay time.Duration
}

func (s slowDisk) Create(path string) (disk.File, error) { return s.slow(s.OS.Create(path)) }
func (s slowDisk) Open(path string) (disk.File, error)   { return s.slow(s.OS.Open(path)) }

func (s slowDisk) slow(file disk.File, err error) (disk.File, error) {
	return slowFile{file, s.delay}, err
}

type slowFile struct {
	disk.File
	delay time.Duration
}

func (f slowFile) Sync() error {
	if f.delay > 0 {
		time.Sleep(f.delay)
	}
	return f.File.Sync()
}

// diskSyncRate measures the writes per second of a single writer that syncs after each
// write of a command's size. It is the baseline for the commit rate of the log.
func diskSyncRate(b *testing.B, m *mesh) float64 {
	file, err := m.files("").Create(filepath.Join(m.folder, "loop"))
	if err != nil {
		b.Fatal(err)
	}
	defer file.Close()
	record := make([]byte, 64)
	const writes = 300
	began := time.Now()
	for range writes {
		if _, err := file.Write(record); err != nil {
			b.Fatal(err)
		}
		if err := file.Sync(); err != nil {
			b.Fatal(err)
		}
	}
	return writes / time.Since(began).Seconds()
}

func startOnDisk(b *testing.B, entries uint64, delay time.Duration) (*mesh, *Replica) {
	m := newMesh(b)
	m.folder = b.TempDir()
	m.entries = entries
	m.syncDelay = delay
	for _, voter := range voters {
		m.start(voter)
	}
	return m, m.leader()
}

// BenchmarkCommits measures commits of three voters in one process, as a ratio to a
// plain write and sync loop on the same disk, measured before and after. One commit is
// synced by three logs, which share the disk here.
func BenchmarkCommits(b *testing.B) {
	for _, delay := range []time.Duration{0, time.Millisecond} {
		for _, writers := range []int{1, 8, 64} {
			b.Run(fmt.Sprintf("sync+%s/%d-writers", delay, writers), func(b *testing.B) {
				benchmarkCommits(b, delay, writers)
			})
		}
	}
}

func benchmarkCommits(b *testing.B, delay time.Duration, writers int) {
	m, leader := startOnDisk(b, 0, delay)
	before := diskSyncRate(b, m)
	synced := syncs.Value()
	b.ResetTimer()
	write(b, leader, writers, b.N)
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.StopTimer()
	perSync := float64(len(voters)*b.N) / float64(syncs.Value()-synced)
	baseline := (before + diskSyncRate(b, m)) / 2
	b.ReportMetric(rate, "commits/s")
	b.ReportMetric(baseline, "loop/s")
	b.ReportMetric(perSync, "commits/sync")
	b.ReportMetric(rate/baseline, "commits/loop")
}

// write commits count commands from a number of concurrent writers.
func write(b *testing.B, leader *Replica, writers, count int) {
	var wg sync.WaitGroup
	for w := range writers {
		wg.Go(func() {
			for i := w; i < count; i += writers {
				if _, err := leader.Propose(background(), drain(fmt.Sprint("worker-", i%1000))); err != nil {
					b.Error(err)
				}
			}
		})
	}
	wg.Wait()
}

// BenchmarkRestart measures the time from opening the data folder to the recovered state
// after 100,000 changes, with default snapshots and without snapshots.
func BenchmarkRestart(b *testing.B) {
	for name, entries := range map[string]uint64{"snapshots": 0, "log-only": 1 << 40} {
		b.Run(name, func(b *testing.B) {
			m, leader := startOnDisk(b, entries, 0)
			write(b, leader, 256, 100_000)
			for _, stop := range m.stops {
				_ = stop()
			}
			config := m.replicas["i2"].config
			config.SnapshotBytes = 1 << 40
			b.ResetTimer()
			for range b.N {
				restart(b, &config)
			}
		})
	}
}

// restart opens the data folder and applies all committed entries.
func restart(b *testing.B, config *Config) {
	storage, recovered, err := openStorage(config)
	if err != nil {
		b.Fatal(err)
	}
	c, err := newCore(New(*config, nil), storage, recovered)
	if err != nil {
		b.Fatal(err)
	}
	for c.replaying() {
		if err := c.processAllReady(background()); err != nil {
			b.Fatal(err)
		}
	}
	if c.state.Index() < 99_000 {
		b.Fatalf("restarted at %d", c.state.Index())
	}
	storage.close()
}
