package declaration

import (
	"errors"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/inifile"
)

const validDeclarations = `[customer crews]
guarantee = 2x8 rack, 1x4 worker
max_accelerators = 64
[class survey]
tasks = 4
accelerators = 8
adjacency = rack
run_time = 40m
deadline = 6h
[service report]
timeout = 5s
[entry span-1]
customer = crews
class = survey
change = 2026-12-01
`

// Each case changes one part of valid declarations. They are rejected as a whole, with
// file, line, section, key and reason of every problem.
func TestParseProblems(t *testing.T) {
	tests := map[string]struct{ old, new, want string }{
		"unknown kind":          {"[service report]", "[srvice report]", `f:10: [srvice report]: unknown kind "srvice": customer, class, service, entry or rules`},
		"no name":               {"[service report]", "[service]", `f:10: [service]: a section is headed by a kind and a name`},
		"bad name":              {"[service report]", "[service a/b]", `f:10: [service a/b]: a name is letters, digits, '.', '_' and '-', at most 63 of them`},
		"unknown key":           {"timeout = 5s", "timout = 5s", `f:11: [service report] timout: unknown key`},
		"key twice":             {"timeout = 5s", "timeout = 5s\ntimeout = 6s", `f:12: [service report] timeout: set more than once`},
		"declared twice":        {"[service report]", "[customer crews]\n[service report]", `f:10: [customer crews]: already declared at f:1`},
		"not a shape":           {"1x4 worker", "1-4 worker", `f:2: [customer crews] guarantee: " 1-4 worker" is not a shape such as "2x8 rack"`},
		"adjacency":             {"1x4 worker", "1x4 rak", `f:2: [customer crews] guarantee: " 1x4 rak" is not a shape such as "2x8 rack"`},
		"limit under guarantee": {"max_accelerators = 64", "max_accelerators = 10", `f:3: [customer crews] max_accelerators: 10 is below the 20 guaranteed` + "\n" + `f:14: [entry span-1] class: needs 32 accelerators at once; customer crews may use 10`},
		"deadline unreachable":  {"deadline = 6h", "deadline = 30m", `f:9: [class survey] deadline: 30m0s is shorter than the run time of 40m0s`},
		"not a number":          {"tasks = 4", "tasks = four", `f:5: [class survey] tasks: "four" is not a whole number from 1 to 1024`},
		"too many tasks":        {"tasks = 4", "tasks = 5000", `f:5: [class survey] tasks: "5000" is not a whole number from 1 to 1024`},
		"no such customer":      {"customer = crews", "customer = crew", `f:13: [entry span-1] customer: no such declaration: customer/crew`},
		"no such class":         {"class = survey", "class = surveys", `f:14: [entry span-1] class: no such declaration: class/surveys`},
		"class missing":         {"class = survey\n", "", `f:12: [entry span-1] class: missing` + "\n" + `f:12: [entry span-1] class: no such declaration: class/`},
		"bad change":            {"2026-12-01", "a/b", `f:15: [entry span-1] change: not at most 128 letters, digits and '.', '_', ':', '+', '-'`},
		"timeout too long":      {"timeout = 5s", "timeout = 5h", `f:11: [service report] timeout: not above 0 and at most 10m0s`},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			_, err := Parse("f", []byte(validDeclarations))
			is.NoErr(err)
			is.True(strings.Contains(validDeclarations, test.old))
			_, err = Parse("f", []byte(strings.Replace(validDeclarations, test.old, test.new, 1)))
			is.True(failure.Is(err, failure.BadDeclaration))
			var problems Problems
			is.True(errors.As(err, &problems))
			is.Equal(problems.Error(), test.want)
		})
	}
}

// Loading a folder without declarations, for example by a wrong path, is an error: its
// empty set must not be applied as the removal of everything.
func TestLoadRefusesEmptyFolder(t *testing.T) {
	is := is.New(t)
	_, err := Load(t.TempDir())
	is.True(failure.Is(err, failure.BadDeclaration))
}

