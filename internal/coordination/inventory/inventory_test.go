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

// register applies due work to a real state, as a leader does.
type register struct {
	state   *store.State
	planner *inventory.Planner
	made    []string
}

func newRegister() *register {
	return &register{state: store.New(), planner: &inventory.Planner{}}
}

func (r *register) declare(entry *controlpb.Entry) {
	entry.Name, entry.Customer, entry.WorkClass = "span", "crews", "clearance"
	r.apply(time.Time{}, &controlpb.Command{Op: &controlpb.Command_Apply{Apply: &controlpb.ApplyItems{
		ExpectedRevision: r.state.Revision(),
		Set: []*controlpb.Item{
			{Key: declaration.ClassKey("clearance"), Body: &controlpb.Item_WorkClass{WorkClass: &controlpb.WorkClass{Name: "clearance"}}},
			{Key: declaration.EntryKey("span"), Body: &controlpb.Item_Entry{Entry: entry}},
		},
	}}})
}

func (r *register) apply(now time.Time, command *controlpb.Command) {
	if !now.IsZero() {
		command.TimeMs = now.UnixMilli()
	}
	r.state, _ = r.state.Apply(r.state.Index()+1, command)
}

func (r *register) tick(now time.Time) int {
	due := r.planner.Due(r.state, now)
	for _, job := range due {
		r.made = append(r.made, job.Id)
	}
	r.apply(now, &controlpb.Command{Op: &controlpb.Command_SubmitJobs{SubmitJobs: &controlpb.SubmitJobs{Jobs: due}}})
	return len(due)
}

// endAndForget completes every job and lets the state drop what has ended.
func (r *register) endAndForget(now time.Time) {
	for _, job := range r.state.ActiveJobs() {
		r.apply(now, &controlpb.Command{Op: &controlpb.Command_Cancel{Cancel: &controlpb.CancelJob{Id: job.Id}}})
	}
	for range 512 {
		r.apply(now.Add(2*day), &controlpb.Command{})
	}
}

// A job is looked up for a day after its end; its entry's work is due once a
// month. The operator sees two cutting crews sent to one tree if the entry is
// taken as new once its job has been forgotten.
func TestWorkIsNotDueAgainWhenItsJobIsForgotten(t *testing.T) {
	for name, entry := range map[string]*controlpb.Entry{
		"once a change": {Change: "1"},
		"once a month":  {Change: "1", PeriodMs: (30 * day).Milliseconds()},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			r := newRegister()
			start := time.UnixMilli((30 * day).Milliseconds() * 600)
			r.declare(entry)
			is.Equal(r.tick(start), 1)
			r.endAndForget(start)
			is.Equal(len(r.state.Jobs()), 0) // forgotten
			r.planner = &inventory.Planner{} // a new leader
			is.Equal(r.tick(start.Add(3*day)), 0)
			r.state = store.Restore(r.state.Snapshot())
			r.planner = &inventory.Planner{}
			is.Equal(r.tick(start.Add(4*day)), 0)
		})
	}
}

// A new leader's clock stands a period behind the last one's. The caller would
// see the passed period's work made after the present one's.
func TestNewLeaderWithAnEarlierClockMakesNoWorkOfAPassedPeriod(t *testing.T) {
	is := is.New(t)
	r := newRegister()
	start := time.UnixMilli(day.Milliseconds() * 20000)
	r.declare(&controlpb.Entry{Change: "1", PeriodMs: day.Milliseconds()})
	is.Equal(r.tick(start), 1)
	r.planner = &inventory.Planner{}
	is.Equal(r.tick(start.Add(-time.Hour)), 0)
	is.Equal(r.tick(start.Add(day)), 1)
	is.Equal(r.made, []string{"span@p20000.1", "span@p20001.1"})
}

// An operator goes from one value to another and back within a period: each
// value's work is due once.
func TestChangeMakesWorkDueOnce(t *testing.T) {
	is := is.New(t)
	r := newRegister()
	now := time.UnixMilli(day.Milliseconds())
	for _, change := range []string{"a", "b", "a", "b", "c"} {
		r.declare(&controlpb.Entry{Change: change})
		r.tick(now)
		r.endAndForget(now)
	}
	is.Equal(r.made, []string{"span@ca", "span@cb", "span@cc"})
}

func BenchmarkDueIdle(b *testing.B) {
	r := newRegister()
	now := time.UnixMilli(day.Milliseconds())
	r.declare(&controlpb.Entry{Change: "1", PeriodMs: day.Milliseconds()})
	r.tick(now)
	r.tick(now)
	for b.Loop() {
		r.planner.Due(r.state, now)
	}
}
