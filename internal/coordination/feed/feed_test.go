package feed

import (
	"bytes"
	"testing"

	"github.com/cespare/xxhash/v2"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
	"pinewinch.example/pinewinch/internal/state/store"
)

func entryOf(index uint64, size int) *peerpb.LogEntry {
	return &peerpb.LogEntry{Index: index, Command: &controlpb.Command{Client: string(make([]byte, size))}}
}

// For any sequence of appends, with gaps as after installed snapshots, the tail stays
// within its limit. A batch follows the requested index without a gap, exceeds its limit
// only if it is a single entry, and is refused exactly if the tail does not reach back.
func TestModelTail(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 2000
		tail := NewTail(limit)
		last := rapid.Uint64Range(0, 100).Draw(t, "first")
		for range rapid.IntRange(1, 50).Draw(t, "appends") {
			last += uint64(rapid.SampledFrom([]int{1, 1, 1, 1, 7}).Draw(t, "step"))
			tail.Append(entryOf(last, rapid.IntRange(0, 700).Draw(t, "size")))
		}
		total := 0
		for _, held := range tail.entries {
			total += proto.Size(held.entry)
		}
		if total != tail.bytes || total > limit {
			t.Fatalf("%d bytes held, %d counted, %d allowed", total, tail.bytes, limit)
		}
		after := rapid.Uint64Range(0, last+3).Draw(t, "after")
		batch, ok := tail.After(after, 500, plain)
		if reaches := len(tail.entries) > 0 && after+1 >= tail.entries[0].entry.Index; ok != reaches {
			t.Fatalf("After(%d) reports %t", after, ok)
		}
		size := 0
		for i, entry := range batch {
			size += proto.Size(entry)
			if entry.Index != after+1+uint64(i) {
				t.Fatalf("entry %d at position %d after %d", entry.Index, i, after)
			}
		}
		if size > 500 && len(batch) > 1 {
			t.Fatalf("batch of %d bytes exceeds the limit", size)
		}
		if ok && after < last && len(batch) == 0 {
			t.Fatal("empty batch although entries remain")
		}
	})
}

func partsOf(data []byte) []*peerpb.SnapshotPart {
	e := &encodedSnapshot{index: 7, data: data, checksum: 0}
	return e.parts(0)
}

// Followers that connect together share one encoding, which is dropped after the last.
func TestSnapshotIsCachedWhileSent(t *testing.T) {
	is, c := is.New(t), newSnapshotCache()
	first := c.begin(store.New(), true)
	second := c.begin(store.New(), true)
	is.True(first == second)
	<-first.done
	is.NoErr(first.err)
	c.release()
	is.True(c.newest != nil)
	c.release()
	is.True(c.newest == nil)
}

// A snapshot arrives in parts. If a part is lost, duplicated or corrupted, the snapshot
// must not be accepted.
func TestSnapshotAssembler(t *testing.T) {
	is := is.New(t)
	whole := &controlpb.Snapshot{Index: 7, Drained: []string{string(bytes.Repeat([]byte("x"), 2*MaxBatchBytes))}}
	data, err := proto.Marshal(whole)
	is.NoErr(err)
	parts := (&encodedSnapshot{index: 7, data: data, checksum: xxhash.Sum64(data)}).parts(0)
	is.Equal(len(parts), 3)
	tests := map[string]struct {
		order []int
		code  failure.Code
		done  bool
	}{
		"in order":        {[]int{0, 1, 2}, "", true},
		"started again":   {[]int{0, 1, 0, 1, 2}, "", true},
		"part lost":       {[]int{0, 2}, failure.WrongAnswer, false},
		"part duplicated": {[]int{0, 1, 1}, failure.WrongAnswer, false},
		"not complete":    {[]int{0, 1}, "", false},
		"first missing":   {[]int{1}, failure.WrongAnswer, false},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			is, a := is.New(t), &SnapshotAssembler{}
			var got *controlpb.Snapshot
			var err error
			for _, i := range test.order {
				if got, err = a.Add(parts[i]); err != nil {
					break
				}
			}
			is.Equal(err == nil, test.code == "")
			is.True(err == nil || failure.Is(err, test.code))
			is.Equal(got != nil, test.done)
		})
	}
	large := &peerpb.SnapshotPart{Total: MaxSnapshotBytes + 1}
	_, err = (&SnapshotAssembler{}).Add(large)
	is.True(failure.Is(err, failure.TooLarge))
	wrong := partsOf(data)
	a := &SnapshotAssembler{}
	for _, part := range wrong {
		_, err = a.Add(part)
	}
	is.True(failure.Is(err, failure.WrongAnswer))
}
