package snapshot

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Any bytes may come from a damaged disk or another replica: decoding never
// panics, every refusal is typed, and what is accepted is a whole file.
func FuzzDecode(f *testing.F) {
	meta, data := []byte{8, 5, 16, 3}, []byte("state")
	whole := append(append(encodeHead(meta, data), meta...), data...)
	f.Add(whole)
	f.Add(whole[:len(whole)-1])
	f.Fuzz(func(t *testing.T, content []byte) {
		s, err := decode("s", content)
		if err != nil {
			if !failure.Is(err, failure.Corrupt) {
				t.Fatalf("untyped refusal: %v", err)
			}
			return
		}
		if len(s.Data) > len(content)-headBytes {
			t.Fatal("more data than content")
		}
	})
}
