package quarantine_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/dispatch/quarantine"
)

// Work that fails everywhere takes all workers of a service out of use.
func TestShareOfEachServiceStaysInUse(t *testing.T) {
	judged := func(service string, verdicts ...quarantine.Verdict) []quarantine.Judged {
		var workers []quarantine.Judged
		for i, verdict := range verdicts {
			workers = append(workers, quarantine.Judged{Worker: fmt.Sprint(service, i), Services: []string{service}, Verdict: verdict, Failures: uint32(10 - i)})
		}
		return workers
	}
	const h, c, q, p = quarantine.Healthy, quarantine.CoolingDown, quarantine.Quarantined, quarantine.Probing
	for name, test := range map[string]struct {
		workers []quarantine.Judged
		want    string
	}{
		"all are well":                {judged("s", h, h, h, h), ""},
		"half are out":                {judged("s", q, h, q, h), ""},
		"more than half are out":      {judged("s", q, q, h, q), "s3"},
		"all are out":                 {judged("s", q, q, q, q, q, q), "s3 s4 s5"},
		"the cooling ones come first": {judged("s", c, q, c, q), "s0 s2"},
		"probed ones are in use":      {judged("s", p, q, p, q), ""},
		"the only one":                {judged("s", q), "s0"},
		"each service has its share":  {append(judged("s", q, q), judged("t", h, h, q)...), "s1"},
		"no workers":                  {nil, ""},
	} {
		t.Run(name, func(t *testing.T) {
			kept := slices.Sorted(maps.Keys(quarantine.KeepInUse(test.workers)))
			is.New(t).Equal(strings.Join(kept, " "), test.want)
		})
	}
}

// The workers that are well have shrunk or are small: half of the workers are in use and hardly any of the room.
func TestShareOfRoomStaysInUse(t *testing.T) {
	const h, q = quarantine.Healthy, quarantine.Quarantined
	worker := func(name string, verdict quarantine.Verdict, cores, accelerators int64) quarantine.Judged {
		return quarantine.Judged{Worker: name, Services: []string{"s"}, Verdict: verdict, Room: quarantine.Room{CoresMilli: cores, Accelerators: accelerators}}
	}
	for name, test := range map[string]struct {
		workers []quarantine.Judged
		want    string
	}{
		"shrunk to nothing":       {[]quarantine.Judged{worker("a", h, 0, 0), worker("b", h, 0, 0), worker("c", q, 8000, 4), worker("d", q, 8000, 4)}, "c"},
		"small":                   {[]quarantine.Judged{worker("a", h, 100, 0), worker("b", h, 100, 0), worker("c", q, 8000, 0), worker("d", q, 8000, 0)}, "c"},
		"without accelerators":    {[]quarantine.Judged{worker("a", h, 8000, 0), worker("b", h, 8000, 0), worker("c", q, 8000, 4), worker("d", q, 8000, 4)}, "c"},
		"large":                   {[]quarantine.Judged{worker("a", h, 8000, 8), worker("b", q, 1000, 1), worker("c", q, 1000, 1), worker("d", q, 1000, 1)}, ""},
		"out, and without room":   {[]quarantine.Judged{worker("a", q, 0, 0), worker("b", q, 8000, 4), worker("c", q, 8000, 4)}, "b"},
		"all have shrunk equally": {[]quarantine.Judged{worker("a", q, 0, 0), worker("b", q, 0, 0)}, "a"},
	} {
		t.Run(name, func(t *testing.T) {
			kept := slices.Sorted(maps.Keys(quarantine.KeepInUse(test.workers)))
			is.New(t).Equal(strings.Join(kept, " "), test.want)
		})
	}
}
