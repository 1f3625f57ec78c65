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

// encoding is the encoding in which a follower accepts large entries.
type encoding int

const (
	plain encoding = iota
	packed
)

// minPackedBytes is the entry size from which commands are compressed. A document of
// 1,000 queues has 500 KB, which takes 2 s on a link of 2 Mbit/s, and a change must be in
// force within that time. Compressing smaller entries does not justify the CPU time.
const minPackedBytes = 4 << 10

// pack returns the entry with its command compressed, or nil if the entry is small.
func pack(entry *peerpb.LogEntry, size int) *peerpb.LogEntry {
	if size < minPackedBytes {
		return nil
	}
	command, err := proto.Marshal(entry.Command)
	if err != nil {
		// The entry is sent unpacked; encoding it then reports the failure.
		return nil
	}
	return &peerpb.LogEntry{Index: entry.Index, Term: entry.Term, PackedCommand: compress(command)}
}

// Unpack returns an entry with its command uncompressed. It fails with wrong_answer
// if the compressed command is malformed and with too_large if it exceeds
// MaxSnapshotBytes.
func Unpack(entry *peerpb.LogEntry) (*peerpb.LogEntry, error) {
	if len(entry.PackedCommand) == 0 {
		return entry, nil
	}
	command, err := decompress(entry.PackedCommand)
	if err != nil {
		return nil, err
	}
	unpacked := &peerpb.LogEntry{Index: entry.Index, Term: entry.Term, Command: &controlpb.Command{}}
	if err := proto.Unmarshal(command, unpacked.Command); err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "entry %d does not decode", entry.Index)
	}
	return unpacked, nil
}

// compress reduces snapshots and large entries for slow links: workflows, jobs and
// queues are highly repetitive and compress well. It uses the fastest level because
// control instances have only a fraction of a CPU core.
func compress(data []byte) []byte {
	var compressed bytes.Buffer
	// These calls cannot fail with a valid level and a buffer in memory.
	writer, _ := flate.NewWriter(&compressed, flate.BestSpeed)
	_, _ = writer.Write(data)
	_ = writer.Close()
	return compressed.Bytes()
}

// decompress reverses compress. The result is limited to MaxSnapshotBytes.
func decompress(data []byte) ([]byte, error) {
	decompressed, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxSnapshotBytes+1))
	if err != nil {
		return nil, failure.Wrap(failure.WrongAnswer, err, "compressed data is malformed")
	}
	if len(decompressed) > MaxSnapshotBytes {
		return nil, failure.New(failure.TooLarge, "decompressed size exceeds %d bytes", MaxSnapshotBytes)
	}
	return decompressed, nil
}
