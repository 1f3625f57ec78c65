// Package inifile parses INI text strictly, for settings and declarations. Values that
// the INI library would silently merge, inherit or expand are kept as written or
// reported as problems, because an operator would otherwise run with values that are
// not in the file.
package inifile

import (
	"bytes"
	"errors"
	"fmt"
	"strings"

	"gopkg.in/ini.v1"
)

// MaxBytes is the maximum size of a file. The example inventories are under 100 KB.
const MaxBytes = 8 << 20

// Problem is one error in a file.
type Problem struct {
	File string
	// Line counts from 1; 0 if the problem does not belong to a line.
	Line    int
	Section string
	Key     string
	Reason  string
}

// String formats the problem as "file:line: [section] key: reason".
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

// Problems is the list of all problems of one or more files.
type Problems []Problem

// Error returns the problems, one per line.
func (ps Problems) Error() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

// Key is one key of a section and its value as written.
type Key struct {
	Name  string
	Value string
	Line  int
}

// Section is one section of a file. Several sections may have the same header.
type Section struct {
	Header string
	Line   int
	Keys   []Key
}

// noDelimiter cannot occur in a section name. As the delimiter of child sections it
// prevents "[a.b]" from inheriting the values of "[a]".
const noDelimiter = "\x00"

// Parse parses the text of one file; name is the file name shown in problems. Sections
// are returned in the order of the text. Sections that could be parsed are returned
// even if there are problems.
func Parse(name string, text []byte) ([]Section, Problems) {
	if len(text) > MaxBytes {
		return nil, Problems{{File: name, Reason: fmt.Sprintf("file has %d bytes; the limit is %d", len(text), MaxBytes)}}
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
		return nil, Problems{{File: name, Line: errorLine(text, err), Reason: err.Error()}}
	}
	p := &parser{name: name, lines: newLineIndex(text)}
	for _, section := range file.Sections() {
		p.addSection(section)
	}
	return p.sections, p.problems
}

type parser struct {
	name     string
	lines    *lineIndex
	sections []Section
	problems Problems
}

func (p *parser) addSection(section *ini.Section) {
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

// errorLine returns the number of the line that caused a parse error; 0 if the INI
// library does not report the line.
func errorLine(text []byte, err error) int {
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
