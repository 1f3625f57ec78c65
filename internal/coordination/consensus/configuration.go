package consensus

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// usualVoters fit without an allocation; more work too.
const usualVoters = 8

// placed is a configuration and the index it stands at.
type placed struct {
	index         uint64
	configuration *consensuspb.Configuration
}

// configurations are those in the log from the one at the base on, newest
// last. The newest is in force as soon as it is in the log, committed or not
// (thesis, 4.1), and goes back when its entry is replaced.
type configurations []placed

func (c *configurations) reset(meta *consensuspb.SnapshotMeta) {
	later := (*c).after(meta.Index)
	kept := configurations{{meta.Index, meta.Configuration}}
	*c = append(kept, later...)
}

// take adds those among entries.
func (c *configurations) take(entries []*consensuspb.Entry) error {
	for _, entry := range entries {
		if entry.Kind != consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION {
			continue
		}
		configuration := &consensuspb.Configuration{}
		if err := proto.Unmarshal(entry.Data, configuration); err != nil {
			return failure.Wrap(failure.Corrupt, err, "configuration at %d", entry.Index)
		}
		*c = append(*c, placed{entry.Index, configuration})
	}
	return nil
}

// truncate drops those from index on.
func (c *configurations) truncate(index uint64) {
	for len(*c) > 0 && (*c)[len(*c)-1].index >= index {
		*c = (*c)[:len(*c)-1]
	}
}

// compact drops those that no index from index on needs.
func (c *configurations) compact(index uint64) {
	for len(*c) > 1 && (*c)[1].index <= index {
		*c = (*c)[1:]
	}
}

func (c configurations) after(index uint64) configurations {
	first := sort.Search(len(c), func(i int) bool { return c[i].index > index })
	return c[first:]
}

// at gives the configuration in force at index; nil where none is known.
func (c configurations) at(index uint64) *consensuspb.Configuration {
	first := sort.Search(len(c), func(i int) bool { return c[i].index > index })
	if first == 0 {
		return nil
	}
	return c[first-1].configuration
}

func (c configurations) newest() *consensuspb.Configuration {
	if len(c) == 0 {
		return nil
	}
	return c[len(c)-1].configuration
}

func (c configurations) newestIndex() uint64 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].index
}

func member(c *consensuspb.Configuration, identity string) *consensuspb.Member {
	for _, m := range c.GetMembers() {
		if m.Identity == identity {
			return m
		}
	}
	return nil
}

func isVoter(c *consensuspb.Configuration, identity string) bool {
	return member(c, identity).GetVoter()
}

func voters(c *consensuspb.Configuration) []string {
	var identities []string
	for _, m := range c.GetMembers() {
		if m.Voter {
			identities = append(identities, m.Identity)
		}
	}
	return identities
}

// quorumOf is the majority of a number of voters.
func quorumOf(voters int) int { return voters/2 + 1 }

// quorumValue is the greatest value that a quorum of the voters has reached.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	var buffer [usualVoters]uint64
	values := buffer[:0]
	count := 0
	for _, m := range n.configurations.newest().GetMembers() {
		if !m.Voter {
			continue
		}
		count++
		if m.Identity == n.config.Identity {
			values = append(values, own)
		} else if p := n.progressOf(m.Identity); p != nil {
			values = append(values, value(p))
		}
	}
	need := n.quorum(count)
	if need == 0 || len(values) < need {
		return 0
	}
	slices.Sort(values)
	return values[len(values)-need]
}

func (n *Node) quorum(voters int) int {
	if n.disabled.majority {
		return voters / 2
	}
	return quorumOf(voters)
}
