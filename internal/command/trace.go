package command

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/peterbourgon/ff/v3/ffcli"

	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/logstory"
)

// clockFormat of a line in a story: the day is the reader's to know.
const clockFormat = "15:04:05.000"

// traceCommand tells the story of one id from the collected logs of many processes.
// It speaks to no instance.
func (t *Tool) traceCommand() *ffcli.Command {
	flags := t.flags("trace")
	return t.command("trace", "ID LOGFILE...", flags, func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return failure.New(failure.BadRequest, "give an id and the files of logs")
		}
		lines, err := readLogs(args[1:])
		if err != nil {
			return err
		}
		story := logstory.Story(lines, args[0])
		if len(story) == 0 {
			return failure.New(failure.NotFound, "no line of %d names %s", len(lines), args[0])
		}
		if t.format == formatJSON {
			return t.printJSON(story)
		}
		return t.printStory(story)
	})
}

func readLogs(paths []string) ([]logstory.Line, error) {
	var all []logstory.Line
	for _, path := range paths {
		lines, err := readLog(path)
		if err != nil {
			return nil, err
		}
		all = append(all, lines...)
	}
	return all, nil
}

// readLog reads one file; its name without the ending names the process.
func readLog(path string) ([]logstory.Line, error) {
	file, err := os.Open(path)
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "open %s", path)
	}
	defer file.Close()
	name := filepath.Base(path)
	lines, _, err := logstory.Read(strings.TrimSuffix(name, filepath.Ext(name)), file)
	return lines, err
}

// printStory marks what only surrounds the id with a "~".
func (t *Tool) printStory(story []logstory.Line) error {
	for _, line := range story {
		mark := " "
		if line.Around {
			mark = "~"
		}
		_, err := fmt.Fprintf(t.out, "%s %s %-20s %s  %s\n", line.Time.Format(clockFormat), mark, line.Process, line.Message, line.Text())
		if err != nil {
			return wrapOutput(err)
		}
	}
	return nil
}
