package declaration

import (
	"net/url"
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// ValidKey reports whether a call can carry an API key in a header field, whose value loses the
// spaces and tabs around it. An empty key is none: a call without the header would have it.
func ValidKey(key string) bool {
	if key == "" || strings.Trim(key, " \t") != key {
		return false
	}
	return !strings.ContainsFunc(key, func(r rune) bool { return r != '\t' && (r < ' ' || r == '\x7f') })
}

// CheckDocument returns the violations of a complete set of queues, services and
// customers. A document with any violation is rejected as a whole.
func CheckDocument(items []*controlpb.Item) []Violation {
	c := &checker{byKey: map[string]*controlpb.Item{}}
	for _, item := range items {
		c.key = item.Key
		if _, duplicate := c.byKey[item.Key]; duplicate {
			c.addViolation("", "declared twice")
		}
		c.byKey[item.Key] = item
	}
	owners := map[string]string{}
	for _, item := range items {
		c.key = item.Key
		switch body := item.Body.(type) {
		case *controlpb.Item_Queue:
			c.checkQueue(body.Queue)
		case *controlpb.Item_Service:
			c.checkPresent(body.Service.Name)
		case *controlpb.Item_Customer:
			c.checkPresent(body.Customer.Name)
			c.checkAPIKeys(body.Customer, owners)
		}
	}
	return c.violations
}

// checkPresent rejects an empty name: it is what a null in a list is decoded to, and the customer
// of calls on anonymous queues.
func (c *checker) checkPresent(name string) {
	if name == "" {
		c.addViolation("name", "is missing")
	}
}

func (c *checker) checkQueue(queue *controlpb.Queue) {
	switch {
	case CanonicalHost(queue.Host) == "":
		c.addViolation("host", "is missing")
	case !validHost(queue.Host):
		c.addViolation("host", "%q cannot be sent in a Host header", queue.Host)
	}
	if _, err := url.PathUnescape(queue.PathPrefix); err != nil {
		c.addViolation("path_prefix", "%q has an invalid escape; no call can carry it", queue.PathPrefix)
	}
	// In a call these end the path.
	if strings.ContainsAny(queue.PathPrefix, "?#") {
		c.addViolation("path_prefix", "%q has a ? or #; no call can carry it unless it is escaped", queue.PathPrefix)
	}
	if !strings.HasPrefix(queue.PathPrefix, "/") {
		c.addViolation("path_prefix", "%q does not begin with a slash", queue.PathPrefix)
	}
	if _, ok := c.byKey[ServiceKey(queue.Service)]; !ok {
		c.addViolation("service", "no such declaration: %s", ServiceKey(queue.Service))
	}
	if queue.TimeoutMs <= 0 {
		c.addViolation("timeout_ms", "must be positive")
	}
}

// checkAPIKeys rejects a key that no call can carry, and one that two customers share: a call
// with it could not be attributed to one customer.
func (c *checker) checkAPIKeys(customer *controlpb.Customer, owners map[string]string) {
	for number, key := range customer.Keys {
		if !ValidKey(key) {
			c.addViolation("keys", "key %d of %d cannot be sent in a header: a key is not empty, has no space around it and no control characters", number+1, len(customer.Keys))
		}
		if owner, taken := owners[key]; taken && owner != customer.Name {
			c.addViolation("keys", "a key is shared with %s", CustomerKey(owner))
		}
		owners[key] = customer.Name
	}
}
