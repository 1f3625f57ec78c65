package consensus

import (
	"slices"
	"sort"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// inlineVoters is the number of voters for which quorumValue needs no heap allocation.
// Larger configurations work too.
const inlineVoters = 8

// indexedConfiguration is a configuration and its log index.
type indexedConfiguration struct {
	index         uint64
	configuration *consensuspb.Configuration
}

// configurations are the configurations in the log, starting with the one in force at
// the base, newest last. The newest takes effect as soon as it is appended, whether
// committed or not (thesis, section 4.1), and is reverted if its entry is overwritten.
type configurations []indexedConfiguration

func (c *configurations) reset(meta *consensuspb.SnapshotMeta) {
	later := (*c).after(meta.Index)
	kept := configurations{{meta.Index, meta.Configuration}}
	*c = append(kept, later...)
}

// addFrom adds the configurations contained in entries.
func (c *configurations) addFrom(entries []*consensuspb.Entry) error {
	for _, entry := range entries {
		if entry.Kind != consensuspb.EntryKind_ENTRY_KIND_CONFIGURATION {
			continue
		}
		configuration := &consensuspb.Configuration{}
		if err := proto.Unmarshal(entry.Data, configuration); err != nil {
			return failure.Wrap(failure.Corrupt, err, "configuration at %d", entry.Index)
		}
		*c = append(*c, indexedConfiguration{entry.Index, configuration})
	}
	return nil
}

// truncate removes the configurations from index on.
func (c *configurations) truncate(index uint64) {
	for len(*c) > 0 && (*c)[len(*c)-1].index >= index {
		*c = (*c)[:len(*c)-1]
	}
}

// compact removes the configurations that are superseded at index.
func (c *configurations) compact(index uint64) {
	for len(*c) > 1 && (*c)[1].index <= index {
		*c = (*c)[1:]
	}
}

func (c configurations) after(index uint64) configurations {
	first := sort.Search(len(c), func(i int) bool { return c[i].index > index })
	return c[first:]
}

// at returns the configuration in force at index; nil if it is unknown.
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

// quorumSize is the size of a majority of a number of voters.
func quorumSize(voters int) int { return voters/2 + 1 }

// quorumValue returns the greatest value that a quorum of the voters has reached, given
// this replica's own value; 0 if there is no quorum.
func (n *Node) quorumValue(own uint64, value func(*progress) uint64) uint64 {
	var buffer [inlineVoters]uint64
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
	return quorumSize(voters)
}
