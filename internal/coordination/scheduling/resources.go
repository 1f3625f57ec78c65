package scheduling

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// resources is a quantity of a worker's resources: accelerators by count, cores in
// thousandths, memory in MB.
type resources struct {
	accelerators int64
	cores        int64
	memory       int64
}

func (a resources) plus(b resources) resources {
	return resources{a.accelerators + b.accelerators, a.cores + b.cores, a.memory + b.memory}
}

func (a resources) minus(b resources) resources {
	return resources{a.accelerators - b.accelerators, a.cores - b.cores, a.memory - b.memory}
}

func (a resources) times(n int64) resources {
	return resources{a.accelerators * n, a.cores * n, a.memory * n}
}

func (a resources) elementMin(b resources) resources {
	return resources{min(a.accelerators, b.accelerators), min(a.cores, b.cores), min(a.memory, b.memory)}
}

func (a resources) negative() bool { return a.accelerators < 0 || a.cores < 0 || a.memory < 0 }

// maxTasksPerWorker limits how many tasks of one job a worker is counted to hold: a
// task that asks for no resources would otherwise fit without limit.
const maxTasksPerWorker = 1 << 20

// tasks returns how many tasks of the given size fit into a: 0 if a is negative, as on
// an overcommitted worker.
func (a resources) tasks(perTask resources) int64 {
	if a.negative() {
		return 0
	}
	n := int64(maxTasksPerWorker)
	if perTask.accelerators > 0 {
		n = min(n, a.accelerators/perTask.accelerators)
	}
	if perTask.cores > 0 {
		n = min(n, a.cores/perTask.cores)
	}
	if perTask.memory > 0 {
		n = min(n, a.memory/perTask.memory)
	}
	return max(n, 0)
}

func taskSize(job *controlpb.Job) resources {
	return resources{int64(job.Accelerators), milliCores(job.Cores, job.CoresMilli), int64(job.MemoryMb)}
}

func workerSize(worker *Worker) resources {
	return resources{accelerators(worker), milliCores(worker.Cores, worker.CoresMilli), int64(worker.MemoryMB)}
}

// milliPerCore is the number of core units in one core.
const milliPerCore = 1000

func milliCores(whole, milli uint32) int64 { return int64(whole)*milliPerCore + int64(milli) }

// maxAccelerators is the most accelerators of one worker that are scheduled: their
// numbers are kept as bits of a 64-bit mask.
const maxAccelerators = 64

func accelerators(worker *Worker) int64 { return int64(min(worker.Accelerators, maxAccelerators)) }
