// Package inventory turns the declared entries into jobs: each entry's work is
// due once a period, or once a change, and never twice.
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

// maxDue bounds the jobs of one call, and so the size of one log entry; the
// rest is due at the next call.
const maxDue = 512

// never is a next due time that no clock reaches.
const never = int64(math.MaxInt64)

// State is what the decision reads of the control state.
type State interface {
	Revision() uint64
	Items() []*controlpb.Item
	WorkClass(name string) (*controlpb.WorkClass, bool)
	Job(id string) (*controlpb.Job, bool)
	WasDue(entry string, period int64, change string) bool
}

// Planner finds the entries whose work is due. It walks the inventory only when
// the declarations have changed or a period has ended, so that an idle leader
// spends nothing on it. It is not safe for use by several goroutines.
type Planner struct {
	walked   bool
	revision uint64
	// nextMs is when the next period of any entry begins.
	nextMs int64
}

// Due lists jobs whose occurrence has come and that the state does not know of.
// Until they are submitted, each call lists them again.
func (p *Planner) Due(state State, now time.Time) []*controlpb.Job {
	ms := now.UnixMilli()
	if p.walked && p.revision == state.Revision() && ms < p.nextMs {
		return nil
	}
	due, nextMs := walk(state, now)
	p.walked = len(due) == 0
	p.revision = state.Revision()
	p.nextMs = nextMs
	return due
}

func walk(state State, now time.Time) (due []*controlpb.Job, nextMs int64) {
	nextMs = never
	for _, item := range state.Items() {
		entry := item.GetEntry()
		if entry == nil {
			continue
		}
		period, endMs := periodAt(entry, now)
		nextMs = min(nextMs, endMs)
		if len(due) < maxDue && !state.WasDue(entry.Name, period, entry.Change) {
			due = appendJob(due, state, entry, period, now)
		}
	}
	return due, nextMs
}

// periodAt numbers the period that now lies in and gives its end. An entry
// without a period has one that never ends.
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

// jobID is the entry and the occurrence, so two leaders make the same job.
func jobID(entry *controlpb.Entry, period int64) string {
	return entry.Name + "@" + occurrence(entry, period)
}

func occurrence(entry *controlpb.Entry, period int64) string {
	if entry.PeriodMs == 0 {
		return "c" + entry.Change
	}
	return fmt.Sprintf("p%d.%s", period, entry.Change)
}

// NewJob makes a job of a class, submitted now.
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

// deadline is the nearer of the relative and the daily deadline; 0 for none.
func deadline(class *controlpb.WorkClass, now time.Time) int64 {
	ms := now.UnixMilli()
	var nearest int64
	if class.DeadlineMs > 0 {
		nearest = ms + class.DeadlineMs
	}
	if class.DailyDeadline == 0 {
		return nearest
	}
	at := ms - ms%msPerDay + int64(class.DailyDeadline-1)*msPerMinute
	if at <= ms {
		at += msPerDay
	}
	if nearest == 0 {
		return at
	}
	return min(nearest, at)
}
