package inifile

import (
	"bufio"
	"bytes"
	"strings"
)

// lineIndex holds the line numbers of sections and keys, which the INI library does not
// provide. In an inventory of 400 entries, an operator needs the line of an error.
type lineIndex struct {
	sections map[string][]sectionLines
}

type sectionLines struct {
	line int
	keys map[string]int
}

func newLineIndex(text []byte) *lineIndex {
	index := &lineIndex{sections: map[string][]sectionLines{}}
	scanner := bufio.NewScanner(bytes.NewReader(text))
	scanner.Buffer(nil, MaxBytes+1)
	var current map[string]int
	for number := 1; scanner.Scan(); number++ {
		line := strings.TrimSpace(scanner.Text())
		if strings.HasPrefix(line, "[") && strings.HasSuffix(line, "]") {
			current = map[string]int{}
			header := strings.TrimSpace(line[1 : len(line)-1])
			index.sections[header] = append(index.sections[header], sectionLines{line: number, keys: current})
			continue
		}
		key, _, ok := strings.Cut(line, "=")
		if ok && current != nil {
			current[strings.Trim(key, " \t\"`")] = number
		}
	}
	return index
}

// next returns the lines of the next section with the header, in file order; line is 0
// if there is none.
func (l *lineIndex) next(header string) (line int, keys map[string]int) {
	found := l.sections[header]
	if len(found) == 0 {
		return 0, nil
	}
	l.sections[header] = found[1:]
	return found[0].line, found[0].keys
}
