// Package declaration reads the operators' inventory and rules, kept as INI
// files in version control, into items of the control state, and compares two
// sets of items. A bad declaration is refused whole: nothing is half applied.
package declaration

import (
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// Problem is one thing wrong with a declaration.
type Problem = inifile.Problem

// Problems is every problem found in one go.
type Problems = inifile.Problems

// Load reads a file, or every .ini file of a folder in name order.
func Load(path string) ([]*controlpb.Item, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadDeclaration, err, "read %s", path)
	}
	p := newParser()
	if len(files) == 0 {
		// An empty folder would remove every declaration; a wrong path looks the same.
		return nil, failure.New(failure.BadDeclaration, "no .ini file in %s", path)
	}
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
	places   map[string]*sectionReader
}

func newParser() *parser {
	return &parser{items: map[string]*controlpb.Item{}, places: map[string]*sectionReader{}}
}

func (p *parser) file(name string, text []byte) {
	sections, problems := inifile.Parse(name, text)
	p.problems = append(p.problems, problems...)
	for _, section := range sections {
		p.section(name, section)
	}
}

func (p *parser) section(file string, section inifile.Section) {
	s := newSectionReader(file, section)
	kind, name, _ := strings.Cut(section.Header, " ")
	item := s.item(kind, strings.TrimSpace(name))
	s.rejectUnknownKeys()
	p.problems = append(p.problems, s.problems...)
	if item == nil {
		return
	}
	if earlier, twice := p.places[item.Key]; twice {
		s.problem("", "declared before, at %s:%d", earlier.file, earlier.section.Line)
		p.problems = append(p.problems, s.problems[len(s.problems)-1])
		return
	}
	p.items[item.Key] = item
	p.places[item.Key] = s
}

// finish checks the items together, and gives them only if nothing is wrong.
func (p *parser) finish() ([]*controlpb.Item, error) {
	items := Sorted(p.items)
	for _, violation := range Check(items) {
		place := p.places[violation.Item]
		place.problems = nil
		place.problem(violation.Field, "%s", violation.Reason)
		p.problems = append(p.problems, place.problems...)
	}
	if len(p.problems) > 0 {
		sort.SliceStable(p.problems, func(i, j int) bool {
			a, b := p.problems[i], p.problems[j]
			return a.File < b.File || (a.File == b.File && a.Line < b.Line)
		})
		return nil, failure.Wrap(failure.BadDeclaration, p.problems, "%d problems", len(p.problems))
	}
	return items, nil
}

// The keys of items, by kind.
const (
	CustomerPrefix = "customer/"
	classPrefix    = "class/"
	ServicePrefix  = "service/"
	QueuePrefix    = "queue/"
	entryPrefix    = "entry/"
	// RulesKey is the key of the one item of rules.
	RulesKey = "rules"
)

// CustomerKey is the item key of a customer.
func CustomerKey(name string) string { return CustomerPrefix + name }

// ClassKey is the item key of a class of work.
func ClassKey(name string) string { return classPrefix + name }

// QueueKey is the key of the queue at a host and path prefix.
func QueueKey(host, pathPrefix string) string { return QueuePrefix + host + pathPrefix }

// ServiceKey is the item key of a service.
func ServiceKey(name string) string { return ServicePrefix + name }

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
