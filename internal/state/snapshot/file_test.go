package snapshot

import (
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A corrupted disk or another replica may supply arbitrary bytes. Decoding must not panic,
// must fail only with Corrupt, and must not return more data than the file has.
func FuzzDecode(f *testing.F) {
	meta, data := []byte{8, 5, 16, 3}, []byte("state")
	whole := append(append(encodeHeader(meta, data), meta...), data...)
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
		if len(s.Data) > len(content)-headerBytes {
			t.Fatal("more data than content")
		}
	})
}
