package control

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

// An instance applies a version without a line about it, and nobody can tell later when the
// version came into force there.
func TestPublishLogsEachVersionOnce(t *testing.T) {
	is := is.New(t)
	var output bytes.Buffer
	logger := logrus.New()
	logger.SetOutput(&output)
	published := NewPublishedState().WithLogger(logger)
	state := store.New()
	for index, version := range []uint64{0, 5, 5, 4, 7} {
		command := &controlpb.Command{}
		if version > 0 {
			command.Op = &controlpb.Command_Replace{Replace: &controlpb.ReplaceDeclarations{Document: &controlpb.Document{Version: version}}}
		}
		state, _ = state.Apply(uint64(index+1), command)
		published.Publish(state)
	}
	lines := strings.Split(strings.TrimSpace(output.String()), "\n")
	is.Equal(len(lines), 2)
	for i, fields := range []string{"before=0 customers=0 digest=e3b0c44298fc index=2 queues=0 revision=1 version=5", "before=5 customers=0 digest=e3b0c44298fc index=5 queues=0 revision=2 version=7"} {
		is.True(strings.Contains(lines[i], "declarations in force"))
		is.True(strings.Contains(lines[i], fields))
	}
}
