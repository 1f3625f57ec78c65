package gang_test

import (
	"fmt"
	"testing"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/gang"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// fullInput returns an input in which every worker runs tasksEach tasks of running jobs.
// The system is planned for 1,900 workers with ten tasks each, in 300 jobs.
func fullInput(workers, tasksEach, jobs int) *gang.Input {
	in := &gang.Input{Now: epochStart, Quarantined: func(string) bool { return false }}
	for j := range jobs {
		in.Jobs = append(in.Jobs, &controlpb.Job{
			Id: fmt.Sprint("j", j), Epoch: 1, StartedMs: 1, Idempotent: true,
			State: controlpb.JobState_JOB_STATE_RUNNING,
		})
	}
	for w := range workers {
		upstream := &peerpb.Upstream{Id: fmt.Sprint("w", w), Incarnation: 1, Version: 1}
		for n := range tasksEach {
			job := in.Jobs[(w*tasksEach+n)%jobs]
			task := uint32(len(job.Placements))
			job.Tasks++
			job.Placements = append(job.Placements, &controlpb.Placement{Task: task, Worker: upstream.Id, Accelerators: []uint32{uint32(n)}, Incarnation: 1})
			upstream.Tasks = append(upstream.Tasks, &peerpb.TaskReport{Job: job.Id, Task: task, Epoch: 1, Phase: peerpb.TaskPhase_TASK_PHASE_RUNNING})
		}
		in.Workers = append(in.Workers, upstream)
	}
	return in
}

// BenchmarkStep measures ten steps, which a leader takes in one second. In them every
// worker announces itself once.
func BenchmarkStep(b *testing.B) {
	for _, size := range []struct{ workers, tasks, jobs int }{{50, 8, 40}, {475, 10, 75}, {950, 10, 150}, {1900, 10, 300}} {
		b.Run(fmt.Sprintf("workers=%d,tasks=%d", size.workers, size.workers*size.tasks), func(b *testing.B) {
			in := fullInput(size.workers, size.tasks, size.jobs)
			machine := gang.New(config)
			machine.Step(in)
			b.ReportAllocs()
			for b.Loop() {
				for tick := range 10 {
					in.Now = in.Now.Add(100 * time.Millisecond)
					for i := tick; i < len(in.Workers); i += 10 {
						announcement := &peerpb.Upstream{Id: in.Workers[i].Id, Incarnation: 1, Version: in.Workers[i].Version + 1, Tasks: in.Workers[i].Tasks}
						in.Workers[i] = announcement
					}
					machine.Step(in)
				}
			}
		})
	}
}
