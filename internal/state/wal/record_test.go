package wal

import (
	"bytes"
	"testing"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A segment may contain arbitrary bytes after a crash or a disk fault. Reading it must not
// panic, must not accept more bytes than there are, and must fail only with Corrupt.
func FuzzReadSegment(f *testing.F) {
	good, err := encodeRecord(segmentHeader(1), &consensuspb.LogRecord{
		Hard:    &consensuspb.HardState{Term: 3, Vote: "a.1"},
		Entries: []*consensuspb.Entry{{Index: 1, Term: 3, Data: []byte("x")}},
	})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(good, true)
	f.Add(good[:len(good)-3], true)
	f.Add(append(bytes.Clone(good), good[segmentHeaderBytes:]...), false)
	f.Fuzz(func(t *testing.T, content []byte, isLast bool) {
		read := 0
		length, err := readSegment("s", 1, content, isLast, func(record *consensuspb.LogRecord) error {
			read += headerBytes + proto.Size(record)
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
