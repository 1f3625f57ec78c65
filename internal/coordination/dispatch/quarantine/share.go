package quarantine

import (
	"cmp"
	"slices"
)

// inUseDivisor is the part of each service's workers, one of inUseDivisor, that stays in use whatever
// has failed on them.
const inUseDivisor = 2

// Judged is a worker that may be given work but for its verdict.
type Judged struct {
	Worker   string
	Services []string
	Verdict  Verdict
	// Failures is the number of failures in a row, NewestMs the time of the newest one.
	Failures uint32
	NewestMs int64
}

func (j *Judged) excluded() bool { return j.Verdict == CoolingDown || j.Verdict == Quarantined }

// KeepInUse returns the workers that are given work although their verdict excludes them, so that
// of each service's workers a share stays in use, and one at the least. Work that fails everywhere
// would otherwise take all of them out of use, and sound work would wait beside them. Those with
// the least evidence against them are kept.
func KeepInUse(workers []Judged) map[string]bool {
	byService := map[string][]*Judged{}
	for i := range workers {
		for _, service := range workers[i].Services {
			byService[service] = append(byService[service], &workers[i])
		}
	}
	kept := map[string]bool{}
	for _, judged := range byService {
		excluded := slices.DeleteFunc(slices.Clone(judged), func(j *Judged) bool { return !j.excluded() })
		missing := max(len(judged)/inUseDivisor, 1) - (len(judged) - len(excluded))
		slices.SortFunc(excluded, func(a, b *Judged) int {
			return cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.NewestMs, b.NewestMs), cmp.Compare(a.Worker, b.Worker))
		})
		for _, j := range excluded[:max(missing, 0)] {
			kept[j.Worker] = true
		}
	}
	return kept
}
