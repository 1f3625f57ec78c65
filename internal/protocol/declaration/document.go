package declaration

import (
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// CheckDocument lists what is wrong with a whole set of queues, services and
// customers. A document with any violation is refused whole.
func CheckDocument(items []*controlpb.Item) []Violation {
	c := &checker{byKey: map[string]*controlpb.Item{}}
	for _, item := range items {
		c.key = item.Key
		if _, twice := c.byKey[item.Key]; twice {
			c.violate("", "declared twice")
		}
		c.byKey[item.Key] = item
	}
	owners := map[string]string{}
	for _, item := range items {
		c.key = item.Key
		switch body := item.Body.(type) {
		case *controlpb.Item_Queue:
			c.queue(body.Queue)
		case *controlpb.Item_Customer:
			c.keys(body.Customer, owners)
		}
	}
	return c.violations
}

func (c *checker) queue(queue *controlpb.Queue) {
	if queue.Host == "" {
		c.violate("host", "is missing")
	}
	if !strings.HasPrefix(queue.PathPrefix, "/") {
		c.violate("path_prefix", "%q does not begin with a slash", queue.PathPrefix)
	}
	if _, ok := c.byKey[ServiceKey(queue.Service)]; !ok {
		c.violate("service", "no such declaration: %s", ServiceKey(queue.Service))
	}
	if queue.TimeoutMs <= 0 {
		c.violate("timeout_ms", "must be positive")
	}
}

// keys refuses a key that two customers hold: a call with it has no owner.
func (c *checker) keys(customer *controlpb.Customer, owners map[string]string) {
	for _, key := range customer.Keys {
		if owner, taken := owners[key]; taken && owner != customer.Name {
			c.violate("keys", "a key is shared with %s", CustomerKey(owner))
		}
		owners[key] = customer.Name
	}
}
