// Package catalog looks up the queue of a call and the customer of an API key in
// the declarations. A Catalog is an immutable index of one revision.
package catalog

import (
	"cmp"
	"slices"
	"strings"
	"sync/atomic"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/declaration"
	"pinewinch.example/pinewinch/internal/state/store"
)

// Catalog is the index of one revision of the declarations.
type Catalog struct {
	revision uint64
	version  uint64
	// byHost holds each host's places, longest path prefix first; hosts are canonical.
	byHost map[string][]place
	byKey  map[string]*controlpb.Customer
}

// place is a queue with its canonical path prefix.
type place struct {
	prefix string
	queue  *controlpb.Queue
}

// New builds the index of a state's declarations.
func New(state *store.State) *Catalog {
	c := &Catalog{
		revision: state.Revision(),
		version:  state.Document().GetVersion(),
		byHost:   map[string][]place{},
		byKey:    map[string]*controlpb.Customer{},
	}
	for _, queue := range state.Queues() {
		host := declaration.CanonicalHost(queue.Host)
		c.byHost[host] = append(c.byHost[host], place{declaration.CanonicalPath(queue.PathPrefix), queue})
	}
	for _, places := range c.byHost {
		// Stable, so that all instances choose the same of two queues at one place, which an earlier
		// version accepted in two forms.
		slices.SortStableFunc(places, func(a, b place) int { return cmp.Compare(len(b.prefix), len(a.prefix)) })
	}
	for _, customer := range state.Customers() {
		for _, key := range customer.Keys {
			// A document that an earlier version has accepted may contain an empty key, which
			// would admit every call without one.
			if declaration.ValidKey(key) {
				c.byKey[key] = customer
			}
		}
	}
	return c
}

// Revision returns the revision of the indexed declarations.
func (c *Catalog) Revision() uint64 { return c.revision }

// Version returns the version of the document that the indexed declarations are from; 0
// if none was sent.
func (c *Catalog) Version() uint64 { return c.version }

// Queue returns the queue of the host with the longest prefix of the path, which has no escapes,
// and the rest of the path after the prefix.
func (c *Catalog) Queue(host, path string) (queue *controlpb.Queue, rest string, ok bool) {
	for _, place := range c.byHost[declaration.CanonicalHost(host)] {
		if rest, ok := strings.CutPrefix(path, place.prefix); ok {
			return place.queue, rest, true
		}
	}
	return nil, "", false
}

// Customer returns the customer that has the API key.
func (c *Catalog) Customer(key string) (*controlpb.Customer, bool) {
	customer, ok := c.byKey[key]
	return customer, ok
}

// Cache keeps the index of the last revision requested. It is safe for concurrent
// use.
type Cache struct {
	last atomic.Pointer[Catalog]
}

// Get returns the index of the state's declarations, building it if the cached one
// is of another revision.
func (c *Cache) Get(state *store.State) *Catalog {
	if cached := c.last.Load(); cached != nil && cached.revision == state.Revision() {
		return cached
	}
	built := New(state)
	c.last.Store(built)
	return built
}
