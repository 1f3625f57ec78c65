// Package inifile reads INI text strictly, for settings and declarations: what
// the INI library would merge, inherit or expand without a word is a problem
// here, because an operator would run with values that nobody wrote.
package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes bounds one file; the example inventories are under 100 KB.
const MaxBytes = 8 << 20

// Problem is one thing wrong with a file.
type Problem struct {
	File string
	// Line counts from 1; 0 where the problem has no line of its own.
	Line    int
	Section string
	Key     string
	Reason  string
}

// String gives file, line, section, key and reason in that order.
func (p Problem) String() string {
	text := p.File
	if p.Line > 0 {
		text = fmt.Sprintf("%s:%d", text, p.Line)
	}
	if p.Section != "" {
		text += ": [" + p.Section + "]"
		if p.Key != "" {
			text += " " + p.Key
		}
	}
	return text + ": " + p.Reason
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

// Key is one key of a section with its value as written.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section as it stands in the file; headers may come twice.
type Section struct {
	Header string
	Line   int
	Keys   []Key
}

// noDelimiter can't stand in a section name, so that "[a.b]" inherits nothing
// from "[a]".
const noDelimiter = "\x00"

// Parse reads one text; name stands for it in problems. Sections are in the
// order of the text, and whatever parsed is given along with the problems.
func Parse(name string, text []byte) ([]Section, Problems) {
	if len(text) > MaxBytes {
		return nil, Problems{{File: name, Reason: fmt.Sprintf("%d bytes; at most %d are read", len(text), MaxBytes)}}
	}
	file, err := ini.LoadSources(ini.LoadOptions{
		AllowNonUniqueSections:     true,
		AllowShadows:               true,
		AllowDuplicateShadowValues: true,
		PreserveEmptyShadowValues:  true,
		IgnoreContinuation:         true,
		SpaceBeforeInlineComment:   true,
		KeyValueDelimiters:         "=",
		ChildSectionDelimiter:      noDelimiter,
	}, text)
	if err != nil {
		return nil, Problems{{File: name, Line: lineOf(text, err), Reason: err.Error()}}
	}
	p := &parser{name: name, lines: newLineIndex(text)}
	for _, section := range file.Sections() {
		p.section(section)
	}
	return p.sections, p.problems
}

type parser struct {
	name     string
	lines    *lineIndex
	sections []Section
	problems Problems
}

func (p *parser) section(section *ini.Section) {
	header := section.Name()
	if header == ini.DefaultSection {
		if len(section.Keys()) > 0 {
			p.problems = append(p.problems, Problem{File: p.name, Line: 1, Reason: "a key outside a section"})
		}
		return
	}
	line, keyLines := p.lines.next(header)
	read := Section{Header: header, Line: line}
	for _, key := range section.Keys() {
		at := line
		if own, ok := keyLines[key.Name()]; ok {
			at = own
		}
		if len(key.ValueWithShadows()) > 1 {
			p.problems = append(p.problems, Problem{File: p.name, Line: at, Section: header, Key: key.Name(), Reason: "set more than once"})
		}
		read.Keys = append(read.Keys, Key{Name: key.Name(), Value: key.Value(), Line: at})
	}
	p.sections = append(p.sections, read)
}

// lineOf finds the line that the INI library complains of; 0 where it names none.
func lineOf(text []byte, err error) int {
	var missing ini.ErrDelimiterNotFound
	if !errors.As(err, &missing) {
		return 0
	}
	for i, line := range bytes.Split(text, []byte("\n")) {
		if strings.TrimSpace(string(line)) == strings.TrimSpace(missing.Line) {
			return i + 1
		}
	}
	return 0
}
