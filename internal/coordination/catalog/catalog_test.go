package catalog

import (
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

func declarationsState() *store.State {
	items := []*controlpb.Item{{Key: "customer/c", Body: &controlpb.Item_Customer{Customer: &controlpb.Customer{Name: "c", Keys: []string{"k1", "k2"}}}}}
	for _, queue := range [][2]string{{"h", "/p/"}, {"h", "/p/deep/"}, {"other", "/p/"}} {
		items = append(items, &controlpb.Item{
			Key:  "queue/" + queue[0] + queue[1],
			Body: &controlpb.Item_Queue{Queue: &controlpb.Queue{Name: queue[0] + queue[1], Host: queue[0], PathPrefix: queue[1]}},
		})
	}
	return store.Restore(&controlpb.Snapshot{Revision: 4, Items: items})
}

func TestQueueMatchesLongestPrefix(t *testing.T) {
	index := New(declarationsState())
	for _, c := range []struct{ host, path, queue, rest string }{
		{"h", "/p/a", "h/p/", "a"},
		{"h", "/p/deep/a", "h/p/deep/", "a"},
		{"h", "/p/", "h/p/", ""},
		{"other", "/p/deep/a", "other/p/", "deep/a"},
		{"h", "/q/a", "", ""},
		{"none", "/p/a", "", ""},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			queue, rest, ok := index.Queue(c.host, c.path)
			is.Equal(ok, c.queue != "")
			is.Equal(queue.GetName(), c.queue)
			is.Equal(rest, c.rest)
		})
	}
}

// A newer revision removes a key. The cache must not return the index of the older
// revision for it.
func TestCacheFollowsRevision(t *testing.T) {
	is := is.New(t)
	cache := &Cache{}
	customer, ok := cache.Get(declarationsState()).Customer("k2")
	is.True(ok)
	is.Equal(customer.Name, "c")
	newer := store.Restore(&controlpb.Snapshot{Revision: 5})
	_, ok = cache.Get(newer).Customer("k2")
	is.True(!ok)
}

// An empty key among a customer's keys, as in an earlier version's document, admits calls without a key.
func TestEmptyKeyAdmitsNobody(t *testing.T) {
	is := is.New(t)
	customer := &controlpb.Customer{Name: "c", Keys: []string{"", " ", "k1"}}
	index := New(store.Restore(&controlpb.Snapshot{Items: []*controlpb.Item{{Key: "customer/c", Body: &controlpb.Item_Customer{Customer: customer}}}}))
	for _, key := range []string{"", " "} {
		_, ok := index.Customer(key)
		is.True(!ok) // no call without a key belongs to a customer
	}
	_, ok := index.Customer("k1")
	is.True(ok)
}
