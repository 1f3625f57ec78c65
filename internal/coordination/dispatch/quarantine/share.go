package quarantine

import (
	"cmp"
	"slices"
)

// inUseDivisor is the part of each service's room, one of inUseDivisor, that stays in use whatever
// has failed there.
const inUseDivisor = 2

// Room is what a worker has for work, in use or not.
type Room struct{ CoresMilli, Accelerators int64 }

func (r Room) plus(other Room) Room {
	return Room{r.CoresMilli + other.CoresMilli, r.Accelerators + other.Accelerators}
}

// Judged is a worker that may be given work but for its verdict.
type Judged struct {
	Worker   string
	Services []string
	Verdict  Verdict
	Room     Room
	// Failures is the number of failures in a row, NewestMs the time of the newest one.
	Failures uint32
	NewestMs int64
}

func (j *Judged) excluded() bool { return j.Verdict == CoolingDown || j.Verdict == Quarantined }

// KeepInUse returns the workers that are given work although their verdict excludes them, so that
// of each service's room a share stays in use, as near to it as whole workers allow, and one worker at the
// least. Work that fails everywhere would otherwise take all of them out of use, and sound work would wait
// beside them. Those with the least evidence against them are kept.
func KeepInUse(workers []Judged) map[string]bool {
	byService := map[string][]*Judged{}
	for i := range workers {
		for _, service := range workers[i].Services {
			byService[service] = append(byService[service], &workers[i])
		}
	}
	kept := map[string]bool{}
	for _, judged := range byService {
		keepShare(judged, kept)
	}
	return kept
}

// keepShare adds the kept workers of one service.
func keepShare(judged []*Judged, kept map[string]bool) {
	room := roomOf(judged)
	var total, inUse Room
	var excluded []*Judged
	for _, j := range judged {
		total = total.plus(room(j))
		if j.excluded() {
			excluded = append(excluded, j)
			continue
		}
		inUse = inUse.plus(room(j))
	}
	slices.SortFunc(excluded, func(a, b *Judged) int {
		return cmp.Or(cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Failures, b.Failures), cmp.Compare(a.NewestMs, b.NewestMs), cmp.Compare(a.Worker, b.Worker))
	})
	for _, j := range excluded {
		r := room(j)
		if lacks(inUse.CoresMilli, r.CoresMilli, total.CoresMilli) || lacks(inUse.Accelerators, r.Accelerators, total.Accelerators) {
			kept[j.Worker] = true
			inUse = inUse.plus(r)
		}
	}
}

// lacks reports whether a worker brings what is in use of a resource nearer to its share of the total.
func lacks(inUse, room, total int64) bool {
	return room > 0 && (inUse == 0 || inUseDivisor*inUse+room < total)
}

// roomOf returns the room of each worker, or one unit each if none has said what it has.
func roomOf(judged []*Judged) func(*Judged) Room {
	if slices.ContainsFunc(judged, func(j *Judged) bool { return j.Room != Room{} }) {
		return func(j *Judged) Room { return j.Room }
	}
	return func(*Judged) Room { return Room{CoresMilli: 1} }
}
