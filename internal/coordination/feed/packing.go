package feed

import (
	"bytes"
	"compress/flate"
	"io"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// form is how a follower reads large entries.
type form int

const (
	plain form = iota
	packed
)

// packAbove is the size in bytes from which an entry is compressed: a document of
// 1,000 queues has 500 KB, which takes 2 s on a link of 2 Mbit/s, and the change
// must be in force in that time. Smaller entries are not worth the processor time.
const packAbove = 4 << 10

// pack gives an entry with its command compressed; nil where it is small.
func pack(entry *peerpb.LogEntry, size int) *peerpb.LogEntry {
	if size < packAbove {
		return nil
	}
	command, err := proto.Marshal(entry.Command)
	if err != nil {
		// The entry goes as it is; whoever encodes it then sees the failure.
		return nil
	}
	return &peerpb.LogEntry{Index: entry.Index, Term: entry.Term, PackedCommand: compress(command)}
}

// Unpack gives an entry in its plain form.
func Unpack(entry *peerpb.LogEntry) (*peerpb.LogEntry, error) {
	if len(entry.PackedCommand) == 0 {
		return entry, nil
	}
	command, err := decompress(entry.PackedCommand)
	if err != nil {
		return nil, err
	}
	whole := &peerpb.LogEntry{Index: entry.Index, Term: entry.Term, Command: &controlpb.Command{}}
	if err := proto.Unmarshal(command, whole.Command); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "entry %d does not decode", entry.Index)
	}
	return whole, nil
}

// compress makes a snapshot or a large entry fit a thin link: workflows, jobs and
// queues are much alike, and take a fraction of their bytes. The fastest level,
// since control instances have little of a core.
func compress(data []byte) []byte {
	var compressed bytes.Buffer
	// Neither a level that exists nor a buffer in memory can fail.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

// decompress gives the bytes back, at most MaxSnapshotBytes.
func decompress(data []byte) ([]byte, error) {
	whole, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxSnapshotBytes+1))
	if err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "does not decompress")
	}
	if len(whole) > MaxSnapshotBytes {
		return nil, failure.New(failure.TooLarge, "over %d bytes when decompressed", MaxSnapshotBytes)
	}
	return whole, nil
}
