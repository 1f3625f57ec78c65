package gang_test

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Workers must turn to another instance when theirs is partitioned from the log but still
// answers. Otherwise their leases are not renewed and healthy workers lose their tasks.
func TestWorkersFailOverFromPartitionedInstance(t *testing.T) {
	is := is.New(t)
	m := newGangModel(3, &controlpb.Job{RunTimeMs: 60000})
	m.otherInstance = &followerInstance{clock: exactClock(), state: m.state}
	m.untilState(t, running)
	m.instance.partitioned = true
	m.untilState(t, completed)
	is.Equal(m.job().Epoch, uint64(1))
}