// Changes that do not come from the command-line tool, which checks before it sends,
// are rejected by the same rules.
func TestCheckChange(t *testing.T) {
	items, err := Parse("f", []byte(validDeclarations))
	is.New(t).NoErr(err)
	crews := &controlpb.Item{Key: "customer/crews", Body: &controlpb.Item_Customer{Customer: &controlpb.Customer{Name: "crews"}}}
	tests := map[string]struct {
		set    []*controlpb.Item
		remove []string
		want   []Violation
	}{
		"fine":             {set: []*controlpb.Item{crews}},
		"set twice":        {set: []*controlpb.Item{crews, crews}, want: []Violation{{Item: "customer/crews", Reason: "set twice"}}},
		"set and removed":  {set: []*controlpb.Item{crews}, remove: []string{"customer/crews"}, want: []Violation{{Item: "customer/crews", Reason: "set and removed, or removed twice"}, {Item: "entry/span-1", Field: "customer", Reason: "no such declaration: customer/crews"}}},
		"reference breaks": {remove: []string{"class/survey"}, want: []Violation{{Item: "entry/span-1", Field: "class", Reason: "no such declaration: class/survey"}}},
		"no body":          {set: []*controlpb.Item{{Key: "x"}}, want: []Violation{{Item: "x", Reason: "has no body that this version knows"}}},
		"key and name":     {set: []*controlpb.Item{{Key: "customer/x", Body: crews.Body}}, want: []Violation{{Item: "customer/x", Reason: `the name "crews" is not valid for the key`}}},
		"wrong rules key":  {set: []*controlpb.Item{{Key: "x", Body: &controlpb.Item_Rules{Rules: &controlpb.Rules{FragmentationWeight: 101}}}}, want: []Violation{{Item: "x", Reason: `rules must have the key "rules"`}, {Item: "x", Field: "fragmentation_weight", Reason: "over 100"}}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(CheckChange(items, test.set, test.remove), test.want)
		})
	}
}

// The examples must parse, as users copy them, and have at least the number of entries
// that the brief asks for.
func TestExamples(t *testing.T) {
	for name, minEntries := range map[string]int{"coedlinell": 200, "tokachi": 200, "coedlinell-small": 3} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			items, err := Load(filepath.Join("../../../examples", name))
			is.NoErr(err)
			entries := 0
			for _, item := range items {
				if item.GetEntry() != nil {
					entries++
				}
			}
			is.True(entries >= minEntries)
		})
	}
}

// For any input, Parse returns either an error or items that pass the server's check.
func FuzzParse(f *testing.F) {
	f.Add([]byte(validDeclarations))
	if text, err := os.ReadFile("../../../examples/coedlinell-small/coedlinell.ini"); err == nil {
		f.Add(text)
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		items, err := Parse("f", text)
		if err != nil {
			return
		}
		if violations := Check(items); len(violations) > 0 {
			t.Fatal(violations)
		}
	})
}

// docs/DECLARATIONS.md must have a row for every key of every kind of section, and no
// others.
func TestKeysAreDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../../docs/DECLARATIONS.md")
	is.NoErr(err)
	keys := 0
	for kind, name := range map[string]string{"customer": "x", "class": "x", "service": "x", "entry": "x", "rules": ""} {
		s := newSectionReader("f", inifile.Section{Header: kind})
		s.item(kind, name)
		for key := range s.used {
			keys++
			if !strings.Contains(string(page), "\n| `"+kind+"."+key+"` |") {
				t.Errorf("docs/DECLARATIONS.md has no row for %s.%s", kind, key)
			}
		}
	}
	rows := regexp.MustCompile("\n\\| `[a-z]+\\.[a-z_]+` \\|").FindAllString(string(page), -1)
	is.Equal(len(rows), keys)
}
