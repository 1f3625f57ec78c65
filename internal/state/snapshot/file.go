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

// Format of a snapshot file, little-endian:
//
//	magic            4 bytes
//	version          4 bytes
//	meta size        4 bytes  in bytes
//	data size        8 bytes  in bytes
//	checksum         8 bytes  xxHash64 of meta and data
//	header checksum  4 bytes  CRC-32C of the preceding bytes
//	meta             consensuspb.SnapshotMeta
//	data             encoding of the state machine
const (
	headerBytes   = 32
	fileVersion   = 1
	fileSuffix    = ".snap"
	partialSuffix = ".partial"
	damagedSuffix = ".damaged"
)

var (
	fileMagic  = []byte("pwsn")
	castagnoli = crc32.MakeTable(crc32.Castagnoli)
)

// Snapshot is the encoded state machine after the log entry at Meta.Index.
type Snapshot struct {
	Meta *consensuspb.SnapshotMeta
	Data []byte
}

// ID identifies a snapshot file.
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

func encodeHeader(meta, data []byte) []byte {
	sum := xxhash.New()
	_, _ = sum.Write(meta)
	_, _ = sum.Write(data)
	header := make([]byte, 0, headerBytes)
	header = append(header, fileMagic...)
	header = binary.LittleEndian.AppendUint32(header, fileVersion)
	header = binary.LittleEndian.AppendUint32(header, uint32(len(meta)))
	header = binary.LittleEndian.AppendUint64(header, uint64(len(data)))
	header = binary.LittleEndian.AppendUint64(header, sum.Sum64())
	return binary.LittleEndian.AppendUint32(header, crc32.Checksum(header, castagnoli))
}

// decode checks and decodes the content of a file; name is used in errors.
func decode(name string, content []byte) (*Snapshot, error) {
	if len(content) < headerBytes || string(content[:4]) != string(fileMagic) {
		return nil, failure.New(failure.Corrupt, "%s is not a snapshot file", name)
	}
	header := content[:headerBytes]
	if crc32.Checksum(header[:headerBytes-4], castagnoli) != binary.LittleEndian.Uint32(header[headerBytes-4:]) {
		return nil, failure.New(failure.Corrupt, "%s: the header is corrupted", name)
	}
	if version := binary.LittleEndian.Uint32(header[4:]); version != fileVersion {
		return nil, failure.New(failure.Corrupt, "%s has format version %d, this process reads version %d", name, version, fileVersion)
	}
	metaSize := uint64(binary.LittleEndian.Uint32(header[8:]))
	dataSize := binary.LittleEndian.Uint64(header[12:])
	body := content[headerBytes:]
	if uint64(len(body)) < metaSize || uint64(len(body))-metaSize != dataSize {
		return nil, failure.New(failure.Corrupt, "%s has %d bytes after its header, expected %d", name, len(body), metaSize+dataSize)
	}
	if xxhash.Sum64(body) != binary.LittleEndian.Uint64(header[20:]) {
		return nil, failure.New(failure.Corrupt, "%s: checksum mismatch", name)
	}
	meta := &consensuspb.SnapshotMeta{}
	if err := proto.Unmarshal(body[:metaSize], meta); err != nil {
		return nil, failure.Wrap(failure.Corrupt, err, "%s: cannot decode the metadata", name)
	}
	return &Snapshot{Meta: meta, Data: body[metaSize:]}, nil
}
