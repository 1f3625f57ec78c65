package admission

import (
	"bytes"
	"strconv"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// framing tells where the body of a message ends: after length bytes, or, if chunked, after
// its last chunk and trailers.
type framing struct {
	length  int64
	chunked bool
}

// maxLengthDigits keeps a Content-Length within an int64.
const maxLengthDigits = 18

// headEnd returns the length of the head at the start of text with the empty line that ends
// it, or 0 if it is incomplete. The first scanned bytes are known not to hold that line.
func headEnd(text []byte, scanned int) int {
	// The line ends of "\n\r\n" may have arrived in two parts.
	at := max(scanned-2, 0)
	for {
		found := bytes.IndexByte(text[at:], '\n')
		if found < 0 {
			return 0
		}
		at += found + 1
		rest := text[at:]
		if bytes.HasPrefix(rest, []byte("\n")) {
			return at + 1
		}
		if bytes.HasPrefix(rest, []byte("\r\n")) {
			return at + 2
		}
	}
}

// parseFraming returns the framing that a complete head announces. The error is
// failure.BadRequest where two readers of the same head could disagree.
func parseFraming(head []byte) (framing, error) {
	requestLine, rest, _ := bytes.Cut(head, []byte("\n"))
	fields := framingFields{}
	for len(rest) > 0 {
		var line []byte
		line, rest, _ = bytes.Cut(rest, []byte("\n"))
		if err := fields.add(line); err != nil {
			return framing{}, err
		}
	}
	return fields.framing(requestLine)
}

// framingFields are the header fields that decide the framing.
type framingFields struct {
	length, encoding []byte
	// last tells that the line before was one of them: a line that continues it would
	// change its value.
	last bool
}

func (f *framingFields) add(line []byte) error {
	if len(line) == 0 {
		return nil
	}
	if line[0] == ' ' || line[0] == '\t' {
		if f.last {
			return failure.New(failure.BadRequest, "folded framing header")
		}
		return nil
	}
	f.last = false
	// Most lines begin with neither letter and are not looked at further.
	if first := line[0] | 0x20; first != 'c' && first != 't' {
		return nil
	}
	name, value, _ := bytes.Cut(line, []byte(":"))
	value = bytes.Trim(value, " \t\r")
	switch {
	case bytes.EqualFold(name, []byte("Content-Length")):
		if f.length != nil && !bytes.Equal(f.length, value) {
			return failure.New(failure.BadRequest, "differing Content-Lengths")
		}
		f.length, f.last = value, true
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		if f.encoding != nil {
			return failure.New(failure.BadRequest, "several Transfer-Encodings")
		}
		f.encoding, f.last = value, true
	}
	return nil
}

func (f *framingFields) framing(requestLine []byte) (framing, error) {
	if f.encoding != nil {
		return f.chunked(requestLine)
	}
	if f.length == nil {
		return framing{}, nil
	}
	if len(f.length) > maxLengthDigits {
		return framing{}, failure.New(failure.BadRequest, "Content-Length out of range")
	}
	length, err := strconv.ParseUint(string(f.length), 10, 63)
	if err != nil {
		return framing{}, failure.New(failure.BadRequest, "invalid Content-Length")
	}
	return framing{length: int64(length)}, nil
}

func (f *framingFields) chunked(requestLine []byte) (framing, error) {
	switch {
	case f.length != nil:
		return framing{}, failure.New(failure.BadRequest, "both Content-Length and Transfer-Encoding")
	case !bytes.EqualFold(f.encoding, []byte("chunked")):
		return framing{}, failure.New(failure.BadRequest, "unsupported Transfer-Encoding")
	case !bytes.HasSuffix(bytes.TrimRight(requestLine, "\r"), []byte("HTTP/1.1")):
		return framing{}, failure.New(failure.BadRequest, "Transfer-Encoding before HTTP/1.1")
	}
	return framing{chunked: true}, nil
}
