package wal

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Any bytes may stand in a segment after a crash or a bad disk: reading them
// never panics, never gives a record that would encode to other bytes than it
// was read from, and every refusal is typed.
func FuzzReadSegment(f *testing.F) {
	good, err := encodeRecord(segmentHead(1), &consensuspb.LogRecord{
		Hard:    &consensuspb.HardState{Term: 3, Vote: "a.1"},
		Entries: []*consensuspb.Entry{{Index: 1, Term: 3, Data: []byte("x")}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, true)
	f.Add(good[:len(good)-3], true)
	f.Add(append(bytes.Clone(good), good[segmentHeadBytes:]...), false)
	f.Fuzz(func(t *testing.T, content []byte, isLast bool) {
		read := 0
		length, err := readSegment("s", 1, content, isLast, func(record *consensuspb.LogRecord) error {
			read += headBytes + proto.Size(record)
			return nil
		})
		if err != nil {
			if !failure.Is(err, failure.Corrupt) {
				t.Fatalf("untyped refusal: %v", err)
			}
			return
		}
		if length > int64(len(content)) || (!isLast && length != int64(len(content))) {
			t.Fatalf("%d of %d bytes accepted", length, len(content))
		}
	})
}
