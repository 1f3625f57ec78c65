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
