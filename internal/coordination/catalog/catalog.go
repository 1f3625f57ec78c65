// Package catalog finds the queue of a call and the customer of a key in the
// declarations. A Catalog is an immutable index of one revision.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Catalog is the index of one revision of the declarations.
type Catalog struct {
	revision uint64
	// byHost holds each host's queues, the longest prefix first.
	byHost map[string][]*controlpb.Queue
	byKey  map[string]*controlpb.Customer
}

// New indexes the declarations of a state.
func New(state *store.State) *Catalog {
	c := &Catalog{
		revision: state.Revision(),
		byHost:   map[string][]*controlpb.Queue{},
		byKey:    map[string]*controlpb.Customer{},
	}
	for _, queue := range state.Queues() {
		c.byHost[queue.Host] = append(c.byHost[queue.Host], queue)
	}
	for _, queues := range c.byHost {
		slices.SortFunc(queues, func(a, b *controlpb.Queue) int {
			return cmp.Compare(len(b.PathPrefix), len(a.PathPrefix))
		})
	}
	for _, customer := range state.Customers() {
		for _, key := range customer.Keys {
			c.byKey[key] = customer
		}
	}
	return c
}

// Revision is that of the declarations.
func (c *Catalog) Revision() uint64 { return c.revision }

// Queue finds the queue with the longest prefix of the path, and what follows
// the prefix.
func (c *Catalog) Queue(host, path string) (queue *controlpb.Queue, rest string, ok bool) {
	for _, queue := range c.byHost[host] {
		if rest, ok := strings.CutPrefix(path, queue.PathPrefix); ok {
			return queue, rest, true
		}
	}
	return nil, "", false
}

// Customer finds whose key it is.
func (c *Catalog) Customer(key string) (*controlpb.Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// Cache keeps the index of the newest revision that was asked for.
type Cache struct {
	newest atomic.Pointer[Catalog]
}

// Of gives the index of the state's declarations.
func (c *Cache) Of(state *store.State) *Catalog {
	if kept := c.newest.Load(); kept != nil && kept.revision == state.Revision() {
		return kept
	}
	made := New(state)
	c.newest.Store(made)
	return made
}
