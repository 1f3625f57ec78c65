package wal

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"path/filepath"
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/state/disk"
)

const (
	segmentSuffix = ".wal"
	// segmentHeadBytes is the length of the head: mark, version, number, sum.
	segmentHeadBytes = 20
	segmentVersion   = 1
)

var segmentMark = []byte("pwlg")

// segment is one file of the log.
type segment struct {
	number uint64
	path   string
	// last is the highest index of any entry in it; 0 for none.
	last uint64
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// listSegments gives the numbers of the segments in a folder; a missing one in
// the middle is refused.
func listSegments(files disk.FS, folder string) ([]uint64, error) {
	names, err := files.Names(folder)
	if err != nil {
		return nil, disk.Fault(err, "list %s", folder)
	}
	var numbers []uint64
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		if n := len(numbers); n > 0 && number != numbers[n-1]+1 {
			missing := segmentName(numbers[n-1] + 1)
			return nil, failure.New(failure.Corrupt, "%s is missing", filepath.Join(folder, missing))
		}
		numbers = append(numbers, number)
	}
	return numbers, nil
}

func parseSegmentName(name string) (uint64, bool) {
	digits, ok := strings.CutSuffix(name, segmentSuffix)
	if !ok {
		return 0, false
	}
	raw, err := hex.DecodeString(digits)
	if err != nil || len(raw) != 8 {
		return 0, false
	}
	return binary.BigEndian.Uint64(raw), true
}

func segmentHead(number uint64) []byte {
	head := make([]byte, 0, segmentHeadBytes)
	head = append(head, segmentMark...)
	head = binary.LittleEndian.AppendUint32(head, segmentVersion)
	head = binary.LittleEndian.AppendUint64(head, number)
	return binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
}

// readSegment decodes one segment's content and gives the length of its good
// part. Only the last segment may end in a torn record.
func readSegment(path string, number uint64, content []byte, isLast bool, take func(*consensuspb.LogRecord) error) (int64, error) {
	// A segment gets its name only after its head was synced, so a head that
	// does not read is damage and never a torn write.
	if len(content) < segmentHeadBytes || string(content[:segmentHeadBytes]) != string(segmentHead(number)) {
		return 0, corrupt(path, 0, "the head of the segment is damaged")
	}
	offset := segmentHeadBytes
	for offset < len(content) {
		record, length, ok := decodeRecord(content[offset:])
		if !ok {
			return int64(offset), checkTorn(path, offset, content, isLast)
		}
		if err := take(record); err != nil {
			return 0, failure.Wrap(failure.Corrupt, err, "%s at offset %d", path, offset)
		}
		offset += length
	}
	return int64(offset), nil
}

// checkTorn tells a torn tail, which is cut, from damage, which is refused.
// One record is one write and one sync, and the next is written only after the
// sync: a whole record behind the bad one proves that the bad one had been
// synced, and perhaps answered.
func checkTorn(path string, offset int, content []byte, isLast bool) error {
	if !isLast {
		return corrupt(path, offset, "a record is damaged and later segments exist")
	}
	if holdsRecord(content[offset+1:]) {
		return corrupt(path, offset, "a record is damaged and later ones are whole")
	}
	return nil
}

func corrupt(path string, offset int, reason string) error {
	return failure.New(failure.Corrupt, "%s at offset %d: %s", path, offset, reason)
}
