package inventory_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/inventory"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/state/store"
)

const day = 24 * time.Hour

// fakeLeader submits due jobs to a store.State as a leader does.
type fakeLeader struct {
	state     *store.State
	planner   *inventory.Planner
	submitted []string
}

func newFakeLeader() *fakeLeader {
	return &fakeLeader{state: store.New(), planner: &inventory.Planner{}}
}

func (l *fakeLeader) declare(entry *controlpb.Entry) {
	entry.Name, entry.Customer, entry.WorkClass = "span", "crews", "clearance"
	l.apply(time.Time{}, &controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{
		ExpectedRevision: l.state.Revision(),
		Set: []*controlpb.Item{
			{Key: declaration.ClassKey("clearance"), Body: &controlpb.Item_WorkClass{WorkClass: &controlpb.WorkClass{Name: "clearance"}}},
			{Key: declaration.EntryKey("span"), Body: &controlpb.Item_Entry{Entry: entry}},
		},
	}}})
}

func (l *fakeLeader) apply(now time.Time, command *controlpb.Command) {
	if !now.IsZero() {
		command.TimeMs = now.UnixMilli()
	}
	l.state, _ = l.state.Apply(l.state.Index()+1, command)
}

func (l *fakeLeader) tick(now time.Time) int {
	due := l.planner.Due(l.state, now)
	for _, job := range due {
		l.submitted = append(l.submitted, job.Id)
	}
	l.apply(now, &controlpb.Command{Op: &controlpb.Command_SubmitJobs{SubmitJobs: &controlpb.SubmitJobs{Jobs: due}}})
	return len(due)
}

// endAndExpireJobs cancels all jobs and applies commands two days later, so that
// the state removes the ended jobs.
func (l *fakeLeader) endAndExpireJobs(now time.Time) {
	for _, job := range l.state.ActiveJobs() {
		l.apply(now, &controlpb.Command{Op: &controlpb.Command_Cancel{Cancel: &controlpb.CancelJob{Id: job.Id}}})
	}
	for range 512 {
		l.apply(now.Add(2*day), &controlpb.Command{})
	}
}

// The state keeps a job for a day after its end, while its entry is due only once a
// month or once per change. After the job has been removed, the entry must not be
// treated as new, which would run the same work twice.
func TestWorkIsNotDueAgainAfterItsJobExpired(t *testing.T) {
	for name, entry := range map[string]*controlpb.Entry{
		"once a change": {Change: "1"},
		"once a month":  {Change: "1", PeriodMs: (30 * day).Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newFakeLeader()
			start := time.UnixMilli((30 * day).Milliseconds() * 600)
			l.declare(entry)
			is.Equal(l.tick(start), 1)
			l.endAndExpireJobs(start)
			is.Equal(len(l.state.Jobs()), 0) // the ended job was removed
			l.planner = &inventory.Planner{} // a new leader
			is.Equal(l.tick(start.Add(3*day)), 0)
			l.state = store.Restore(l.state.Snapshot())
			l.planner = &inventory.Planner{}
			is.Equal(l.tick(start.Add(4*day)), 0)
		})
	}
}

// A new leader's clock is still in the period before that of its predecessor. It must
// not submit the work of the past period after that of the current one.
func TestNewLeaderWithEarlierClockSkipsPastPeriods(t *testing.T) {
	is := is.New(t)
	l := newFakeLeader()
	start := time.UnixMilli(day.Milliseconds() * 20000)
	l.declare(&controlpb.Entry{Change: "1", PeriodMs: day.Milliseconds()})
	is.Equal(l.tick(start), 1)
	l.planner = &inventory.Planner{}
	is.Equal(l.tick(start.Add(-time.Hour)), 0)
	is.Equal(l.tick(start.Add(day)), 1)
	is.Equal(l.submitted, []string{"span@p20000.1", "span@p20001.1"})
}

// An operator changes an entry's value back and forth: the work is due once for
// each distinct value.
func TestChangeMakesWorkDueOnce(t *testing.T) {
	is := is.New(t)
	l := newFakeLeader()
	now := time.UnixMilli(day.Milliseconds())
	for _, change := range []string{"a", "b", "a", "b", "c"} {
		l.declare(&controlpb.Entry{Change: change})
		l.tick(now)
		l.endAndExpireJobs(now)
	}
	is.Equal(l.submitted, []string{"span@ca", "span@cb", "span@cc"})
}

func BenchmarkDueIdle(b *testing.B) {
	l := newFakeLeader()
	now := time.UnixMilli(day.Milliseconds())
	l.declare(&controlpb.Entry{Change: "1", PeriodMs: day.Milliseconds()})
	l.tick(now)
	l.tick(now)
	for b.Loop() {
		l.planner.Due(l.state, now)
	}
}
