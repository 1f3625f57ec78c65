package store

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const resendWindowMs = 3000

// evacuationOrder is an order at a time in ms, by an instance that knew of a number of changes.
type evacuationOrder struct {
	atMs     int64
	evacuate bool
	expected uint64
	want     failure.Code
}

func applyEvacuations(t *testing.T, orders []evacuationOrder) *State {
	t.Helper()
	is := is.New(t)
	state := New()
	for i, order := range orders {
		var result *controlpb.Result
		state, result = state.Apply(uint64(i+1), &controlpb.Command{TimeMs: order.atMs, Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{
			DataCentre: "north", Evacuate: order.evacuate, ExpectedChanges: order.expected, ResendWindowMs: resendWindowMs,
		}}})
		is.Equal(result.Code, string(order.want)) // result of the order
	}
	return state
}

// Guards against orders that are undone by resends of earlier ones, and against resends
// that are refused.
func TestEvacuationOrders(t *testing.T) {
	const start, finish = true, false
	for name, test := range map[string]struct {
		orders []evacuationOrder
		active bool
	}{
		"start":             {[]evacuationOrder{{1000, start, 0, ""}}, true},
		"resent start":      {[]evacuationOrder{{1000, start, 0, ""}, {1900, start, 0, ""}}, true},
		"readmitted":        {[]evacuationOrder{{1000, start, 0, ""}, {9000, finish, 1, ""}}, false},
		"never evacuated":   {[]evacuationOrder{{1000, finish, 0, ""}}, false},
		"evacuated again":   {[]evacuationOrder{{1000, start, 0, ""}, {9000, finish, 1, ""}, {9500, start, 2, ""}}, true},
		"resent finish":     {[]evacuationOrder{{1000, start, 0, ""}, {9000, finish, 1, ""}, {9900, finish, 1, ""}, {9950, start, 2, ""}}, true},
		"delayed inside":    {[]evacuationOrder{{1000, start, 0, ""}, {9000, finish, 1, ""}, {9100, start, 0, failure.Conflict}}, false},
		"late resent start": {[]evacuationOrder{{1000, start, 0, ""}, {2000, finish, 1, ""}, {2500, start, 2, failure.StaleSequence}}, false},
		"new start, ambiguous at first": {[]evacuationOrder{
			{1000, start, 0, ""}, {2000, finish, 1, ""}, {2500, start, 2, failure.StaleSequence}, {4000, start, 2, ""}}, true},
		"late resent finish": {[]evacuationOrder{
			{1000, start, 0, ""}, {9000, finish, 1, ""}, {9500, start, 2, ""}, {10000, finish, 3, failure.StaleSequence}}, true},
		"first start after its finish":   {[]evacuationOrder{{5000, finish, 0, ""}, {5500, start, 1, failure.StaleSequence}}, false},
		"first finish after a new start": {[]evacuationOrder{{1000, start, 0, ""}, {9000, start, 1, ""}, {9500, finish, 2, failure.StaleSequence}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			state := applyEvacuations(t, test.orders)
			is.New(t).Equal(state.Evacuated("north"), test.active)
		})
	}
}

// Guards against acknowledged evacuations that a snapshot loses.
func TestEvacuationsSurviveSnapshot(t *testing.T) {
	is := is.New(t)
	state := New()
	for i, name := range []string{"south", "north", "east"} {
		state, _ = state.Apply(uint64(i+1), &controlpb.Command{TimeMs: 1000, Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{DataCentre: name, Evacuate: true}}})
	}
	restored := Restore(state.Snapshot())
	is.Equal(len(restored.Evacuations()), 3)
	for _, name := range []string{"east", "north", "south"} {
		is.True(restored.Evacuated(name)) // evacuated after the restore
	}
	is.True(!restored.Evacuated("west")) // never evacuated
}

// Guards against orders without a data centre, which would evacuate nothing.
func TestEvacuationWithoutDataCentre(t *testing.T) {
	state, result := New().Apply(1, &controlpb.Command{Op: &controlpb.Command_SetEvacuation{SetEvacuation: &controlpb.SetEvacuation{Evacuate: true}}})
	is := is.New(t)
	is.Equal(result.Code, string(failure.BadRequest))
	is.Equal(len(state.Evacuations()), 0)
}
