package declaration

import (
	"fmt"
	"regexp"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// Limits of declarations. The largest gang planned for has 128 tasks.
const (
	maxName                = 63
	maxChange              = 128
	maxTasks               = 1024
	maxAcceleratorsPerTask = 64
	maxAccelerators        = 1 << 16
	maxTimeout             = 10 * time.Minute
	minPeriod              = time.Minute
	maxWeight              = 1000
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	changePattern = regexp.MustCompile(`^[A-Za-z0-9._:+-]*$`)
)

func validName(name string) bool {
	return len(name) <= maxName && namePattern.MatchString(name)
}

// Violation is one rule violated by a set of items.
type Violation struct {
	// Item is the key of the item, Field the key within its section; Field is empty for
	// a violation of the whole item.
	Item   string
	Field  string
	Reason string
}

// CheckChange returns the violations of a change itself and of the items that result
// from it. The command-line tool checks before it sends; the server checks again,
// because the interface can be called without the tool.
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
	return append(violations, Check(ApplyChange(current, set, remove))...)
}

// ApplyChange returns the items that result from a change, sorted by key.
func ApplyChange(current, set []*controlpb.Item, remove []string) []*controlpb.Item {
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

// Check returns all violations of the items, including references between them.
func Check(items []*controlpb.Item) []Violation {
	c := &checker{byKey: make(map[string]*controlpb.Item, len(items))}
	for _, item := range items {
		c.byKey[item.Key] = item
	}
	for _, item := range items {
		c.checkItem(item)
	}
	return c.violations
}

type checker struct {
	byKey      map[string]*controlpb.Item
	key        string
	violations []Violation
}

func (c *checker) addViolation(field, format string, args ...any) {
	c.violations = append(c.violations, Violation{Item: c.key, Field: field, Reason: fmt.Sprintf(format, args...)})
}

func (c *checker) checkItem(item *controlpb.Item) {
	c.key = item.Key
	switch body := item.Body.(type) {
	case *controlpb.Item_Customer:
		c.checkName(CustomerKey, body.Customer.GetName())
		c.checkCustomer(body.Customer)
	case *controlpb.Item_WorkClass:
		c.checkName(ClassKey, body.WorkClass.GetName())
		c.checkClass(body.WorkClass)
	case *controlpb.Item_Service:
		c.checkName(ServiceKey, body.Service.GetName())
		c.checkService(body.Service)
	case *controlpb.Item_Entry:
		c.checkName(EntryKey, body.Entry.GetName())
		c.checkEntry(body.Entry)
	case *controlpb.Item_Rules:
		if item.Key != RulesKey {
			c.addViolation("", "rules must have the key %q", RulesKey)
		}
		if body.Rules.GetFragmentationWeight() > 100 {
			c.addViolation("fragmentation_weight", "over 100")
		}
	default:
		c.addViolation("", "has no body that this version knows")
	}
}

// checkName rejects an item whose name and key differ, as items refer to each other by
// key.
func (c *checker) checkName(keyOf func(string) string, name string) {
	if !validName(name) || c.key != keyOf(name) {
		c.addViolation("", "the name %q is not valid for the key", name)
	}
}

func (c *checker) checkCustomer(customer *controlpb.Customer) {
	if customer.Weight > maxWeight {
		c.addViolation("weight", "over %d", maxWeight)
	}
	var guaranteed uint64
	for _, shape := range customer.Guarantee {
		if shape.Sets == 0 || shape.Accelerators == 0 {
			c.addViolation("guarantee", "a shape needs at least 1 set and 1 accelerator")
		}
		if _, ok := controlpb.Adjacency_name[int32(shape.Adjacency)]; !ok {
			c.addViolation("guarantee", "unknown adjacency")
		}
		guaranteed += uint64(shape.Sets) * uint64(shape.Accelerators)
	}
	if guaranteed > maxAccelerators {
		c.addViolation("guarantee", "%d accelerators; at most %d", guaranteed, maxAccelerators)
	}
	if limit := customer.MaxAccelerators; limit > 0 && guaranteed > uint64(limit) {
		c.addViolation("max_accelerators", "%d is below the %d guaranteed", limit, guaranteed)
	}
}

func (c *checker) checkClass(class *controlpb.WorkClass) {
	if class.Tasks == 0 || class.Tasks > maxTasks {
		c.addViolation("tasks", "%d is not from 1 to %d", class.Tasks, maxTasks)
	}
	if class.Accelerators > maxAcceleratorsPerTask {
		c.addViolation("accelerators", "%d per task; at most %d", class.Accelerators, maxAcceleratorsPerTask)
	}
	if _, ok := controlpb.Adjacency_name[int32(class.Adjacency)]; !ok {
		c.addViolation("adjacency", "unknown")
	}
	if class.RunTimeMs <= 0 {
		c.addViolation("run_time", "not above 0")
	}
	if class.DeadlineMs < 0 || class.DailyDeadline > 24*60 {
		c.addViolation("deadline", "out of range")
	}
	if class.DeadlineMs > 0 && class.RunTimeMs > class.DeadlineMs {
		c.addViolation("deadline", "%s is shorter than the run time of %s", milliseconds(class.DeadlineMs), milliseconds(class.RunTimeMs))
	}
	if class.Priority > 100 {
		c.addViolation("priority", "over 100")
	}
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }

func (c *checker) checkService(service *controlpb.Service) {
	if service.TimeoutMs <= 0 || service.TimeoutMs > maxTimeout.Milliseconds() {
		c.addViolation("timeout", "not above 0 and at most %s", maxTimeout)
	}
	if service.Priority > 100 {
		c.addViolation("priority", "over 100")
	}
}

func (c *checker) checkEntry(entry *controlpb.Entry) {
	if len(entry.Change) > maxChange || !changePattern.MatchString(entry.Change) {
		c.addViolation("change", "not at most %d letters, digits and '.', '_', ':', '+', '-'", maxChange)
	}
	if entry.PeriodMs != 0 && entry.PeriodMs < minPeriod.Milliseconds() {
		c.addViolation("period", "shorter than %s", minPeriod)
	}
	customer := c.byKey[CustomerKey(entry.Customer)].GetCustomer()
	if customer == nil {
		c.addViolation("customer", "no such declaration: %s", CustomerKey(entry.Customer))
	}
	class := c.byKey[ClassKey(entry.WorkClass)].GetWorkClass()
	if class == nil {
		c.addViolation("class", "no such declaration: %s", ClassKey(entry.WorkClass))
	}
	wanted := class.GetTasks() * class.GetAccelerators()
	if limit := customer.GetMaxAccelerators(); limit > 0 && wanted > limit {
		c.addViolation("class", "needs %d accelerators at once; customer %s may use %d", wanted, entry.Customer, limit)
	}
}
