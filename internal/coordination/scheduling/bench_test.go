package scheduling

import (
	"fmt"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// fullSizeSnapshot is the planned size: 1,900 workers with about one accelerator each,
// running tasks in gangs of about 20, and waiting jobs of many shapes, a tenth of them
// urgent or of owners that reclaim their cells.
func fullSizeSnapshot(runningTasks, waiting int) *Snapshot {
	workers := testWorkers(23, 4, 21, 1)[:1900]
	for i := range workers {
		workers[i].Accelerators = uint32([]int{1, 0, 1, 2, 1, 1, 2, 1, 1, 0}[i%10])
	}
	var customers []*controlpb.Customer
	for i := range 70 {
		customers = append(customers, guarantee(fmt.Sprint("c", i), 1, uint32(4+i%10), inRack))
	}
	var jobs []*controlpb.Job
	free := make([]uint32, len(workers))
	for i := range workers {
		free[i] = workers[i].Accelerators
	}
	for placed, id := 0, 0; placed < runningTasks; id++ {
		job := waitingJob(fmt.Sprint("r", id), fmt.Sprint("c", id%70), 20, 0, checkpointable)
		job.State, job.StartedMs, job.Epoch = controlpb.JobState_JOB_STATE_RUNNING, start.Add(-time.Hour).UnixMilli(), 1
		if id%20 == 0 {
			job.Accelerators = 1
		}
		for task := uint32(0); task < job.Tasks; placed++ {
			w := placed % len(workers)
			placement := &controlpb.Placement{Task: task, Worker: workers[w].ID}
			if job.Accelerators > 0 {
				if free[w] == 0 {
					continue
				}
				free[w]--
				placement.Accelerators = []uint32{free[w]}
			}
			job.Placements = append(job.Placements, placement)
			task++
		}
		jobs = append(jobs, job)
	}
	for i := range waiting {
		job := waitingJob(fmt.Sprint("w", i), fmt.Sprint("c", i%70), uint32(1+i%32), uint32(i%2),
			adjacency([]controlpb.Adjacency{anywhere, inRack, inDataCentre}[i%3]), submitted(time.Duration(i)*time.Minute))
		job.Checkpointable, job.Urgent = i%5 != 0, i%20 == 0
		jobs = append(jobs, job)
	}
	return snapshotOf(workers, customers, jobs...)
}

// BenchmarkPass measures one pass at the planned size, and how it grows with the
// waiting jobs: if growth is near-linear, a job costs the same among 250 and among
// 4,000.
func BenchmarkPass(b *testing.B) {
	for _, waiting := range []int{0, 250, 1000, 4000} {
		b.Run(fmt.Sprintf("running=19000/waiting=%d", waiting), func(b *testing.B) {
			s := fullSizeSnapshot(19000, waiting)
			s.Cells = Pass(s).Cells
			for b.Loop() {
				if plan := Pass(s); plan.Breach != nil {
					b.Fatal(plan.Breach)
				}
			}
		})
	}
}

// busyUnits is a system of workers with 8 accelerators each, almost full of units of
// workflows, with as many waiting: single tasks, gangs for one rack, and urgent gangs.
func busyUnits(workers int) *Snapshot {
	const perRack = 8
	nodes := testWorkers(1, (workers+perRack-1)/perRack, perRack, 8)[:workers]
	var jobs []*controlpb.Job
	for n := range nodes {
		for i := range 7 {
			id := fmt.Sprint("r", n, "-", i)
			jobs = append(jobs, unitJob(id, "b", 1, 1, withPriority(2), running(time.Second, 0, nodes[n].ID), dueIn(20*time.Second)))
		}
	}
	for n := range workers {
		id, due := fmt.Sprint("w", n), dueIn(time.Duration(4+n%20)*time.Second)
		switch n % 4 {
		case 0:
			jobs = append(jobs, unitJob(id, "a", 3, 4, topPriority, due))
		case 1:
			jobs = append(jobs, unitJob(id, "b", 5, 4, withPriority(1), coupled, waited(2*time.Second), due))
		default:
			jobs = append(jobs, unitJob(id, "b", 1, 1, withPriority(2), due))
		}
	}
	return unitsSnapshot(nodes, jobs...)
}

// BenchmarkUnitsPass measures one pass over a busy system that runs workflows, and how
// it grows with the workers.
func BenchmarkUnitsPass(b *testing.B) {
	for _, workers := range []int{48, 350, 1900} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			s := busyUnits(workers)
			for b.Loop() {
				if plan := Pass(s); plan.Breach != nil {
					b.Fatal(plan.Breach)
				}
			}
		})
		b.Run(fmt.Sprintf("workers=%d/speeds", workers), func(b *testing.B) {
			benchmarkSpeeds(b, busyUnits(workers), Features{})
		})
		b.Run(fmt.Sprintf("workers=%d/expected-end", workers), func(b *testing.B) {
			benchmarkSpeeds(b, busyUnits(workers), Features{ExpectedEnd: true})
		})
	}
}

// benchmarkSpeeds measures one pass over workers of different speeds.
func benchmarkSpeeds(b *testing.B, s *Snapshot, features Features) {
	for i := range s.Workers {
		s.Workers[i].Speed = 0.6 + float64(i*7%21)/20
	}
	s.Features = features
	for b.Loop() {
		if plan := Pass(s); plan.Breach != nil {
			b.Fatal(plan.Breach)
		}
	}
}

// BenchmarkRetriesWithoutRoom measures one pass over further attempts that find no room:
// the preference for other workers must cost nothing where there is no choice.
func BenchmarkRetriesWithoutRoom(b *testing.B) {
	nodes := testWorkers(1, 210, 9, 8)
	var jobs []*controlpb.Job
	for i, n := range nodes {
		jobs = append(jobs,
			unitJob(fmt.Sprint("r", i), "b", 1, 7, running(time.Second, 0, n.ID), dueIn(20*time.Second)),
			unitJob(fmt.Sprint("w", i), "b", 1, 2, attemptsOn(n.ID), dueIn(20*time.Second)))
	}
	for _, careful := range []bool{false, true} {
		b.Run(fmt.Sprint("careful=", careful), func(b *testing.B) {
			benchmarkSpeeds(b, unitsSnapshot(nodes, jobs...), Features{AttemptPlacement: careful})
		})
	}
}
