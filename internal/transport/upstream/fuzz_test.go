package upstream

import (
	"bufio"
	"context"
	"net/http"
	"strings"
	"testing"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// readAnswer parses the answer in text and returns how many bytes of it were read.
func readAnswer(text string) (*api.Answer, int, error) {
	source := strings.NewReader(text)
	reader := bufio.NewReader(source)
	response, err := http.ReadResponse(reader, &http.Request{Method: http.MethodPost})
	if err != nil {
		return nil, 0, err
	}
	x := &exchange{call: &api.ServeCall{ID: requestID, MaxBufferedBytes: 1 << 16}, ctx: context.Background()}
	answer, err := x.answer(response)
	return answer, len(text) - source.Len() - reader.Buffered(), err
}

// An answer that is accepted as complete must be rejected without its last byte, whatever
// the minion sends.
func FuzzTruncatedAnswerIsRejected(f *testing.F) {
	f.Add(okResponse("Content-Length: 3\r\n\r\nash"))
	f.Add(okResponse("Transfer-Encoding: chunked\r\n\r\n3\r\nash\r\n0\r\n\r\n"))
	f.Add(okResponse("Connection: close\r\n\r\nash"))
	f.Add(okResponse(api.HeaderBodyLength + ": 3\r\n\r\nash"))
	f.Add("HTTP/1.1 503 Busy\r\n" + api.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n")
	f.Fuzz(func(t *testing.T, text string) {
		answer, size, err := readAnswer(text)
		if err != nil || len(answer.Body) == 0 {
			return
		}
		if truncated, _, err := readAnswer(text[:size-1]); err == nil {
			t.Fatalf("%q accepted without its last byte as %q", text, truncated.Body)
		}
	})
}
