// Package declaration reads the operators' inventory and rules, kept as INI
// files in version control, into items of the control state, and compares two
// sets of items. A bad declaration is refused whole: nothing is half applied.
package declaration

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"strconv"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"
	"gopkg.in/ini.v1"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Problem is one thing wrong with a declaration.
type Problem struct {
	File    string
	Line    int
	Section string
	Key     string
	Reason  string
}

// String gives file, line, section, key and reason in that order.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: [%s] %s: %s", p.File, p.Line, p.Section, p.Key, p.Reason)
}

// Problems is every problem found in one go.
type Problems []Problem

// Error lists the problems, one a line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Load reads a file, or every .ini file of a folder in name order.
func Load(path string) ([]*controlpb.Item, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadDeclaration, err, "read %s", path)
	}
	p := newParser()
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.Wrap(failure.BadDeclaration, err, "read %s", file)
		}
		p.file(filepath.Base(file), text)
	}
	return p.finish()
}

// Parse reads one declaration text; name stands for it in problems.
func Parse(name string, text []byte) ([]*controlpb.Item, error) {
	p := newParser()
	p.file(name, text)
	return p.finish()
}

func declarationFiles(path string) ([]string, error) {
	info, err := os.Stat(path)
	if err != nil {
		return nil, err
	}
	if !info.IsDir() {
		return []string{path}, nil
	}
	files, err := filepath.Glob(filepath.Join(path, "*.ini"))
	sort.Strings(files)
	return files, err
}

type parser struct {
	items    map[string]*controlpb.Item
	problems Problems
	places   map[string]Problem
}

func newParser() *parser {
	return &parser{items: map[string]*controlpb.Item{}, places: map[string]Problem{}}
}

func (p *parser) file(name string, text []byte) {
	options := ini.LoadOptions{AllowNonUniqueSections: true, SkipUnrecognizableLines: false}
	parsed, err := ini.LoadSources(options, text)
	if err != nil {
		p.problems = append(p.problems, Problem{File: name, Line: 1, Reason: err.Error()})
		return
	}
	lines := newLineIndex(text)
	for _, section := range parsed.Sections() {
		p.section(name, lines, section)
	}
}

func (p *parser) section(file string, lines *lineIndex, section *ini.Section) {
	header := section.Name()
	if header == ini.DefaultSection {
		if len(section.Keys()) > 0 {
			p.problems = append(p.problems, Problem{File: file, Line: 1, Reason: "key outside a section"})
		}
		return
	}
	s := &sectionReader{file: file, header: header, section: section, used: map[string]bool{}}
	s.line, s.keyLines = lines.next(header)
	kind, name, _ := strings.Cut(header, " ")
	name = strings.TrimSpace(name)
	item := s.item(kind, name)
	s.rejectUnknownKeys()
	p.problems = append(p.problems, s.problems...)
	if item == nil {
		return
	}
	if _, twice := p.items[item.Key]; twice {
		p.problems = append(p.problems, Problem{File: file, Line: s.line, Section: header, Reason: "declared twice"})
		return
	}
	p.items[item.Key] = item
	p.places[item.Key] = Problem{File: file, Line: s.line, Section: header}
}

func (p *parser) finish() ([]*controlpb.Item, error) {
	p.checkReferences()
	if len(p.problems) > 0 {
		return nil, failure.Wrap(failure.BadDeclaration, p.problems, "%d problems", len(p.problems))
	}
	return Sorted(p.items), nil
}

func (p *parser) checkReferences() {
	for _, key := range sortedKeys(p.items) {
		entry := p.items[key].GetEntry()
		if entry == nil {
			continue
		}
		p.checkReference(key, "customer", CustomerKey(entry.Customer))
		p.checkReference(key, "class", ClassKey(entry.WorkClass))
	}
}

func (p *parser) checkReference(from, key, to string) {
	if _, ok := p.items[to]; ok {
		return
	}
	problem := p.places[from]
	problem.Key = key
	problem.Reason = "no such declaration: " + to
	p.problems = append(p.problems, problem)
}

// The keys of items, by kind.
const (
	customerPrefix = "customer/"
	classPrefix    = "class/"
	servicePrefix  = "service/"
	entryPrefix    = "entry/"
	// RulesKey is the key of the one item of rules.
	RulesKey = "rules"
)

// CustomerKey is the item key of a customer.
func CustomerKey(name string) string { return customerPrefix + name }

// ClassKey is the item key of a class of work.
func ClassKey(name string) string { return classPrefix + name }

// ServiceKey is the item key of a service.
func ServiceKey(name string) string { return servicePrefix + name }

