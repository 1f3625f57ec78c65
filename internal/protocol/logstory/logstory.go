// Package logstory puts together what the logs of many processes say of one
// workflow, job, task or request: the lines with its id, in the order of time, and
// between them what happened meanwhile to the workers and leaders that it met. It is
// pure: texts in, lines out.
package logstory

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// maxLine bounds one line of a log.
	maxLine = 1 << 20
	// margin is for how long before the first line and after the last one the
	// surroundings are shown: what a decision rests on comes shortly before it.
	margin = 2 * time.Second
)

// Line is one line of a log.
type Line struct {
	// Process that wrote it, as far as its collector tells.
	Process string    `json:"process"`
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	// Fields without those above.
	Fields map[string]any `json:"fields"`
	// Around marks a line that does not name the id: it tells of a worker or leader.
	Around bool `json:"around,omitempty"`
}

// Read reads the log of a process. A line may begin with what a collector put before
// it; the last word there names the process. Lines that are no JSON objects with a
// message are counted and left out.
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

// Story gives the lines about an id, and those around them, in the order of time.
// Lines of the same time stay in the order in which they were read.
func Story(lines []Line, id string) []Line {
	var own []Line
	met := map[string]bool{}
	for _, line := range lines {
		if !line.names(id) {
			continue
		}
		own = append(own, line)
		if worker, ok := line.Fields["worker"].(string); ok && worker != "" {
			met[worker] = true
		}
	}
	if len(own) == 0 {
		return nil
	}
	byTime := func(a, b Line) int { return a.Time.Compare(b.Time) }
	slices.SortStableFunc(own, byTime)
	from, to := own[0].Time.Add(-margin), own[len(own)-1].Time.Add(margin)
	for _, line := range lines {
		if line.Time.Before(from) || line.Time.After(to) || line.names(id) || !line.surrounds(met) {
			continue
		}
		line.Around = true
		own = append(own, line)
	}
	slices.SortStableFunc(own, byTime)
	return own
}

// names tells a line with the id, or with one that begins with it.
func (l *Line) names(id string) bool {
	for _, value := range l.Fields {
		text, ok := value.(string)
		if ok && (text == id || strings.HasPrefix(text, id+".")) {
			return true
		}
	}
	return false
}

// ofWorkers are the messages about a worker as such.
var ofWorkers = []string{
	"worker does not answer", "worker answers again", "another boot answers in the worker's place",
	"worker taken over", "worker announced", "worker departed",
	"upstream heard here", "upstream silent here", "upstream heard elsewhere",
}

// ofLeaders are the messages about the control log and the process.
var ofLeaders = []string{
	"control log", "not ready", "process started", "stop", "stopping", "a voter was replaced",
	"the disk is full: this replica leaves the log until there is room",
	"no file descriptor is left: this replica leaves the log until there is room",
	"there is room again: this replica is back in the log", "a silent instance vouches no more",
	"suppressed", "log lines dropped",
}

func (l *Line) surrounds(met map[string]bool) bool {
	if slices.Contains(ofWorkers, l.Message) {
		worker, _ := l.Fields["worker"].(string)
		upstream, _ := l.Fields["upstream"].(string)
		return met[worker] || met[upstream]
	}
	if l.Message == "control log" {
		return l.Fields["role"] == "leader"
	}
	return slices.Contains(ofLeaders, l.Message)
}

// Text is the line's fields for people, in the order of their names.
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
