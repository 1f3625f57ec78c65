package admission

// body finds the end of a message's body as its bytes are handed on.
type body struct {
	// left is the rest of a body of known length.
	left int64
	// chunks is nil for such a body.
	chunks *chunkScanner
	// charged is the number of trailer lines that are charged.
	charged int
}

func newBody(f framing, trailerLimit int) body {
	if f.chunked {
		return body{chunks: &chunkScanner{trailerLimit: trailerLimit}}
	}
	return body{left: f.length}
}

// most returns how many of n bytes may be read without reading past a body of known length.
func (b *body) most(n int) int {
	if b.chunks != nil {
		return n
	}
	return int(min(int64(n), b.left))
}

// scan returns how many bytes of text belong to the body, and whether it ends there.
func (b *body) scan(text []byte) (used int, complete bool, err error) {
	if b.chunks != nil {
		return b.chunks.scan(text)
	}
	used = b.most(len(text))
	b.left -= int64(used)
	return used, b.left == 0, nil
}

// trailerCost returns the cost of the trailer lines scanned since the last call, in bytes.
func (b *body) trailerCost() int64 {
	if b.chunks == nil {
		return 0
	}
	lines := b.chunks.trailerLines - b.charged
	b.charged = b.chunks.trailerLines
	return int64(lines) * lineCost
}
