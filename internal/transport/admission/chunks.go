package admission

import "pinewinch.example/pinewinch/internal/protocol/failure"

const (
	// maxChunkLine limits the line with the size of a chunk, in bytes.
	maxChunkLine = 4096
	// maxChunkDigits keeps the size of a chunk within an int64.
	maxChunkDigits = 15
)

// chunkState is the part of a chunked body at which a chunkScanner is.
type chunkState int

const (
	chunkSize chunkState = iota
	chunkExtension
	chunkSizeEnd
	chunkData
	chunkDataCR
	chunkDataLF
	trailerStart
	trailerLine
	trailerLineEnd
	trailerEnd
	chunksDone
)

// chunkScanner finds the end of a chunked body, whatever the parts in which it arrives. A
// line ends with CR and LF; a bare LF is refused, as net/http does.
type chunkScanner struct {
	state  chunkState
	size   int64
	digits int
	// line is the number of bytes of the current chunk line, trailers that of all trailers.
	line, trailers int
	// trailerLimit is the most that trailers may take, in bytes.
	trailerLimit int
	trailerLines int
}

// scan returns how many bytes of text belong to the body, and whether it ends there. The
// error is failure.BadRequest or failure.TooLarge.
func (s *chunkScanner) scan(text []byte) (used int, done bool, err error) {
	for used < len(text) && s.state != chunksDone {
		if s.state == chunkData {
			n := min(s.size, int64(len(text)-used))
			s.size -= n
			used += int(n)
			if s.size == 0 {
				s.state = chunkDataCR
			}
			continue
		}
		if err := s.step(text[used]); err != nil {
			return used, false, err
		}
		used++
	}
	return used, s.state == chunksDone, nil
}

// step takes one byte outside of the data.
func (s *chunkScanner) step(b byte) error {
	switch s.state {
	case chunkSize, chunkExtension:
		return s.sizeLine(b)
	case chunkSizeEnd:
		return s.endSizeLine(b)
	case chunkDataCR:
		return s.expect(b, '\r', chunkDataLF)
	case chunkDataLF:
		s.digits, s.line = 0, 0
		return s.expect(b, '\n', chunkSize)
	}
	return s.trailer(b)
}

func (s *chunkScanner) expect(b, wanted byte, next chunkState) error {
	if b != wanted {
		return failure.New(failure.BadRequest, "malformed chunked encoding")
	}
	s.state = next
	return nil
}

func (s *chunkScanner) sizeLine(b byte) error {
	if s.line++; s.line > maxChunkLine {
		return failure.New(failure.TooLarge, "chunk line exceeds %d bytes", maxChunkLine)
	}
	if b == '\n' || b == '\r' && s.digits == 0 {
		return failure.New(failure.BadRequest, "malformed chunk size")
	}
	if b == '\r' {
		s.state = chunkSizeEnd
		return nil
	}
	if s.state == chunkExtension {
		return nil
	}
	if b == ';' || b == ' ' || b == '\t' {
		s.state = chunkExtension
		return nil
	}
	digit, ok := hexDigit(b)
	if s.digits++; !ok || s.digits > maxChunkDigits {
		return failure.New(failure.BadRequest, "malformed chunk size")
	}
	s.size = s.size<<4 | digit
	return nil
}

func hexDigit(b byte) (value int64, ok bool) {
	switch {
	case '0' <= b && b <= '9':
		return int64(b - '0'), true
	case 'a' <= b && b <= 'f':
		return int64(b-'a') + 10, true
	case 'A' <= b && b <= 'F':
		return int64(b-'A') + 10, true
	}
	return 0, false
}

func (s *chunkScanner) endSizeLine(b byte) error {
	if s.digits == 0 {
		return failure.New(failure.BadRequest, "chunk without a size")
	}
	next := chunkData
	if s.size == 0 {
		next = trailerStart
	}
	return s.expect(b, '\n', next)
}

func (s *chunkScanner) trailer(b byte) error {
	if s.trailers++; s.trailers > s.trailerLimit {
		return failure.New(failure.TooLarge, "trailers exceed %d bytes", s.trailerLimit)
	}
	switch s.state {
	case trailerLineEnd:
		s.trailerLines++
		return s.expect(b, '\n', trailerStart)
	case trailerEnd:
		return s.expect(b, '\n', chunksDone)
	}
	switch {
	case b == '\n':
		return failure.New(failure.BadRequest, "malformed trailer")
	case b != '\r':
		s.state = trailerLine
	case s.state == trailerStart:
		s.state = trailerEnd
	default:
		s.state = trailerLineEnd
	}
	return nil
}
