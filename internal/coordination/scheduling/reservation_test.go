package scheduling

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

func submitted(ago time.Duration) jobOption {
	return func(j *controlpb.Job) { j.SubmittedMs = start.Add(-ago).UnixMilli() }
}

func runTime(d time.Duration) jobOption {
	return func(j *controlpb.Job) { j.RunTimeMs = d.Milliseconds() }
}

func TestLongWaitingWork(t *testing.T) {
	two := testWorkers(1, 1, 2, 8)
	nonPreemptible := func() *controlpb.Job { return waitingJob("x", "b", 1, 8, running(time.Hour, 0, "d0-r0-w0")) }
	gang := func(ago time.Duration) *controlpb.Job { return waitingJob("g", "a", 2, 8, submitted(ago)) }
	runCases(t, []passCase{
		{name: "other work overtakes a gang that has not waited long", snapshot: snapshotOf(two, nil,
			nonPreemptible(), gang(0), waitingJob("j", "b", 1, 1, runTime(time.Minute))),
			want: map[string]string{"g": "no_free_capacity", "j": "d0-r0-w1"}},
		{name: "capacity reserved for a long-waiting gang is not backfilled, however short the work", snapshot: snapshotOf(two, nil,
			nonPreemptible(), gang(3*time.Hour), waitingJob("j", "b", 1, 1, runTime(time.Second)), waitingJob("k", "b", 1, 1, checkpointable)),
			want: map[string]string{"g": "has_reservation", "j": "kept_for_reservation", "k": "kept_for_reservation"}},
		{name: "a long-waiting gang preempts younger checkpointable work", snapshot: snapshotOf(two, nil,
			waitingJob("x", "b", 1, 8, checkpointable, running(time.Hour, 0, "d0-r0-w0"), submitted(time.Hour)), gang(3*time.Hour)),
			want: map[string]string{"g": "taking_back", "x": "stop"}},
		{name: "it preempts no older work", snapshot: snapshotOf(two, nil,
			waitingJob("x", "b", 1, 8, checkpointable, running(time.Hour, 0, "d0-r0-w0"), submitted(4*time.Hour)), gang(3*time.Hour)),
			want: map[string]string{"g": "has_reservation"}},
		{name: "it preempts no work that would start over", snapshot: snapshotOf(two, nil,
			waitingJob("x", "b", 1, 8, idempotent, running(time.Hour, 0, "d0-r0-w0"), submitted(time.Hour)), gang(3*time.Hour)),
			want: map[string]string{"g": "has_reservation"}},
		{name: "it preempts no work that was preempted often", snapshot: snapshotOf(two, nil,
			waitingJob("x", "b", 1, 8, checkpointable, running(time.Hour, 0, "d0-r0-w0"), submitted(time.Hour),
				func(j *controlpb.Job) { j.Attempts = maxPreemptedAttempts }), gang(3*time.Hour)),
			want: map[string]string{"g": "has_reservation"}},
		{name: "work that can never start reserves nothing", snapshot: snapshotOf(two, nil,
			waitingJob("g", "a", 3, 8, submitted(3*time.Hour)), waitingJob("j", "b", 1, 1)),
			want: map[string]string{"g": "never_fits", "j": "d0-r0-w0"}},
	})
}

// Guards against backfill that delays a reservation. A gang has a reservation on two
// workers. The work on one of them runs a hundred times as long as declared, and short
// work that would fit onto the other keeps arriving. The gang has to keep its
// reservation and start as soon as the overrunning work ends.
func TestOverrunningWorkDoesNotDelayAReservation(t *testing.T) {
	is := is.New(t)
	overrun := waitingJob("x", "b", 1, 8, running(0, 0, "d0-r0-w0"), runTime(time.Minute))
	gang := waitingJob("g", "a", 2, 8, submitted(3*time.Hour))
	s := snapshotOf(testWorkers(1, 1, 2, 8), nil, overrun, gang)
	for range 100 {
		s.Now = s.Now.Add(time.Minute)
		s.Jobs = append(s.Jobs, waitingJob("j"+s.Now.Format(time.Kitchen), "b", 1, 1, runTime(time.Second)))
		plan := Pass(s)
		is.Equal(outcome(plan)["g"], "has_reservation")
		is.Equal(len(plan.Assignments), 0)
		s.Reservations, s.Cells = plan.Reservations, plan.Cells
	}
	s.Jobs = s.Jobs[1:]
	is.Equal(outcome(Pass(s))["g"], "d0-r0-w0 d0-r0-w1")
}