// EntryKey is the item key of an inventory entry.
func EntryKey(name string) string { return entryPrefix + name }

// Sorted lists items by key.
func Sorted(items map[string]*controlpb.Item) []*controlpb.Item {
	sorted := make([]*controlpb.Item, 0, len(items))
	for _, key := range sortedKeys(items) {
		sorted = append(sorted, items[key])
	}
	return sorted
}

func sortedKeys(items map[string]*controlpb.Item) []string {
	keys := make([]string, 0, len(items))
	for key := range items {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}

// Change is what an apply would do: only what differs crosses the network.
type Change struct {
	Set    []*controlpb.Item
	Remove []string
}

// Empty tells whether nothing differs.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Remove) == 0 }

// Diff gives the change that turns the items of from into those of to.
func Diff(from, to []*controlpb.Item) Change {
	old := make(map[string]*controlpb.Item, len(from))
	for _, item := range from {
		old[item.Key] = item
	}
	var change Change
	for _, item := range to {
		if !proto.Equal(old[item.Key], item) {
			change.Set = append(change.Set, item)
		}
		delete(old, item.Key)
	}
	change.Remove = sortedKeys(old)
	return change
}

type sectionReader struct {
	file     string
	line     int
	keyLines map[string]int
	header   string
	section  *ini.Section
	used     map[string]bool
	problems Problems
}

func (s *sectionReader) problem(key, format string, args ...any) {
	line := s.line
	if at, ok := s.keyLines[key]; ok {
		line = at
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: line, Section: s.header, Key: key, Reason: fmt.Sprintf(format, args...)})
}

func (s *sectionReader) item(kind, name string) *controlpb.Item {
	if name == "" && kind != "rules" {
		s.problem("", "a section is headed by a kind and a name")
		return nil
	}
	if strings.ContainsAny(name, " /\t") {
		s.problem("", "a name holds no space and no slash")
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
	s.problem("", "unknown kind %q: customer, class, service, entry or rules", kind)
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

// attributePrefix marks the keys of an entry that are the operator's own.
const attributePrefix = "attribute."

func (s *sectionReader) entry(name string) *controlpb.Entry {
	entry := &controlpb.Entry{
		Name:      name,
		Customer:  s.required("customer"),
		WorkClass: s.required("class"),
		PeriodMs:  s.duration("period", 0).Milliseconds(),
		Change:    s.text("change"),
	}
	for _, key := range s.section.Keys() {
		attribute, ok := strings.CutPrefix(key.Name(), attributePrefix)
		if !ok {
			continue
		}
		s.used[key.Name()] = true
		if entry.Attributes == nil {
			entry.Attributes = map[string]string{}
		}
		entry.Attributes[attribute] = key.String()
	}
	return entry
}

func (s *sectionReader) rules() *controlpb.Rules {
	return &controlpb.Rules{FragmentationWeight: uint32(s.number("fragmentation_weight", 50, 0, 100))}
}

func (s *sectionReader) text(key string) string {
	s.used[key] = true
	return s.section.Key(key).String()
}

func (s *sectionReader) required(key string) string {
	value := s.text(key)
	if value == "" {
		s.problem(key, "missing")
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
		s.problem(key, "%q is not a whole number from %d to %d", text, low, high)
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
		s.problem(key, "%q is neither yes nor no", text)
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
		s.problem(key, "%q is not a duration such as 90s, 15m or 24h", text)
		return fallback
	}
	return value
}

// timeOfDay gives the minutes after midnight UTC plus one, so that 0 is "none".
func (s *sectionReader) timeOfDay(key string) uint32 {
	text := s.text(key)
	if text == "" {
		return 0
	}
	at, err := time.Parse("15:04", text)
	if err != nil {
		s.problem(key, "%q is not a time of day such as 06:30 (UTC)", text)
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
		s.problem(key, "%q is not any, worker, rack or data_centre", text)
	}
	return value
}

// shapes reads "2x8 rack, 1x4 worker".
func (s *sectionReader) shapes(key string) []*controlpb.Shape {
	text := s.text(key)
	if text == "" {
		return nil
	}
	var shapes []*controlpb.Shape
	for _, part := range strings.Split(text, ",") {
		shape, ok := parseShape(strings.TrimSpace(part))
		if !ok {
			s.problem(key, "%q is not a shape such as \"2x8 rack\"", part)
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

func (s *sectionReader) rejectUnknownKeys() {
	for _, key := range s.section.Keys() {
		if !s.used[key.Name()] {
			s.problem(key.Name(), "unknown key")
		}
	}
}
