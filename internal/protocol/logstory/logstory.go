// Package logstory merges the logs of many processes into a timeline of one workflow,
// job, task or request: the lines with its id, ordered by time, and between them the
// concurrent events of the workers involved, of the control log and of the processes.
// It performs no I/O beyond reading the given logs.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// maxLine is the maximum length of a log line in bytes.
	maxLine = 1 << 20
	// contextWindow is how long before the first and after the last line with the id
	// context lines are included: the cause of a decision is logged shortly before it.
	contextWindow = 2 * time.Second
)

// Line is one parsed log line.
type Line struct {
	// Process is the process that wrote the line, as named by the log collector or, if
	// it names none, by the caller of Read.
	Process string    `json:"process"`
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Fields holds the other fields of the line.
	Fields map[string]any `json:"fields"`
	// Context marks a context line: one that does not contain the id but is about a
	// worker, a leader or a process.
	Context bool `json:"around,omitempty"`
}

// Read reads a log of JSON lines. A line may have a prefix added by a log collector;
// the last word of the prefix is then the name of the process instead of process.
// Lines that are not JSON objects with a message and a time are skipped and counted.
func Read(process string, log io.Reader) (lines []Line, skipped int, err error) {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := bytes.TrimSpace(scanner.Bytes())
		if len(text) == 0 {
			continue
		}
		line, ok := parse(process, text)
		if !ok {
			skipped++
			continue
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, skipped, failure.Wrap(failure.BadRequest, err, "read the log of %s", process)
	}
	return lines, skipped, nil
}

func parse(process string, text []byte) (Line, bool) {
	brace := bytes.IndexByte(text, '{')
	if brace < 0 {
		return Line{}, false
	}
	if words := bytes.Fields(text[:brace]); len(words) > 0 {
		process = string(words[len(words)-1])
	}
	line := Line{Process: process}
	if json.Unmarshal(text[brace:], &line.Fields) != nil {
		return Line{}, false
	}
	message, isText := line.Fields["msg"].(string)
	written, _ := line.Fields["time"].(string)
	at, err := time.Parse(time.RFC3339Nano, written)
	if !isText || err != nil {
		return Line{}, false
	}
	line.Message, line.Time = message, at
	delete(line.Fields, "msg")
	delete(line.Fields, "time")
	return line, true
}

// Timeline returns the lines that mention an id and their context lines, ordered by time.
// Of lines with the same time, those that mention the id come first, each group in the
// order of lines. It returns nil if no line mentions the id. An id that begins with a slash is
// the path of a queue: of the calls there, also the changes of the declarations are shown, and
// by which version each process answered.
func Timeline(lines []Line, id string) []Line {
	var timeline []Line
	workers := map[string]bool{}
	for _, line := range lines {
		if !line.mentions(id) {
			continue
		}
		timeline = append(timeline, line)
		if worker, ok := line.Fields["worker"].(string); ok && worker != "" {
			workers[worker] = true
		}
	}
	if len(timeline) == 0 {
		return nil
	}
	earlier := map[lineKey]bool{}
	if isPath(id) {
		for _, line := range versionsBefore(lines, timeline) {
			earlier[line.key()] = true
			timeline = append(timeline, line)
		}
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(timeline, byTime)
	first := slices.IndexFunc(timeline, func(l Line) bool { return !l.Context })
	from, to := timeline[first].Time.Add(-contextWindow), timeline[len(timeline)-1].Time.Add(contextWindow)
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || line.mentions(id) || !line.isContextFor(workers, isPath(id)) || earlier[line.key()] {
			continue
		}
		line.Context = true
		timeline = append(timeline, line)
	}
	slices.SortStableFunc(timeline, byTime)
	return timeline
}

// versionsBefore returns for each process of the lines in timeline its newest line before them that says
// which version is in force, however old it is.
func versionsBefore(lines, timeline []Line) []Line {
	first := map[string]time.Time{}
	for _, line := range timeline {
		if at, ok := first[line.Process]; !ok || line.Time.Before(at) {
			first[line.Process] = line.Time
		}
	}
	newest := map[string]Line{}
	for _, line := range lines {
		called, ok := first[line.Process]
		if !ok || line.Message != inForceMessage || line.Time.After(called) || line.Time.Before(newest[line.Process].Time) {
			continue
		}
		line.Context = true
		newest[line.Process] = line
	}
	return slices.Collect(maps.Values(newest))
}

// lineKey tells lines of a process that are written at different times apart.
type lineKey struct {
	process, message string
	at               time.Time
}

func (l *Line) key() lineKey { return lineKey{l.Process, l.Message, l.Time} }

// isPath reports whether an id is the path of a queue.
func isPath(id string) bool { return strings.HasPrefix(id, "/") }

// mentions reports whether a field of the line, or an element of a list in it, is the id
// or a descendant of it, such as job "aa.0.0" of workflow "aa" or a path below another.
func (l *Line) mentions(id string) bool {
	for _, value := range l.Fields {
		if names(value, id) {
			return true
		}
		if list, ok := value.([]any); ok && slices.ContainsFunc(list, func(element any) bool { return names(element, id) }) {
			return true
		}
	}
	return false
}

func names(value any, id string) bool {
	text, ok := value.(string)
	return ok && (text == id || strings.HasPrefix(text, id+".") || isPath(id) && strings.HasPrefix(text, id))
}

// workerMessages are the log messages about the state of a worker.
var workerMessages = []string{
	"worker does not answer", "worker answers again", "another boot answers in the worker's place",
	"worker taken over", "worker announced", "worker departed", "worker reports its start", "worker has started again",
	"upstream heard here", "upstream silent here", "upstream heard elsewhere",
}

// controlMessages are the log messages about the control log and the process.
var controlMessages = []string{
	"control log", "not ready", "process started", "stop", "stopping", "a voter was replaced",
	"the disk is full: this replica leaves the log until there is room",
	"no file descriptor is left: this replica leaves the log until there is room",
	"there is room again: this replica is back in the log", "a silent instance vouches no more",
	"suppressed", "log lines dropped",
}

// inForceMessage is the log message of a process in which another version of the declarations is
// in force.
const inForceMessage = "declarations in force"

// declarationMessages are the log messages about changes of the declarations.
var declarationMessages = []string{inForceMessage, "declarations acknowledged", "declarations refused", "declarations not committed"}

// isContextFor reports whether a line is about one of the workers met, about the control log or, if asked
// for, about the declarations.
func (l *Line) isContextFor(met map[string]bool, declarations bool) bool {
	if declarations && slices.Contains(declarationMessages, l.Message) {
		return true
	}
	if slices.Contains(workerMessages, l.Message) {
		worker, _ := l.Fields["worker"].(string)
		upstream, _ := l.Fields["upstream"].(string)
		return met[worker] || met[upstream]
	}
	if l.Message == "control log" {
		return l.Fields["role"] == "leader"
	}
	return slices.Contains(controlMessages, l.Message)
}

// Text formats the fields of the line other than level as "name=value", sorted by name.
func (l *Line) Text() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		if name != "level" {
			names = append(names, name)
		}
	}
	slices.Sort(names)
	parts := make([]string, len(names))
	for i, name := range names {
		parts[i] = fmt.Sprintf("%s=%v", name, l.Fields[name])
	}
	return strings.Join(parts, " ")
}