// Capacity preempted for a job is released only in a later pass. Work that arrives in
// between, and would be served first, must not get it.
func TestPreemptedCapacityIsReservedForItsJob(t *testing.T) {
	is := is.New(t)
	borrower := waitingJob("x", "b", 1, 8, checkpointable, running(time.Hour, 0, "d0-r0-w0"))
	s := snapshotOf(testWorkers(1, 1, 1, 8), nil, borrower, waitingJob("late", "c", 1, 8, urgent))
	plan := Pass(s)
	is.Equal(outcome(plan), map[string]string{"x": "stop", "late": "taking_back"})
	borrower.State, borrower.Placements = controlpb.JobState_JOB_STATE_WAITING, nil
	s.Jobs = append(s.Jobs, waitingJob("later", "c", 1, 1, urgent, submitted(time.Minute)))
	s.Reservations = plan.Reservations
	is.Equal(outcome(Pass(s))["late"], "d0-r0-w0")
}

// Declared run times are wrong by a factor of ten either way, and one run in ten is far
// longer: the estimate has to follow the median of the observed runs.
func TestRunTimesLearnTheMedian(t *testing.T) {
	is := is.New(t)
	learned := NewRunTimes()
	is.Equal(learned.Estimate("c", time.Hour), 3600.0)
	for i := range historySize {
		ran := 6 * time.Minute
		if i%10 == 0 {
			ran = 1000 * time.Hour
		}
		learned.Observe("c", time.Hour, ran)
	}
	got := learned.Estimate("c", time.Hour)
	is.True(got > 360 && got < 450)
	is.Equal(learned.Estimate("other", time.Hour), 3600.0)
}

func TestOwnersAndReservations(t *testing.T) {
	one := testWorkers(1, 1, 1, 16)
	owners := []*controlpb.Customer{guarantee("own", 1, 8, inRack), guarantee("a", 1, 2, inRack)}
	reserved := func(s *Snapshot, job string) *Snapshot {
		s.Reservations = []Reservation{{Job: job, Places: []ReservedPlace{{"d0-r0-w0", 1}}}}
		return s
	}
	long := runTime(9 * time.Hour)
	runCases(t, []passCase{
		{name: "an owner's shorter job does not take capacity reclaimed for its longer job", snapshot: reserved(snapshotOf(one, owners[:1],
			waitingJob("x", "c", 1, 8, running(0, 0, "d0-r0-w0")), waitingJob("big", "own", 1, 8, long), waitingJob("small", "own", 1, 2)), "big"),
			want: map[string]string{"big": "d0-r0-w0", "small": "no_free_capacity"}},
		{name: "nor the claim of the longer job on a shared worker", snapshot: reserved(snapshotOf(one, owners,
			waitingJob("x", "c", 1, 6, running(0, 0, "d0-r0-w0")), waitingJob("big", "own", 1, 8, long), waitingJob("small", "own", 1, 2)), "big"),
			want: map[string]string{"big": "d0-r0-w0", "small": "kept_for_guarantee"}},
		{name: "an owner takes precedence over another customer's reservation in its cell", snapshot: reserved(snapshotOf(one, owners[:1],
			waitingJob("x", "c", 1, 8, running(0, 0, "d0-r0-w0")), waitingJob("u", "c", 1, 8, urgent), waitingJob("j", "own", 1, 8)), "u"),
			want: map[string]string{"j": "d0-r0-w0", "u": "no_free_capacity"}},
	})
}
