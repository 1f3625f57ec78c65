package wal

import (
	"bytes"
	"encoding/binary"
	"hash/crc32"

	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Format of a record on disk, little-endian:
//
//	magic            4 bytes  the same in every record
//	body size        4 bytes  in bytes
//	body checksum    4 bytes  CRC-32C of the body
//	header checksum  4 bytes  CRC-32C of the preceding 12 bytes
//	body             consensuspb.LogRecord
//
// The header has its own checksum, so that a corrupted size can be distinguished from a
// torn write and can't mislead a scan for later records.
const (
	headerBytes = 16
	// maxBodyBytes limits what a corrupted size could make a reader allocate.
	maxBodyBytes = 64 << 20
)

var (
	recordMagic = []byte{0xc7, 'p', 'w', 'r'}
	castagnoli  = crc32.MakeTable(crc32.Castagnoli)
	encoding    = proto.MarshalOptions{Deterministic: true}
)

// encodeRecord appends an encoded record to buffer.
func encodeRecord(buffer []byte, record *consensuspb.LogRecord) ([]byte, error) {
	start := len(buffer)
	buffer = append(buffer, make([]byte, headerBytes)...)
	buffer, err := encoding.MarshalAppend(buffer, record)
	if err != nil {
		return nil, failure.Wrap(failure.Internal, err, "encode a log record")
	}
	header, body := buffer[start:start+headerBytes], buffer[start+headerBytes:]
	if len(body) > maxBodyBytes {
		return nil, failure.New(failure.TooLarge, "log record of %d bytes", len(body))
	}
	copy(header, recordMagic)
	binary.LittleEndian.PutUint32(header[4:], uint32(len(body)))
	binary.LittleEndian.PutUint32(header[8:], crc32.Checksum(body, castagnoli))
	binary.LittleEndian.PutUint32(header[12:], crc32.Checksum(header[:12], castagnoli))
	return buffer, nil
}

// decodeRecord decodes the record at the start of content and returns its length in bytes.
// ok is false if there is no complete, valid record.
func decodeRecord(content []byte) (record *consensuspb.LogRecord, length int, ok bool) {
	body, ok := recordBody(content)
	if !ok {
		return nil, 0, false
	}
	record = &consensuspb.LogRecord{}
	if err := proto.Unmarshal(body, record); err != nil {
		return nil, 0, false
	}
	return record, headerBytes + len(body), true
}

func recordBody(content []byte) ([]byte, bool) {
	if len(content) < headerBytes || !bytes.Equal(content[:4], recordMagic) {
		return nil, false
	}
	if crc32.Checksum(content[:12], castagnoli) != binary.LittleEndian.Uint32(content[12:]) {
		return nil, false
	}
	size := int(binary.LittleEndian.Uint32(content[4:]))
	if size > maxBodyBytes || size > len(content)-headerBytes {
		return nil, false
	}
	body := content[headerBytes : headerBytes+size]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(content[8:]) {
		return nil, false
	}
	return body, true
}

// containsRecord reports whether content has a complete, valid record at any offset.
func containsRecord(content []byte) bool {
	for {
		at := bytes.Index(content, recordMagic)
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
