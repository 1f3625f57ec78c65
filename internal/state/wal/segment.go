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
	// segmentHeaderBytes is the length of the header: magic, version, number, checksum.
	segmentHeaderBytes = 20
	segmentVersion     = 1
)

var segmentMagic = []byte("pwlg")

// segment is one file of the log.
type segment struct {
	number uint64
	path   string
	// last is the highest index of any entry in the segment, or 0 if it has none.
	last uint64
}

func segmentName(number uint64) string { return fmt.Sprintf("%016x%s", number, segmentSuffix) }

// listSegments returns the numbers of the segments in a directory in ascending order. It
// fails with Corrupt if one in the middle is missing.
func listSegments(files disk.FS, dir string) ([]uint64, error) {
	names, err := files.Names(dir)
	if err != nil {
		return nil, disk.WrapError(err, "list %s", dir)
	}
	var numbers []uint64
	for _, name := range names {
		number, ok := parseSegmentName(name)
		if !ok {
			continue
		}
		if n := len(numbers); n > 0 && number != numbers[n-1]+1 {
			missing := segmentName(numbers[n-1] + 1)
			return nil, failure.New(failure.Corrupt, "%s is missing", filepath.Join(dir, missing))
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

func segmentHeader(number uint64) []byte {
	header := make([]byte, 0, segmentHeaderBytes)
	header = append(header, segmentMagic...)
	header = binary.LittleEndian.AppendUint32(header, segmentVersion)
	header = binary.LittleEndian.AppendUint64(header, number)
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// readSegment decodes the content of a segment, calls apply for each record, and returns
// the length of the valid part in bytes. Only the last segment may end in a torn record.
func readSegment(path string, number uint64, content []byte, isLast bool, apply func(*consensuspb.LogRecord) error) (int64, error) {
	// A segment gets its name only after its header was synced, so an invalid header is
	// corruption and never a torn write.
	if len(content) < segmentHeaderBytes || string(content[:segmentHeaderBytes]) != string(segmentHeader(number)) {
		return 0, corrupt(path, 0, "the segment header is corrupted")
	}
	offset := segmentHeaderBytes
	for offset < len(content) {
		record, length, ok := decodeRecord(content[offset:])
		if !ok {
			return int64(offset), checkTornTail(path, offset, content, isLast)
		}
		if err := apply(record); err != nil {
			return 0, failure.Wrap(failure.Corrupt, err, "%s at offset %d", path, offset)
		}
		offset += length
	}
	return int64(offset), nil
}

// checkTornTail distinguishes a torn tail, which is truncated, from corruption, which is an
// error. Each record is one write followed by one sync, and the next record is written only
// after the sync. A valid record after the invalid one therefore proves that the invalid one
// had been synced and perhaps acknowledged.
func checkTornTail(path string, offset int, content []byte, isLast bool) error {
	if !isLast {
		return corrupt(path, offset, "a record is corrupted and later segments exist")
	}
	if containsRecord(content[offset+1:]) {
		return corrupt(path, offset, "a record is corrupted and later records are valid")
	}
	return nil
}

func corrupt(path string, offset int, reason string) error {
	return failure.New(failure.Corrupt, "%s at offset %d: %s", path, offset, reason)
}
