package declaration

import (
	"fmt"
	"regexp"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Bounds of what can be declared. The greatest gang planned for has 128 tasks.
const (
	maxName         = 63
	maxChange       = 128
	maxTasks        = 1024
	maxPerTask      = 64
	maxAccelerators = 1 << 16
	maxTimeout      = 10 * time.Minute
	minPeriod       = time.Minute
	maxWeight       = 1000
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	changePattern = regexp.MustCompile(`^[A-Za-z0-9._:+-]*$`)
)

func validName(name string) bool {
	return len(name) <= maxName && namePattern.MatchString(name)
}

// Violation is one rule that a set of items breaks.
type Violation struct {
	// Item is the key of the item, Field the key within its section.
	Item   string
	Field  string
	Reason string
}

// CheckChange gives what is wrong with the items that a change leads to, and
// with the change itself. The tool checks before it sends; the server checks
// again, because an operator may call the interface without the tool.
func CheckChange(current, set []*controlpb.Item, remove []string) []Violation {
	var violations []Violation
	changed := map[string]bool{}
	for _, item := range set {
		if changed[item.Key] {
			violations = append(violations, Violation{Item: item.Key, Reason: "set twice"})
		}
		changed[item.Key] = true
	}
	for _, key := range remove {
		if changed[key] {
			violations = append(violations, Violation{Item: key, Reason: "set and removed, or removed twice"})
		}
		changed[key] = true
	}
	return append(violations, Check(Changed(current, set, remove))...)
}

// Changed gives the items that a change leads to.
func Changed(current, set []*controlpb.Item, remove []string) []*controlpb.Item {
	items := make(map[string]*controlpb.Item, len(current)+len(set))
	for _, item := range current {
		items[item.Key] = item
	}
	for _, item := range set {
		items[item.Key] = item
	}
	for _, key := range remove {
		delete(items, key)
	}
	return Sorted(items)
}

// Check lists every rule that the items break together.
func Check(items []*controlpb.Item) []Violation {
	c := &checker{byKey: make(map[string]*controlpb.Item, len(items))}
	for _, item := range items {
		c.byKey[item.Key] = item
	}
	for _, item := range items {
		c.item(item)
	}
	return c.violations
}

type checker struct {
	byKey      map[string]*controlpb.Item
	key        string
	violations []Violation
}

func (c *checker) violate(field, format string, args ...any) {
	c.violations = append(c.violations, Violation{Item: c.key, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) item(item *controlpb.Item) {
	c.key = item.Key
	switch body := item.Body.(type) {
	case *controlpb.Item_Customer:
		c.named(CustomerKey, body.Customer.GetName())
		c.customer(body.Customer)
	case *controlpb.Item_WorkClass:
		c.named(ClassKey, body.WorkClass.GetName())
		c.class(body.WorkClass)
	case *controlpb.Item_Service:
		c.named(ServiceKey, body.Service.GetName())
		c.service(body.Service)
	case *controlpb.Item_Entry:
		c.named(EntryKey, body.Entry.GetName())
		c.entry(body.Entry)
	case *controlpb.Item_Rules:
		if item.Key != RulesKey {
			c.violate("", "rules stand under the key %q", RulesKey)
		}
		if body.Rules.GetFragmentationWeight() > 100 {
			c.violate("fragmentation_weight", "over 100")
		}
	default:
		c.violate("", "has no body that this version knows")
	}
}

// named refuses an item whose name and key differ: references go by key.
func (c *checker) named(keyOf func(string) string, name string) {
	if !validName(name) || c.key != keyOf(name) {
		c.violate("", "the name %q is not a valid one for the key", name)
	}
}

func (c *checker) customer(customer *controlpb.Customer) {
	if customer.Weight > maxWeight {
		c.violate("weight", "over %d", maxWeight)
	}
	var guaranteed uint64
	for _, shape := range customer.Guarantee {
		if shape.Sets == 0 || shape.Accelerators == 0 {
			c.violate("guarantee", "a shape of nothing")
		}
		if _, ok := controlpb.Adjacency_name[int32(shape.Adjacency)]; !ok {
			c.violate("guarantee", "unknown adjacency")
		}
		guaranteed += uint64(shape.Sets) * uint64(shape.Accelerators)
	}
	if guaranteed > maxAccelerators {
		c.violate("guarantee", "%d accelerators; at most %d", guaranteed, maxAccelerators)
	}
	if limit := customer.MaxAccelerators; limit > 0 && guaranteed > uint64(limit) {
		c.violate("max_accelerators", "%d is below the %d guaranteed", limit, guaranteed)
	}
}

func (c *checker) class(class *controlpb.WorkClass) {
	if class.Tasks == 0 || class.Tasks > maxTasks {
		c.violate("tasks", "%d is not from 1 to %d", class.Tasks, maxTasks)
	}
	if class.Accelerators > maxPerTask {
		c.violate("accelerators", "%d a task; at most %d", class.Accelerators, maxPerTask)
	}
	if _, ok := controlpb.Adjacency_name[int32(class.Adjacency)]; !ok {
		c.violate("adjacency", "unknown")
	}
	if class.RunTimeMs <= 0 {
		c.violate("run_time", "not above 0")
	}
	if class.DeadlineMs < 0 || class.DailyDeadline > 24*60 {
		c.violate("deadline", "out of range")
	}
	if class.DeadlineMs > 0 && class.RunTimeMs > class.DeadlineMs {
		c.violate("deadline", "%s is shorter than the run time of %s", milliseconds(class.DeadlineMs), milliseconds(class.RunTimeMs))
	}
	if class.Priority > 100 {
		c.violate("priority", "over 100")
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *checker) service(service *controlpb.Service) {
	if service.TimeoutMs <= 0 || service.TimeoutMs > maxTimeout.Milliseconds() {
		c.violate("timeout", "not above 0 and at most %s", maxTimeout)
	}
	if service.Priority > 100 {
		c.violate("priority", "over 100")
	}
}

func (c *checker) entry(entry *controlpb.Entry) {
	if len(entry.Change) > maxChange || !changePattern.MatchString(entry.Change) {
		c.violate("change", "not at most %d letters, digits and '.', '_', ':', '+', '-'", maxChange)
	}
	if entry.PeriodMs != 0 && entry.PeriodMs < minPeriod.Milliseconds() {
		c.violate("period", "shorter than %s", minPeriod)
	}
	customer := c.byKey[CustomerKey(entry.Customer)].GetCustomer()
	if customer == nil {
		c.violate("customer", "no such declaration: %s", CustomerKey(entry.Customer))
	}
	class := c.byKey[ClassKey(entry.WorkClass)].GetWorkClass()
	if class == nil {
		c.violate("class", "no such declaration: %s", ClassKey(entry.WorkClass))
	}
	wanted := class.GetTasks() * class.GetAccelerators()
	if limit := customer.GetMaxAccelerators(); limit > 0 && wanted > limit {
		c.violate("class", "needs %d accelerators at once; customer %s may use %d", wanted, entry.Customer, limit)
	}
}
