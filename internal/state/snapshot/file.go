package snapshot

import (
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"hash/crc32"
	"strings"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"pinewinch.example/pinewinch/internal/protocol/consensuspb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A snapshot file, little endian:
//
//	mark       4 bytes
//	version    4 bytes
//	meta size  4 bytes
//	data size  8 bytes
//	sum        8 bytes  xxHash of meta and data
//	head sum   4 bytes  CRC-32C of the bytes before
//	meta       consensuspb.SnapshotMeta
//	data       the state machine's own encoding
const (
	headBytes     = 32
	fileVersion   = 1
	fileSuffix    = ".snap"
	partialSuffix = ".partial"
	damagedSuffix = ".damaged"
)

var (
	fileMark   = []byte("pwsn")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Snapshot is the state machine up to the meta's index.
type Snapshot struct {
	Meta *consensuspb.SnapshotMeta
	Data []byte
}

// ID names one snapshot file.
type ID struct {
	Index uint64
	Term  uint64
}

func idOf(meta *consensuspb.SnapshotMeta) ID { return ID{Index: meta.Index, Term: meta.Term} }

func (id ID) name() string { return fmt.Sprintf("%016x-%016x", id.Index, id.Term) }

func parseName(name, suffix string) (ID, bool) {
	stem, ok := strings.CutSuffix(name, suffix)
	if !ok || len(stem) != 33 || stem[16] != '-' {
		return ID{}, false
	}
	raw, err := hex.DecodeString(stem[:16] + stem[17:])
	if err != nil {
		return ID{}, false
	}
	return ID{Index: binary.BigEndian.Uint64(raw), Term: binary.BigEndian.Uint64(raw[8:])}, true
}

func encodeHead(meta, data []byte) []byte {
	sum := xxhash.New()
	_, _ = sum.Write(meta)
	_, _ = sum.Write(data)
	head := make([]byte, 0, headBytes)
	head = append(head, fileMark...)
	head = binary.LittleEndian.AppendUint32(head, fileVersion)
	head = binary.LittleEndian.AppendUint32(head, uint32(len(meta)))
	head = binary.LittleEndian.AppendUint64(head, uint64(len(data)))
	head = binary.LittleEndian.AppendUint64(head, sum.Sum64())
	return binary.LittleEndian.AppendUint32(head, crc32.Checksum(head, castagnoli))
}

// decode checks a file's content; name is for the failure.
func decode(name string, content []byte) (*Snapshot, error) {
	if len(content) < headBytes || string(content[:4]) != string(fileMark) {
		return nil, failure.New(failure.Corrupt, "%s is no snapshot", name)
	}
	head := content[:headBytes]
	if crc32.Checksum(head[:headBytes-4], castagnoli) != binary.LittleEndian.Uint32(head[headBytes-4:]) {
		return nil, failure.New(failure.Corrupt, "%s: the head is damaged", name)
	}
	if version := binary.LittleEndian.Uint32(head[4:]); version != fileVersion {
		return nil, failure.New(failure.Corrupt, "%s has version %d and this process reads %d", name, version, fileVersion)
	}
	metaSize := uint64(binary.LittleEndian.Uint32(head[8:]))
	dataSize := binary.LittleEndian.Uint64(head[12:])
	body := content[headBytes:]
	if uint64(len(body)) < metaSize || uint64(len(body))-metaSize != dataSize {
		return nil, failure.New(failure.Corrupt, "%s has %d bytes and should have %d", name, len(body), metaSize+dataSize)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(head[20:]) {
		return nil, failure.New(failure.Corrupt, "%s: checksum differs", name)
	}
	meta := &consensuspb.SnapshotMeta{}
	if err := proto.Unmarshal(body[:metaSize], meta); err != nil {
		return nil, failure.Wrap(failure.Corrupt, err, "%s: meta does not decode", name)
	}
	return &Snapshot{Meta: meta, Data: body[metaSize:]}, nil
}
