// Package arrival carries the time at which a call reached this machine. A process that was stopped reads a call long
// after that, when its caller has moved on to another instance.
package arrival

import (
	"context"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// MaxAge is how old a call may be that changes state: callers try another instance after a second without a response.
const MaxAge = 900 * time.Millisecond

type contextKey struct{}

// WithTime returns a context with the time at which the call arrived.
func WithTime(ctx context.Context, arrived time.Time) context.Context {
	return context.WithValue(ctx, contextKey{}, arrived)
}

// Time returns when the call of a context arrived, now if it doesn't say.
func Time(ctx context.Context, now time.Time) time.Time {
	if arrived, ok := ctx.Value(contextKey{}).(time.Time); ok {
		return arrived
	}
	return now
}

// Check fails with not_ready if a call that arrived then is older than MaxAge now: a newer one may have replaced it.
func Check(arrived, now time.Time) error {
	if age := now.Sub(arrived); age > MaxAge {
		return failure.New(failure.NotReady, "the call arrived %s ago and was not carried out; send it again", age.Round(time.Millisecond))
	}
	return nil
}
