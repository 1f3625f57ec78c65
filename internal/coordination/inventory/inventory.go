// Package inventory creates jobs for the declared inventory entries. The work of an
// entry is due once per period and once per change; no occurrence is due twice.
package inventory

import (
	"fmt"
	"math"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	msPerMinute = int64(time.Minute / time.Millisecond)
	msPerDay    = 24 * 60 * msPerMinute
)

// maxJobsPerCall limits the jobs of one call of Due, and so the size of one log
// entry; further jobs are returned by the next call.
const maxJobsPerCall = 512

// never is the end, in ms, of a period that does not end; no clock reaches it.
const never = int64(math.MaxInt64)

// State is the part of the control state that decides which entries are due.
type State interface {
	Revision() uint64
	Items() []*controlpb.Item
	WorkClass(name string) (*controlpb.WorkClass, bool)
	Job(id string) (*controlpb.Job, bool)
	WasDue(entry string, period int64, change string) bool
}

// Planner finds the entries whose work is due. If the last scan found none, it
// scans the inventory again only after the declarations have changed or a period
// has ended, so that it costs an idle leader next to nothing. It is not safe for
// concurrent use.
type Planner struct {
	// noneDue is true if the last scan found no entry due; revision is that of the
	// declarations it read.
	noneDue  bool
	revision uint64
	// nextPeriodMs is the Unix time in ms at which the next period of any entry
	// begins.
	nextPeriodMs int64
}

// Due returns the jobs for entries that are due at now and for which the state has
// neither a job nor an occurrence, at most maxJobsPerCall. Each call returns them
// again until they are submitted.
func (p *Planner) Due(state State, now time.Time) []*controlpb.Job {
	ms := now.UnixMilli()
	if p.noneDue && p.revision == state.Revision() && ms < p.nextPeriodMs {
		return nil
	}
	due, nextMs := scan(state, now)
	p.noneDue = len(due) == 0
	p.revision = state.Revision()
	p.nextPeriodMs = nextMs
	return due
}

func scan(state State, now time.Time) (due []*controlpb.Job, nextMs int64) {
	nextMs = never
	for _, item := range state.Items() {
		entry := item.GetEntry()
		if entry == nil {
			continue
		}
		period, endMs := periodAt(entry, now)
		nextMs = min(nextMs, endMs)
		if len(due) < maxJobsPerCall && !state.WasDue(entry.Name, period, entry.Change) {
			due = appendJob(due, state, entry, period, now)
		}
	}
	return due, nextMs
}

// periodAt returns the number of the entry's period that contains now, and the end
// of that period as Unix time in ms. An entry without a period has number 0 and no
// end.
func periodAt(entry *controlpb.Entry, now time.Time) (period, endMs int64) {
	if entry.PeriodMs == 0 {
		return 0, never
	}
	period = now.UnixMilli() / entry.PeriodMs
	return period, (period + 1) * entry.PeriodMs
}

func appendJob(due []*controlpb.Job, state State, entry *controlpb.Entry, period int64, now time.Time) []*controlpb.Job {
	class, ok := state.WorkClass(entry.WorkClass)
	if !ok {
		return due
	}
	job := NewJob(jobID(entry, period), entry.Customer, class, now)
	if _, known := state.Job(job.Id); known {
		return due
	}
	job.Entry = entry.Name
	job.Occurrence = occurrence(entry, period)
	job.Period = period
	job.Change = entry.Change
	return append(due, job)
}

// jobID is derived from the entry and the occurrence only, so that two leaders
// create the same job.
func jobID(entry *controlpb.Entry, period int64) string {
	return entry.Name + "@" + occurrence(entry, period)
}

func occurrence(entry *controlpb.Entry, period int64) string {
	if entry.PeriodMs == 0 {
		return "c" + entry.Change
	}
	return fmt.Sprintf("p%d.%s", period, entry.Change)
}

// NewJob returns a job of a work class that is submitted at now.
func NewJob(id, customer string, class *controlpb.WorkClass, now time.Time) *controlpb.Job {
	return &controlpb.Job{
		Id:             id,
		Customer:       customer,
		WorkClass:      class.Name,
		Tasks:          max(class.Tasks, 1),
		Accelerators:   class.Accelerators,
		Adjacency:      class.Adjacency,
		Cores:          class.Cores,
		MemoryMb:       class.MemoryMb,
		RunTimeMs:      class.RunTimeMs,
		DeadlineMs:     deadline(class, now),
		Priority:       class.Priority,
		Urgent:         class.Urgent,
		Idempotent:     class.Idempotent,
		Checkpointable: class.Checkpointable,
		SubmittedMs:    now.UnixMilli(),
	}
}

// deadline returns the earlier of the class's relative deadline and its next daily
// deadline as Unix time in ms, or 0 if the class has neither.
func deadline(class *controlpb.WorkClass, now time.Time) int64 {
	ms := now.UnixMilli()
	var earliest int64
	if class.DeadlineMs > 0 {
		earliest = ms + class.DeadlineMs
	}
	if class.DailyDeadline == 0 {
		return earliest
	}
	daily := ms - ms%msPerDay + int64(class.DailyDeadline-1)*msPerMinute
	if daily <= ms {
		daily += msPerDay
	}
	if earliest == 0 {
		return daily
	}
	return min(earliest, daily)
}
