package app

import (
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// A start that is forgotten while its instance is away lets an older copy of the data folder vote.
func TestReplicaListKeepsNewestStart(t *testing.T) {
	start := func(number uint64) *controlpb.ReplicaStart { return &controlpb.ReplicaStart{Number: number} }
	known := &controlpb.ReplicaInstance{Instance: "i1", DataCentre: "dc1", Identity: "i1.a", Start: start(3)}
	for name, test := range map[string]struct {
		member string
		live   *peerpb.InstanceState
		want   *controlpb.ReplicaStart
	}{
		"away":                   {member: "i1.a", live: &peerpb.InstanceState{Name: "i2"}, want: start(3)},
		"of an earlier version":  {member: "i1.a", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.a"}, want: start(3)},
		"started again":          {member: "i1.a", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.a", Start: start(4)}, want: start(4)},
		"on an older copy":       {member: "i1.a", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.a", Start: start(2)}, want: start(3)},
		"another identity":       {member: "i1.a", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.b", Start: start(9)}, want: start(3)},
		"replaced by that":       {member: "i1.b", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.b", Start: start(1)}, want: start(1)},
		"replaced, not seen yet": {member: "i1.b", live: &peerpb.InstanceState{Name: "i1", Identity: "i1.a", Start: start(3)}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			member := &consensuspb.Member{Instance: "i1", Identity: test.member}
			list := replicaList([]*consensuspb.Member{member}, []*controlpb.ReplicaInstance{known}, []*peerpb.InstanceState{test.live})
			want := &controlpb.ReplicaInstance{Instance: "i1", DataCentre: "dc1", Identity: test.member, Start: test.want}
			is.True(len(list) == 1 && proto.Equal(list[0], want))
		})
	}
}
