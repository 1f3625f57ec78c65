package replica

import (
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/state/disk"
)

// slowDisk adds a delay to each sync: disks differ widely in that, and the
// machine at hand may have one that syncs into a cache.
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

// loopRate is what the disk allows one writer that syncs each of its writes, of
// a command's size: the measure for the log's own rates.
func loopRate(b *testing.B, m *mesh) float64 {
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

// BenchmarkCommits measures commits of three voters on one disk in one process,
// as a ratio to a plain write and sync loop there, taken before and after.
// One commit syncs on three logs, which here share the disk.
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
	before := loopRate(b, m)
	synced := syncs.Value()
	b.ResetTimer()
	write(b, leader, writers, b.N)
	rate := float64(b.N) / b.Elapsed().Seconds()
	b.StopTimer()
	perSync := float64(len(voters)*b.N) / float64(syncs.Value()-synced)
	loop := (before + loopRate(b, m)) / 2
	b.ReportMetric(rate, "commits/s")
	b.ReportMetric(loop, "loop/s")
	b.ReportMetric(perSync, "commits/sync")
	b.ReportMetric(rate/loop, "commits/loop")
}

// write commits a number of commands by a number of writers.
func write(b *testing.B, leader *Replica, writers, count int) {
	var all sync.WaitGroup
	for w := range writers {
		all.Go(func() {
			for i := w; i < count; i += writers {
				if _, err := leader.Propose(background(), drain(fmt.Sprint("worker-", i%1000))); err != nil {
					b.Error(err)
				}
			}
		})
	}
	all.Wait()
}

// BenchmarkRestart measures how long a replica takes from opening its folder to
// the state, after 100,000 changes, with snapshots as by default and without.
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

// restart opens the folder and applies everything that is committed.
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
		if err := c.carryOutAll(background()); err != nil {
			b.Fatal(err)
		}
	}
	if c.state.Index() < 99_000 {
		b.Fatalf("restarted at %d", c.state.Index())
	}
	storage.close()
}
