// Package inventory turns the declared entries into jobs: each entry's work is
// due once a period, or once a change, and never twice.
package inventory

import (
	"fmt"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

const (
	msPerMinute = int64(time.Minute / time.Millisecond)
	msPerDay    = 24 * 60 * msPerMinute
)

// State is what the decision reads of the control state.
type State interface {
	Items() []*controlpb.Item
	WorkClass(name string) (*controlpb.WorkClass, bool)
	Job(id string) (*controlpb.Job, bool)
}

// Due lists the jobs whose occurrence has come and that are not known yet. A
// job's id is its entry and occurrence, so two leaders make the same job.
func Due(state State, now time.Time) []*controlpb.Job {
	var due []*controlpb.Job
	for _, item := range state.Items() {
		entry := item.GetEntry()
		if entry == nil {
			continue
		}
		class, ok := state.WorkClass(entry.WorkClass)
		if !ok {
			continue
		}
		job := NewJob(JobID(entry, now), entry.Customer, class, now)
		job.Entry = entry.Name
		job.Occurrence = occurrence(entry, now)
		if _, known := state.Job(job.Id); !known {
			due = append(due, job)
		}
	}
	return due
}

// JobID is the id of an entry's job at a time.
func JobID(entry *controlpb.Entry, now time.Time) string {
	return entry.Name + "@" + occurrence(entry, now)
}

func occurrence(entry *controlpb.Entry, now time.Time) string {
	if entry.PeriodMs == 0 {
		return "c" + entry.Change
	}
	return fmt.Sprintf("p%d.%s", now.UnixMilli()/entry.PeriodMs, entry.Change)
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
