package declaration

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// sectionReader converts one section to an item and collects the problems found.
type sectionReader struct {
	file     string
	section  inifile.Section
	values   map[string]inifile.Key
	used     map[string]bool
	problems Problems
}

func newSectionReader(file string, section inifile.Section) *sectionReader {
	s := &sectionReader{file: file, section: section, values: map[string]inifile.Key{}, used: map[string]bool{}}
	for _, key := range section.Keys {
		s.values[key.Name] = key
	}
	return s
}

func (s *sectionReader) addProblem(key, format string, args ...any) {
	line := s.section.Line
	if at, ok := s.values[key]; ok {
		line = at.Line
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Section: s.section.Header, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (s *sectionReader) item(kind, name string) *controlpb.Item {
	if name == "" && kind != "rules" {
		s.markAllUsed()
		s.addProblem("", "a section is headed by a kind and a name")
		return nil
	}
	if name != "" && !validName(name) {
		s.markAllUsed()
		s.addProblem("", "a name is letters, digits, '.', '_' and '-', at most %d of them", maxName)
		return nil
	}
	if name != "" && kind == "rules" {
		s.markAllUsed()
		s.addProblem("", "rules have no name")
		return nil
	}
	switch kind {
	case "customer":
		return &controlpb.Item{Key: CustomerKey(name), Body: &controlpb.Item_Customer{Customer: s.customer(name)}}
	case "class":
		return &controlpb.Item{Key: ClassKey(name), Body: &controlpb.Item_WorkClass{WorkClass: s.class(name)}}
	case "service":
		return &controlpb.Item{Key: ServiceKey(name), Body: &controlpb.Item_Service{Service: s.service(name)}}
	case "entry":
		return &controlpb.Item{Key: EntryKey(name), Body: &controlpb.Item_Entry{Entry: s.entry(name)}}
	case "rules":
		return &controlpb.Item{Key: RulesKey, Body: &controlpb.Item_Rules{Rules: s.rules()}}
	}
	s.markAllUsed()
	s.addProblem("", "unknown kind %q: customer, class, service, entry or rules", kind)
	return nil
}

func (s *sectionReader) customer(name string) *controlpb.Customer {
	return &controlpb.Customer{
		Name:            name,
		Guarantee:       s.shapes("guarantee"),
		Weight:          uint32(s.number("weight", 1, 1, 1000)),
		MaxAccelerators: uint32(s.number("max_accelerators", 0, 0, 1<<20)),
		MaxRequests:     uint32(s.number("max_requests", 0, 0, 1<<20)),
		RequestRate:     uint32(s.number("request_rate", 0, 0, 1<<20)),
	}
}

func (s *sectionReader) class(name string) *controlpb.WorkClass {
	return &controlpb.WorkClass{
		Name:           name,
		Tasks:          uint32(s.number("tasks", 1, 1, 1024)),
		Accelerators:   uint32(s.number("accelerators", 0, 0, 64)),
		Adjacency:      s.adjacency("adjacency"),
		Cores:          uint32(s.number("cores", 1, 0, 1024)),
		MemoryMb:       s.number("memory_mb", 0, 0, 1<<24),
		RunTimeMs:      s.duration("run_time", time.Hour).Milliseconds(),
		DeadlineMs:     s.duration("deadline", 0).Milliseconds(),
		DailyDeadline:  s.timeOfDay("deadline_at"),
		Priority:       uint32(s.number("priority", 0, 0, 100)),
		Idempotent:     s.boolean("idempotent"),
		Checkpointable: s.boolean("checkpointable"),
		Urgent:         s.boolean("urgent"),
	}
}

func (s *sectionReader) service(name string) *controlpb.Service {
	return &controlpb.Service{
		Name:       name,
		Idempotent: s.boolean("idempotent"),
		TimeoutMs:  s.duration("timeout", 10*time.Second).Milliseconds(),
		Priority:   uint32(s.number("priority", 0, 0, 100)),
	}
}

// attributePrefix marks the keys of an entry that the operator defines.
const attributePrefix = "attribute."

func (s *sectionReader) entry(name string) *controlpb.Entry {
	entry := &controlpb.Entry{
		Name:      name,
		Customer:  s.required("customer"),
		WorkClass: s.required("class"),
		PeriodMs:  s.duration("period", 0).Milliseconds(),
		Change:    s.text("change"),
	}
	for _, key := range s.section.Keys {
		attribute, ok := strings.CutPrefix(key.Name, attributePrefix)
		if !ok {
			continue
		}
		s.used[key.Name] = true
		if entry.Attributes == nil {
			entry.Attributes = map[string]string{}
		}
		entry.Attributes[attribute] = key.Value
	}
	return entry
}

func (s *sectionReader) rules() *controlpb.Rules {
	return &controlpb.Rules{FragmentationWeight: uint32(s.number("fragmentation_weight", 50, 0, 100))}
}

func (s *sectionReader) text(key string) string {
	s.used[key] = true
	return s.values[key].Value
}

func (s *sectionReader) required(key string) string {
	value := s.text(key)
	if value == "" {
		s.addProblem(key, "missing")
	}
	return value
}

func (s *sectionReader) number(key string, fallback, low, high uint64) uint64 {
	text := s.text(key)
	if text == "" {
		return fallback
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil || value < low || value > high {
		s.addProblem(key, "%q is not a whole number from %d to %d", text, low, high)
		return fallback
	}
	return value
}

func (s *sectionReader) boolean(key string) bool {
	switch text := s.text(key); text {
	case "", "no", "false":
		return false
	case "yes", "true":
		return true
	default:
		s.addProblem(key, "%q is neither yes nor no", text)
		return false
	}
}

func (s *sectionReader) duration(key string, fallback time.Duration) time.Duration {
	text := s.text(key)
	if text == "" {
		return fallback
	}
	value, err := time.ParseDuration(text)
	if err != nil || value < 0 {
		s.addProblem(key, "%q is not a duration such as 90s, 15m or 24h", text)
		return fallback
	}
	return value
}

// timeOfDay returns the minutes after midnight UTC plus one; 0 means none.
func (s *sectionReader) timeOfDay(key string) uint32 {
	text := s.text(key)
	if text == "" {
		return 0
	}
	at, err := time.Parse("15:04", text)
	if err != nil {
		s.addProblem(key, "%q is not a time of day such as 06:30 (UTC)", text)
		return 0
	}
	return uint32(at.Hour()*60+at.Minute()) + 1
}

var adjacencies = map[string]controlpb.Adjacency{
	"":            controlpb.Adjacency_ADJACENCY_ANY,
	"any":         controlpb.Adjacency_ADJACENCY_ANY,
	"worker":      controlpb.Adjacency_ADJACENCY_WORKER,
	"rack":        controlpb.Adjacency_ADJACENCY_RACK,
	"data_centre": controlpb.Adjacency_ADJACENCY_DATA_CENTRE,
}

func (s *sectionReader) adjacency(key string) controlpb.Adjacency {
	text := s.text(key)
	value, ok := adjacencies[text]
	if !ok {
		s.addProblem(key, "%q is not any, worker, rack or data_centre", text)
	}
	return value
}

// shapes parses a list of shapes such as "2x8 rack, 1x4 worker": 2 sets of 8
// accelerators in one rack each and 1 set of 4 on one worker.
func (s *sectionReader) shapes(key string) []*controlpb.Shape {
	text := s.text(key)
	if text == "" {
		return nil
	}
	var shapes []*controlpb.Shape
	for _, part := range strings.Split(text, ",") {
		shape, ok := parseShape(strings.TrimSpace(part))
		if !ok {
			s.addProblem(key, "%q is not a shape such as \"2x8 rack\"", part)
			continue
		}
		shapes = append(shapes, shape)
	}
	return shapes
}

func parseShape(text string) (*controlpb.Shape, bool) {
	size, where, _ := strings.Cut(text, " ")
	sets, accelerators, ok := strings.Cut(size, "x")
	if !ok {
		return nil, false
	}
	n, err := strconv.ParseUint(sets, 10, 16)
	if err != nil || n == 0 {
		return nil, false
	}
	m, err := strconv.ParseUint(accelerators, 10, 16)
	if err != nil || m == 0 {
		return nil, false
	}
	adjacency, ok := adjacencies[strings.TrimSpace(where)]
	return &controlpb.Shape{Sets: uint32(n), Accelerators: uint32(m), Adjacency: adjacency}, ok
}

// markAllUsed prevents the keys of a section that cannot be parsed from being reported
// as unknown.
func (s *sectionReader) markAllUsed() {
	for _, key := range s.section.Keys {
		s.used[key.Name] = true
	}
}

func (s *sectionReader) rejectUnknownKeys() {
	for _, key := range s.section.Keys {
		if !s.used[key.Name] {
			s.addProblem(key.Name, "unknown key")
		}
	}
}
