package httpapi

import (
	"fmt"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Two workers with 8 accelerators each are in one rack and one in another. A class or a
// guarantee that they could never serve is rejected, with the nearest shape that fits;
// with allow_infeasible, or while the workers are not known yet, it is accepted.
func TestInfeasible(t *testing.T) {
	server, _ := newServer(t)
	for i, rack := range []string{"r1", "r1", "r2"} {
		server.registry.Merge(&peerpb.Upstream{
			Id: string(rune('a' + i)), Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER, DataCentre: "dc", Rack: rack,
			Cores: 32, MemoryMb: 1024, Accelerators: 8, Version: 1, TtlMs: time.Hour.Milliseconds(),
		})
	}
	class := func(tasks, accelerators uint32) *controlpb.Item {
		return &controlpb.Item{Key: "class/c", Body: &controlpb.Item_WorkClass{WorkClass: &controlpb.WorkClass{
			Name: "c", Tasks: tasks, Accelerators: accelerators, Adjacency: controlpb.Adjacency_ADJACENCY_RACK,
		}}}
	}
	customer := func(sets uint32) *controlpb.Item {
		return &controlpb.Item{Key: "customer/x", Body: &controlpb.Item_Customer{Customer: &controlpb.Customer{
			Name: "x", Guarantee: []*controlpb.Shape{{Sets: sets, Accelerators: 16, Adjacency: controlpb.Adjacency_ADJACENCY_RACK}},
		}}}
	}
	tests := map[string]struct {
		item        *controlpb.Item
		justStarted bool
		allow       bool
		want        string
	}{
		"class fits":             {item: class(2, 8)},
		"gang too wide":          {item: class(3, 8), want: "[class/c]: 3 tasks of 8 accelerators, 0 cores and 0 MB, adjacency rack fit nowhere; the nearest that fits: 2 tasks of 8 accelerators, 0 cores and 0 MB, adjacency rack; or adjacency data_centre"},
		"task too large":         {item: class(1, 16), want: "the nearest that fits: 1 tasks of 8 accelerators"},
		"allowed":                {item: class(3, 8), allow: true},
		"fleet not known yet":    {item: class(3, 8), justStarted: true},
		"guarantee fits":         {item: customer(1)},
		"guarantees do not fit":  {item: customer(2), want: "[customer/x] guarantee: a set of 16 accelerators, adjacency rack, does not fit alongside the other guarantees"},
		"guarantee, not checked": {item: customer(2), allow: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server.started = time.Now().Add(-time.Hour)
			if test.justStarted {
				server.started = time.Now()
			}
			err := server.checkFeasible(nil, []*controlpb.Item{test.item}, test.allow)
			is.Equal(err == nil, test.want == "")
			if err != nil {
				is.True(failure.Is(err, failure.Infeasible))
				is.True(strings.Contains(err.Error(), test.want))
			}
		})
	}
}

// The example declarations are feasible on the fleets of the brief: 50 workers with 8
// accelerators each, in racks of 8 in three data centres, and in racks of 6 in four.
func TestExamplesFitTheirFleets(t *testing.T) {
	tests := map[string]struct {
		dataCentres, perRack, cores int
		memoryMB                    uint64
	}{
		"coedlinell": {3, 8, 32, 128 << 10},
		"tokachi":    {4, 6, 128, 256 << 10},
	}
	for name, fleet := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			server, _ := newServer(t)
			server.started = time.Now().Add(-time.Hour)
			for i := range 50 {
				rack := i / fleet.perRack
				server.registry.Merge(&peerpb.Upstream{
					Id: fmt.Sprintf("w%d", i), Kind: peerpb.UpstreamKind_UPSTREAM_KIND_WORKER,
					DataCentre: fmt.Sprintf("dc%d", rack%fleet.dataCentres), Rack: fmt.Sprintf("r%d", rack),
					Cores: uint32(fleet.cores), MemoryMb: fleet.memoryMB, Accelerators: 8, Version: 1, TtlMs: time.Hour.Milliseconds(),
				})
			}
			items, err := declaration.Load(filepath.Join("../../../examples", name))
			is.NoErr(err)
			is.NoErr(server.checkFeasible(nil, items, false))
		})
	}
}
