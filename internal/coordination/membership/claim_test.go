package membership

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

func claimOf(id, address, service string, incarnation int64) *peerpb.Upstream {
	return &peerpb.Upstream{
		Id: id, Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, Address: address, Services: []string{service}, Incarnation: incarnation, Version: 1, TtlMs: 60_000,
	}
}

func declared(service string) bool { return service == "s" || service == "t" }

// An announcement of another writer under a worker's id takes the worker's work away or runs it twice.
func TestClaimsOfOtherWriters(t *testing.T) {
	live := []*peerpb.Upstream{claimOf("w1", "a1", "s", 5), claimOf("w2", "a2", "s", 5), claimOf("old", "a3", "gone", 5)}
	departed := claimOf("w4", "a4", "s", 5)
	departed.Departed = true
	live = append(live, departed)
	for name, test := range map[string]struct {
		claim   *peerpb.Upstream
		refused bool
	}{
		"its own":                                 {claim: claimOf("w1", "a1", "s", 5)},
		"a service that isn't declared":           {claim: claimOf("w1", "a1", "x", 5), refused: true},
		"the same in a life of the writer's own":  {claim: claimOf("w1", "a1", "x", 9), refused: true},
		"another server's address":                {claim: claimOf("w1", "a2", "s", 5), refused: true},
		"the same in a life of its own":           {claim: claimOf("w1", "a2", "s", 9), refused: true},
		"an address that is nobody's":             {claim: claimOf("w1", "a9", "s", 5), refused: true},
		"a next life elsewhere":                   {claim: claimOf("w1", "a9", "s", 9)},
		"a next life in a departed one's place":   {claim: claimOf("w1", "a4", "s", 9)},
		"a next life of another service":          {claim: claimOf("w1", "a1", "t", 9)},
		"a worker that is not known":              {claim: claimOf("w3", "a9", "s", 5)},
		"a next boot in a worker's place":         {claim: claimOf("w3", "a1", "s", 5)},
		"an unknown one of no service":            {claim: claimOf("w3", "a9", "x", 5), refused: true},
		"a worker whose service has been removed": {claim: claimOf("old", "a3", "gone", 5)},
	} {
		t.Run(name, func(t *testing.T) {
			var known *peerpb.Upstream
			if at := slices.IndexFunc(live, func(u *peerpb.Upstream) bool { return u.Id == test.claim.Id }); at >= 0 {
				known = live[at]
			}
			err := CheckClaim(test.claim, known, declared, live)
			is.New(t).Equal(failure.Is(err, failure.BadRequest), test.refused)
		})
	}
}

// Announcements of an undeclared service, in any mix with the workers' own, change what is known.
func TestForeignClaimsChangeNothing(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		registry := NewRegistry(Config{Self: "self", Incarnation: 1, OriginTTL: time.Minute, Now: time.Now})
		workers := []*peerpb.Upstream{claimOf("w1", "a1", "s", 5), claimOf("w2", "a2", "t", 6), claimOf("w3", "a3", "s", 7)}
		announce := func(claim *peerpb.Upstream) error {
			known, _ := registry.Get(claim.Id)
			if err := CheckClaim(claim, known, declared, registry.Live(claim.Kind)); err != nil {
				return err
			}
			return registry.Merge(claim)
		}
		for _, worker := range workers {
			if err := announce(proto.CloneOf(worker)); err != nil {
				rt.Fatal(err)
			}
		}
		for range rapid.IntRange(1, 40).Draw(rt, "claims") {
			worker := rapid.SampledFrom(workers).Draw(rt, "worker")
			if rapid.Bool().Draw(rt, "own") {
				worker.Version++
				if err := announce(proto.CloneOf(worker)); err != nil {
					rt.Fatalf("the worker's own announcement is refused: %v", err)
				}
				continue
			}
			address := rapid.SampledFrom([]string{"a1", "a2", "a3", "a9"}).Draw(rt, "address")
			foreign := claimOf(worker.Id, address, "x", rapid.Int64Range(1, 12).Draw(rt, "life"))
			foreign.Version = rapid.Uint64Range(0, 1<<32).Draw(rt, "count")
			foreign.Leaving = rapid.Bool().Draw(rt, "leaving")
			if announce(foreign) == nil {
				rt.Fatalf("%v is taken for %s", foreign, worker.Id)
			}
		}
		for _, worker := range workers {
			known, _ := registry.Get(worker.Id)
			known = proto.CloneOf(known)
			known.Version = worker.Version // a renewal isn't kept
			if !proto.Equal(known, worker) {
				rt.Fatalf("known %v, announced %v", known, worker)
			}
		}
	})
}
