package logstory_test

import (
	"strings"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/logstory"
)

const front = `{"level":"info","msg":"workflow accepted","time":"2026-12-02T10:00:00.100Z","workflow":"aa"}
not a line of ours
{"level":"info","msg":"workflow accepted","time":"2026-12-02T10:00:00.200Z","workflow":"aab"}
`

const core = `{"level":"info","msg":"control log","role":"leader","term":4,"time":"2026-12-02T09:59:59.000Z"}
{"level":"info","msg":"control log","role":"follower","term":4,"time":"2026-12-02T09:59:59.500Z"}
{"level":"info","msg":"job placed","job":"aa.0.0","time":"2026-12-02T10:00:00.150Z","worker":"w1"}
{"level":"warning","msg":"worker does not answer","time":"2026-12-02T10:00:03.000Z","worker":"w1"}
{"level":"warning","msg":"worker does not answer","time":"2026-12-02T10:00:03.000Z","worker":"w2"}
{"level":"info","msg":"workflow ended","state":"FAILED","time":"2026-12-02T10:00:09.000Z","workflow":"aa"}
{"level":"info","msg":"control log","role":"leader","term":9,"time":"2026-12-02T11:00:00.000Z"}
`

// The logs of two processes hold two workflows, one of whose ids begins with the
// other's, and workers that only one of them met. The story has the lines of the one
// in order, and around them what happened to its workers and leaders in that time.
func TestStoryOfOneWorkflow(t *testing.T) {
	is := is.New(t)
	lines, skipped, err := logstory.Read("core-1", strings.NewReader(core))
	is.NoErr(err)
	is.Equal(skipped, 0)
	more, skipped, err := logstory.Read("front-1", strings.NewReader(front))
	is.NoErr(err)
	is.Equal(skipped, 1)
	var told []string
	for _, line := range logstory.Story(append(lines, more...), "aa") {
		mark := ""
		if line.Around {
			mark = "~"
		}
		told = append(told, mark+line.Process+" "+line.Message)
	}
	is.Equal(told, []string{
		"~core-1 control log", "front-1 workflow accepted", "core-1 job placed",
		"~core-1 worker does not answer", "core-1 workflow ended",
	})
}

// A collector writes the time and the process before each line of many processes.
func TestProcessNamedByTheCollector(t *testing.T) {
	is := is.New(t)
	lines, _, err := logstory.Read("all", strings.NewReader("  12.5 core-3 "+strings.SplitN(core, "\n", 2)[0]+"\n"))
	is.NoErr(err)
	is.Equal(lines[0].Process, "core-3")
	is.Equal(lines[0].Text(), "role=leader term=4")
}

func TestNoStoryOfAnUnknownID(t *testing.T) {
	is := is.New(t)
	lines, _, err := logstory.Read("x", strings.NewReader(core))
	is.NoErr(err)
	is.Equal(len(logstory.Story(lines, "bb")), 0)
}

func FuzzRead(f *testing.F) {
	f.Add(core)
	f.Add("{}\n{\"msg\":3}\n")
	f.Fuzz(func(t *testing.T, text string) {
		lines, _, err := logstory.Read("p", strings.NewReader(text))
		if err == nil {
			logstory.Story(lines, "aa")
		}
	})
}
