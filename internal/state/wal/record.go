package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A record on the disk, little endian:
//
//	mark       4 bytes  the same in every record
//	size       4 bytes  of the body
//	body sum   4 bytes  CRC-32C of the body
//	head sum   4 bytes  CRC-32C of the twelve bytes before
//	body       consensuspb.LogRecord
//
// The head has a sum of its own, so that a damaged size is told from a torn
// write and a scan for later records cannot be led astray.
const (
	headBytes = 16
	// maxBody bounds what a damaged size could make a reader allocate.
	maxBody = 64 << 20
)

var (
	recordMark = []byte{0xc7, 'p', 'w', 'r'}
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
	encoding   = proto.MarshalOptions{Deterministic: true}
)

// encodeRecord appends a record to buffer.
func encodeRecord(buffer []byte, record *consensuspb.LogRecord) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headBytes)...)
	buffer, err := encoding.MarshalAppend(buffer, record)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a log record")
	}
	head, body := buffer[start:start+headBytes], buffer[start+headBytes:]
	if len(body) > maxBody {
		return nil, failure.New(failure.TooLarge, "log record of %d bytes", len(body))
	}
	copy(head, recordMark)
	binary.LittleEndian.PutUint32(head[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(head[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(head[12:], crc32.Checksum(head[:12], castagnoli))
	return buffer, nil
}

// decodeRecord reads the record at the start of content and gives its length.
// ok is false where no whole, undamaged record stands there.
func decodeRecord(content []byte) (record *consensuspb.LogRecord, length int, ok bool) {
	body, ok := recordBody(content)
	if !ok {
		return nil, 0, false
	}
	record = &consensuspb.LogRecord{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, 0, false
	}
	return record, headBytes + len(body), true
}

func recordBody(content []byte) ([]byte, bool) {
	if len(content) < headBytes || !bytes.Equal(content[:4], recordMark) {
		return nil, false
	}
	if crc32.Checksum(content[:12], castagnoli) != binary.LittleEndian.Uint32(content[12:]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if size > maxBody || size > len(content)-headBytes {
		return nil, false
	}
	body := content[headBytes : headBytes+size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(content[8:]) {
		return nil, false
	}
	return body, true
}

// holdsRecord tells whether a whole record stands anywhere in content.
func holdsRecord(content []byte) bool {
	for {
		at := bytes.Index(content, recordMark)
		if at < 0 {
			return false
		}
		content = content[at:]
		if _, ok := recordBody(content); ok {
			return true
		}
		content = content[1:]
	}
}
