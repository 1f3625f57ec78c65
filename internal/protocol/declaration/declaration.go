// Package declaration parses the operators' inventory and rules, which are INI files
// kept in version control, into items of the control state, and compares two sets of
// items. An invalid declaration is rejected as a whole, so that none is partly applied.
package declaration

import (
	"net"
	"net/url"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

// Problem is one error in a declaration.
type Problem = inifile.Problem

// Problems is the list of all problems of a set of declarations.
type Problems = inifile.Problems

// Load reads a file, or every .ini file of a folder in name order. Its errors have
// code BadDeclaration.
func Load(path string) ([]*controlpb.Item, error) {
	files, err := declarationFiles(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadDeclaration, err, "read %s", path)
	}
	p := newParser()
	if len(files) == 0 {
		// Applying an empty folder would remove every declaration, and a wrong path
		// cannot be told from an empty folder.
		return nil, failure.New(failure.BadDeclaration, "no .ini file in %s", path)
	}
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return nil, failure.Wrap(failure.BadDeclaration, err, "read %s", file)
		}
		p.parseFile(filepath.Base(file), text)
	}
	return p.checkedItems()
}

// Parse parses the text of one declaration file. name is the file name shown in
// problems. Its errors have code BadDeclaration and wrap Problems.
func Parse(name string, text []byte) ([]*controlpb.Item, error) {
	p := newParser()
	p.parseFile(name, text)
	return p.checkedItems()
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
	readers  map[string]*sectionReader
}

func newParser() *parser {
	return &parser{items: map[string]*controlpb.Item{}, readers: map[string]*sectionReader{}}
}

func (p *parser) parseFile(name string, text []byte) {
	sections, problems := inifile.Parse(name, text)
	p.problems = append(p.problems, problems...)
	for _, section := range sections {
		p.parseSection(name, section)
	}
}

func (p *parser) parseSection(file string, section inifile.Section) {
	s := newSectionReader(file, section)
	kind, name, _ := strings.Cut(section.Header, " ")
	item := s.item(kind, strings.TrimSpace(name))
	s.rejectUnknownKeys()
	p.problems = append(p.problems, s.problems...)
	if item == nil {
		return
	}
	if earlier, duplicate := p.readers[item.Key]; duplicate {
		s.addProblem("", "already declared at %s:%d", earlier.file, earlier.section.Line)
		p.problems = append(p.problems, s.problems[len(s.problems)-1])
		return
	}
	p.items[item.Key] = item
	p.readers[item.Key] = s
}

// checkedItems validates all items together and returns them if there are no problems.
func (p *parser) checkedItems() ([]*controlpb.Item, error) {
	items := Sorted(p.items)
	for _, violation := range Check(items) {
		reader := p.readers[violation.Item]
		reader.problems = nil
		reader.addProblem(violation.Field, "%s", violation.Reason)
		p.problems = append(p.problems, reader.problems...)
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

// Prefixes of item keys, by kind.
const (
	CustomerPrefix = "customer/"
	classPrefix    = "class/"
	ServicePrefix  = "service/"
	QueuePrefix    = "queue/"
	entryPrefix    = "entry/"
	// RulesKey is the key of the only item of kind rules.
	RulesKey = "rules"
)

// CustomerKey returns the item key of a customer.
func CustomerKey(name string) string { return CustomerPrefix + name }

// ClassKey returns the item key of a work class.
func ClassKey(name string) string { return classPrefix + name }

// QueueKey returns the item key of the queue at a host and path prefix.
func QueueKey(host, pathPrefix string) string {
	return QueuePrefix + CanonicalHost(host) + CanonicalPath(pathPrefix)
}

// CanonicalPath returns the one form of a path prefix, without escapes. One whose escapes can't be
// read is returned as it is.
func CanonicalPath(prefix string) string {
	if path, err := url.PathUnescape(prefix); err == nil {
		return path
	}
	return prefix
}

// CanonicalHost returns the one form of a host's name: names of hosts have no case (RFC 4343),
// a final dot only marks the root of the name, and a port names no host. An instance is called at
// whatever port the load balancer has.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	if bare, ok := strings.CutPrefix(host, "["); ok {
		host = strings.TrimSuffix(bare, "]")
	}
	return strings.ToLower(strings.TrimSuffix(host, "."))
}

// validHost reports whether a call can carry the host in its Host header.
func validHost(host string) bool {
	unsent := func(r rune) bool { return r <= ' ' || r >= '\x7f' || strings.ContainsRune(`"#/<>?@\^`+"`{|}", r) }
	return !strings.ContainsFunc(host, unsent)
}

// ServiceKey returns the item key of a service.
func ServiceKey(name string) string { return ServicePrefix + name }

// EntryKey returns the item key of an inventory entry.
func EntryKey(name string) string { return entryPrefix + name }

// Sorted returns the items in the order of their keys.
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

// Change is the difference that an apply sends: only items that differ are sent.
type Change struct {
	Set    []*controlpb.Item
	Remove []string
}

// Empty reports whether the change sets and removes nothing.
func (c Change) Empty() bool { return len(c.Set) == 0 && len(c.Remove) == 0 }

// Diff returns the change that turns the items of from into those of to.
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
