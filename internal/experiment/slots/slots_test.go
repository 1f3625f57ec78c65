package slots

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The numbers of requests are large enough for the figures to converge.
const (
	waitRequests     = 60_000
	overloadRequests = 40_000
)

func TestCreditsWaitLittleLongerThanSingleQueue(t *testing.T) {
	// At a load of 95% the P99 latency is little above that of a single queue that
	// knows every slot, and no minion ever has more requests than slots.
	is := is.New(t)
	c := highLoadConfig(1, waitRequests, fewInstances, 50*time.Millisecond, 0.2)
	credits, single, random := Credits(c), SingleQueue(c), Random(c)
	is.True(credits.MaxQueued <= 0)
	is.True(ratio(credits.P99, single.P99) < 1.25)
	is.True(ratio(random.P99, credits.P99) > 3)
}

func TestOverloadKeepsGoodputAndGuarantees(t *testing.T) {
	// The load is twice the capacity. Requests that would miss their deadline are refused
	// at once, so the slots stay busy with requests that are answered in time, and the
	// customer within its fair share is not affected by the others.
	is := is.New(t)
	r := Credits(Overload(1, overloadRequests, 50*time.Millisecond, 0.2))
	is.True(r.MaxQueued <= 0)
	is.True(r.Utilisation > 0.97)
	is.True(r.Goodput > 0.95)
	is.True(r.Guaranteed > 0.999)
}
