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

// clockFormat is the time format of the printed lines. It omits the date, which the
// reader knows.
const clockFormat = "15:04:05.000"

// traceCommand prints the log lines about one id from the collected logs of many
// processes. It calls no instance.
func (t *Tool) traceCommand() *ffcli.Command {
	flags := t.flags("trace")
	return t.command("trace", "ID LOGFILE...", flags, func(_ context.Context, args []string) error {
		if len(args) < 2 {
			return failure.New(failure.BadRequest, "give an id and one or more log files")
		}
		lines, err := readLogs(args[1:])
		if err != nil {
			return err
		}
		trace := logstory.Timeline(lines, args[0])
		if len(trace) == 0 {
			return failure.New(failure.NotFound, "none of %d log lines names %s", len(lines), args[0])
		}
		if t.format == formatJSON {
			return t.printJSON(trace)
		}
		return t.printTrace(trace)
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

// readLog reads one file; its name without the extension is the name of the process.
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

// printTrace marks the lines that do not name the id, but are context, with a "~".
func (t *Tool) printTrace(trace []logstory.Line) error {
	for _, line := range trace {
		mark := " "
		if line.Context {
			mark = "~"
		}
		_, err := fmt.Fprintf(t.out, "%s %s %-20s %s  %s\n", line.Time.Format(clockFormat), mark, line.Process, line.Message, line.Text())
		if err != nil {
			return wrapOutput(err)
		}
	}
	return nil
}
