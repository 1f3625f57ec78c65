package scheduling

import "pinewinch.example/pinewinch/internal/protocol/controlpb"

// amount is a quantity of a worker's resources: cores in thousandths, memory in
// MB.
type amount struct {
	accelerators int64
	cores        int64
	memory       int64
}

func (a amount) plus(b amount) amount {
	return amount{a.accelerators + b.accelerators, a.cores + b.cores, a.memory + b.memory}
}

func (a amount) minus(b amount) amount {
	return amount{a.accelerators - b.accelerators, a.cores - b.cores, a.memory - b.memory}
}

func (a amount) times(n int64) amount {
	return amount{a.accelerators * n, a.cores * n, a.memory * n}
}

func (a amount) least(b amount) amount {
	return amount{min(a.accelerators, b.accelerators), min(a.cores, b.cores), min(a.memory, b.memory)}
}

func (a amount) negative() bool { return a.accelerators < 0 || a.cores < 0 || a.memory < 0 }

// manyTasks bounds the tasks that one worker takes of one job.
const manyTasks = 1 << 20

// tasks tells how many tasks of one size fit into a: none if a is overdrawn.
func (a amount) tasks(each amount) int64 {
	if a.negative() {
		return 0
	}
	n := int64(manyTasks)
	if each.accelerators > 0 {
		n = min(n, a.accelerators/each.accelerators)
	}
	if each.cores > 0 {
		n = min(n, a.cores/each.cores)
	}
	if each.memory > 0 {
		n = min(n, a.memory/each.memory)
	}
	return max(n, 0)
}

func taskSize(job *controlpb.Job) amount {
	return amount{int64(job.Accelerators), milliCores(job.Cores, job.CoresMilli), int64(job.MemoryMb)}
}

func workerSize(worker *Worker) amount {
	return amount{accelerators(worker), milliCores(worker.Cores, worker.CoresMilli), int64(worker.MemoryMB)}
}

// milliPerCore is the unit in which cores are counted.
const milliPerCore = 1000

func milliCores(whole, milli uint32) int64 { return int64(whole)*milliPerCore + int64(milli) }

// maxAccelerators is the most accelerators of one worker: the bits of a mask.
const maxAccelerators = 64

func accelerators(worker *Worker) int64 { return int64(min(worker.Accelerators, maxAccelerators)) }
