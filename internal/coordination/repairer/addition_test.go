package repairer

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/consensus"
	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// catchingUp is a cluster in which a change adds a learner and then waits until the context ends.
type catchingUp struct {
	*fakeCluster
	mu sync.Mutex
	// added has the instances that were to be added, and waited how long each ended change took.
	added  []string
	waited []time.Duration
}

func (c *catchingUp) ChangeMembers(ctx context.Context, change *peerpb.ChangeMembers) error {
	began := time.Now()
	c.locked(func() { c.added = append(c.added, change.Add) })
	<-ctx.Done()
	c.locked(func() { c.waited = append(c.waited, time.Since(began)) })
	return context.Cause(ctx)
}

func (c *catchingUp) locked(do func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	do()
}

func (c *catchingUp) Status() (status consensus.Status) {
	c.locked(func() { status = c.fakeCluster.Status() })
	return status
}

func (c *catchingUp) Instances(window time.Duration) (live []*peerpb.InstanceState) {
	c.locked(func() { live = slices.Clone(c.fakeCluster.Instances(window)) })
	return live
}

// Nothing can be accepted or read any more after two further disks are lost, as the lost voter was
// never replaced: its instance lost its disk again, or went for good, while the new replica caught up,
// and the change that waited for that replica kept all other repairs waiting for a minute.
func TestLostLearnerEndsItsChange(t *testing.T) {
	const longest = 2 * time.Second
	for name, test := range map[string]struct {
		// lose makes the learner on the spare disappear.
		lose func(c *catchingUp)
		// within is the longest time that the change may go on.
		within time.Duration
		// next is the instance that is added next.
		next string
	}{
		"its disk is lost again": {func(c *catchingUp) {
			c.live[3] = instance("spare", false)
			c.live[3].Identity = "spare.2"
		}, 2 * checkInterval, "other"},
		"its machine is lost": {func(c *catchingUp) { c.learnerUnresponsive = true }, longest + 2*checkInterval, "other"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				c := &catchingUp{fakeCluster: newFakeCluster()}
				c.live[3].Identity = "spare.1"
				c.live[3].DataCentre = "dc0" // chosen first: no voter is there
				other := instance("other", false)
				other.Identity = "other.1"
				c.live = append(c.live, other)
				c.unresponsive["c"] = true
				r := c.repairerWith(longest, longest)
				r.log, r.instances, r.config.Now = c, c, time.Now
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go r.Run(ctx)
				time.Sleep(longest + 2*checkInterval)
				c.locked(func() {
					is.Equal(c.added, []string{"spare"})
					c.learner = &consensuspb.Member{Identity: "spare.1", Instance: "spare"}
				})
				time.Sleep(time.Second)
				c.locked(func() {
					is.Equal(len(c.waited), 0)
					test.lose(c)
				})
				time.Sleep(test.within)
				c.locked(func() { is.Equal(len(c.waited), 1) })
				time.Sleep(2 * checkInterval)
				c.locked(func() { is.Equal(c.added[1], test.next) })
			})
		})
	}
}
