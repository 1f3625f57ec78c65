package admission

import (
	"bufio"
	"bytes"
	"crypto/tls"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

var testLimits = Limits{Connections: 16, MessageBytes: 64 << 20, HeadBytes: DefaultHeadBytes, HeadTimeout: DefaultHeadTimeout}

// scriptedConn reads a text in pieces and keeps what is written.
type scriptedConn struct {
	net.Conn
	text    []byte
	piece   int
	written bytes.Buffer
}

func (s *scriptedConn) Read(p []byte) (int, error) {
	if len(s.text) == 0 {
		return 0, io.EOF
	}
	n := copy(p, s.text[:min(len(s.text), s.piece)])
	s.text = s.text[n:]
	return n, nil
}

func (s *scriptedConn) Write(p []byte) (int, error)      { return s.written.Write(p) }
func (s *scriptedConn) Close() error                     { return nil }
func (s *scriptedConn) SetReadDeadline(time.Time) error  { return nil }
func (s *scriptedConn) SetWriteDeadline(time.Time) error { return nil }

func guard(gate *Gate, conn net.Conn) *Conn {
	c := &Conn{Conn: conn, gate: gate}
	c.entry.Owner = c
	gate.open(c)
	return c
}

// message is a request as net/http reads it.
type message struct{ line, host, body string }

// readMessage reads one request with net/http.
func readMessage(r *bufio.Reader) (message, error) {
	request, err := http.ReadRequest(r)
	if err != nil {
		return message{}, err
	}
	text, err := io.ReadAll(request.Body)
	return message{request.Method + " " + request.RequestURI, request.Host, string(text)}, err
}

// readGuarded reads all requests through a guard, and fails if net/http's reader holds bytes
// of the next message.
func readGuarded(t *testing.T, c *Conn) []message {
	t.Helper()
	var messages []message
	reader := bufio.NewReader(c)
	for {
		m, err := readMessage(reader)
		if err != nil {
			return messages
		}
		if reader.Buffered() != 0 || c.ready != 0 || c.inBody {
			t.Fatalf("after %+v: net/http holds %d bytes, the guard %d; in a body: %v", m, reader.Buffered(), c.ready, c.inBody)
		}
		messages = append(messages, m)
		c.gate.answered(c)
	}
}

const (
	plainGet   = "GET /a HTTP/1.1\r\nHost: h\r\n\r\n"
	plainPost  = "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	chunkedPut = "PUT /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3;x=y\r\nabc\r\nA\r\n0123456789\r\n0\r\nX-T: 1\r\nX-U: 2\r\n\r\n"
)

// A guard that loses count of a message would take a body for the next request.
func TestMessagesAreHandedOnOneByOne(t *testing.T) {
	for _, piece := range []int{1, 2, 3, 7, 64, 4096} {
		is := is.New(t)
		text := "\r\n\n" + plainGet + plainPost + "\r\n" + chunkedPut + plainGet + chunkedPut + plainPost
		gate := NewGate("test", testLimits, nil)
		c := guard(gate, &scriptedConn{text: []byte(text), piece: piece})
		get, post, put := message{"GET /a", "h", ""}, message{"POST /b", "h", "hello"}, message{"PUT /c", "h", "abc0123456789"}
		is.Equal(readGuarded(t, c), []message{get, post, put, get, put, post})
		c.Close()
		is.Equal(gate.budget.held, int64(0))
		is.Equal(gate.budget.open(), 0)
	}
}

// Two readers that find different ends of a message would let a client smuggle a request.
func TestAmbiguousAndOversizedMessagesAreRefused(t *testing.T) {
	post := func(fields string) string { return "POST / HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n\r\n" }
	many := strings.Repeat("a:\r\n", DefaultHeadBytes)
	tests := []struct{ name, text, status string }{
		{"length and encoding", post("Content-Length: 3\r\nTransfer-Encoding: chunked"), "400"},
		{"differing lengths", post("Content-Length: 3\r\nContent-Length: 4"), "400"},
		{"negative length", post("Content-Length: -3"), "400"},
		{"length out of range", post("Content-Length: 9999999999999999999"), "400"},
		{"folded length", post("Content-Length: 3\r\n 4"), "400"},
		{"other encoding", post("Transfer-Encoding: gzip, chunked"), "400"},
		{"two encodings", post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked"), "400"},
		{"encoding before HTTP/1.1", "POST / HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n", "400"},
		{"a head without an end", "GET / HTTP/1.1\r\n" + many, "431"},
		{"a line without an end", "GET /" + strings.Repeat("a", DefaultHeadBytes), "431"},
		{"empty lines without an end", strings.Repeat("\r\n", 100), ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			conn := &scriptedConn{text: []byte(test.text), piece: 4096}
			c := guard(NewGate("test", testLimits, nil), conn)
			n, err := c.Read(make([]byte, 4096))
			is.Equal(n, 0)
			is.True(errors.Is(err, io.EOF))
			is.True(strings.HasPrefix(conn.written.String(), "HTTP/1.1 "+test.status) == (test.status != ""))
			_, err = c.Read(make([]byte, 4096))
			is.True(errors.Is(err, io.EOF))
		})
	}
}

// A request inside the limits must be served in calm, however odd its head.
func TestHeadOfManyShortLinesIsAdmitted(t *testing.T) {
	is := is.New(t)
	text := "GET /a HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\n", 5000) + "\r\n"
	c := guard(NewGate("test", testLimits, nil), &scriptedConn{text: []byte(text), piece: 100})
	is.Equal(readGuarded(t, c), []message{{"GET /a", "h", ""}})
}

// An incomplete head must cost its bytes, not those of net/http's map.
func TestIncompleteHeadIsKeptOverADeadline(t *testing.T) {
	is := is.New(t)
	client, accepted := net.Pipe()
	gate := NewGate("test", testLimits, nil)
	c := guard(gate, accepted)
	go func() { _, _ = client.Write([]byte(plainGet[:9])) }()
	// net/http reads one byte while a request is handled, and interrupts that read after.
	n, err := c.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
	is.NoErr(c.SetReadDeadline(time.Now().Add(20 * time.Millisecond)))
	n, err = c.Read(make([]byte, 100))
	is.Equal(n, 0)
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
	is.Equal(c.entry.phase, Head)
	is.True(gate.budget.held < 100)
	is.NoErr(c.SetReadDeadline(time.Time{}))
	go func() { _, _ = client.Write([]byte(plainGet[9:])) }()
	rest := make([]byte, 100)
	n, err = c.Read(rest)
	is.NoErr(err)
	is.Equal(string(rest[:n]), plainGet[1:])
	is.Equal(c.entry.phase, Handling)
}

// A head that arrives byte by byte must end in time, counted from its first byte.
func TestTrickledHeadIsClosed(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.HeadTimeout = 30 * time.Millisecond
	client, accepted := net.Pipe()
	defer client.Close()
	c := guard(NewGate("test", limits, nil), accepted)
	go func() {
		for text := "GET /"; ; text = "a" {
			if _, err := client.Write([]byte(text)); err != nil {
				return
			}
			time.Sleep(5 * time.Millisecond)
		}
	}()
	is.NoErr(c.SetReadDeadline(time.Now().Add(time.Minute)))
	_, err := c.Read(make([]byte, 4096))
	is.True(errors.Is(err, os.ErrDeadlineExceeded))
}

// serveGuarded runs a server of net/http over a gate, and returns its address.
func serveGuarded(t *testing.T, gate *Gate, handler http.HandlerFunc) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	web := &http.Server{Handler: handler, ReadHeaderTimeout: DefaultHeadTimeout}
	guarded := gate.Serve(web, listener)
	go func() { _ = web.Serve(guarded) }()
	t.Cleanup(func() { web.Close() })
	return listener.Addr().String()
}

func echo(w http.ResponseWriter, r *http.Request) {
	text, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	fmt.Fprintf(w, "%s %s", r.URL.Path, text)
}

// exchange writes a text and reads the bodies of n answers.
func exchange(t *testing.T, conn net.Conn, text string, n int) []string {
	t.Helper()
	is := is.New(t)
	_, err := conn.Write([]byte(text))
	is.NoErr(err)
	reader := bufio.NewReader(conn)
	var bodies []string
	for range n {
		answer, err := http.ReadResponse(reader, nil)
		is.NoErr(err)
		body, err := io.ReadAll(answer.Body)
		is.NoErr(err)
		bodies = append(bodies, fmt.Sprintf("%d %s", answer.StatusCode, body))
	}
	return bodies
}

// Pipelined requests and 100-continue are parts of HTTP/1.1 that the guard must let work.
func TestPipeliningAndContinueOverTheGuard(t *testing.T) {
	is := is.New(t)
	gate := NewGate("test", testLimits, nil)
	address := serveGuarded(t, gate, echo)
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	is.Equal(exchange(t, conn, plainGet+plainPost+chunkedPut, 3), []string{"200 /a ", "200 /b hello", "200 /c abc0123456789"})
	is.Equal(exchange(t, conn, "POST /d HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n", 1), []string{"100 "})
	is.Equal(exchange(t, conn, "ok", 1), []string{"200 /d ok"})
}

// A crowd of bodies that lack their end must not shut an ordinary caller out.
func TestOrdinaryCallerIsServedBesideHalfSentBodies(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.MessageBytes, limits.Connections = 256<<10, 12
	gate := NewGate("test", limits, nil)
	address := serveGuarded(t, gate, echo)
	half := "POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 16385\r\n\r\n" + strings.Repeat("a", 16384)
	for range 30 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte(half))
		is.NoErr(err)
	}
	conn, err := net.Dial("tcp", address)
	is.NoErr(err)
	defer conn.Close()
	is.Equal(exchange(t, conn, plainPost, 1), []string{"200 /b hello"})
	gate.mu.Lock()
	defer gate.mu.Unlock()
	is.True(gate.budget.held <= limits.MessageBytes)
	is.True(gate.budget.open() <= limits.Connections)
}

// A message that finds all bytes held by handlers waits until one of them has answered.
func TestMessageWaitsForHandledOnes(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.MessageBytes = 3 * headCost([]byte(plainGet)) / 2
	release := make(chan struct{}, 2)
	gate := NewGate("test", limits, nil)
	address := serveGuarded(t, gate, func(w http.ResponseWriter, r *http.Request) { <-release })
	answers := make(chan error, 2)
	for range 2 {
		conn, err := net.Dial("tcp", address)
		is.NoErr(err)
		defer conn.Close()
		go func() {
			_, _ = conn.Write([]byte(plainGet))
			_, err := http.ReadResponse(bufio.NewReader(conn), nil)
			answers <- err
		}()
	}
	release <- struct{}{}
	is.NoErr(<-answers)
	release <- struct{}{}
	is.NoErr(<-answers)
}

// FuzzMessageFraming compares the messages that the guard hands on with those that net/http
// finds in the same bytes.
func FuzzMessageFraming(f *testing.F) {
	for _, text := range []string{
		plainGet + plainPost + chunkedPut,
		"\r\n\r\n" + plainGet,
		"GET / HTTP/1.1\r\n" + strings.Repeat("a:\n", 50) + "\n" + plainGet,
		"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 200\r\n\r\nshort",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n00\r\nX: y\r\n\r\n" + plainGet,
		"POST / HTTP/1.0\r\nContent-Length: 1\r\n\r\na" + plainGet,
	} {
		f.Add([]byte(text), uint16(7))
	}
	f.Fuzz(func(t *testing.T, text []byte, piece uint16) {
		c := guard(NewGate("test", testLimits, nil), &scriptedConn{text: bytes.Clone(text), piece: 1 + int(piece)})
		guarded := readGuarded(t, c)
		plain := readPlain(text)
		for i, m := range guarded {
			if i >= len(plain) || m != plain[i] {
				t.Fatalf("message %d: guarded %+v, plain %+v", i, guarded, plain)
			}
		}
		if c.failed == nil && len(guarded) < len(plain) {
			t.Fatalf("guarded %+v, plain %+v", guarded, plain)
		}
	})
}

// readPlain reads all requests of a text, without the empty lines before them.
func readPlain(text []byte) []message {
	var messages []message
	reader := bufio.NewReader(bytes.NewReader(text))
	for {
		for {
			next, err := reader.Peek(1)
			if err != nil || next[0] != '\r' && next[0] != '\n' {
				break
			}
			_, _ = reader.Discard(1)
		}
		m, err := readMessage(reader)
		if err != nil {
			return messages
		}
		messages = append(messages, m)
	}
}

// BenchmarkGuardedRequest measures a small request over an open connection, with the guard
// and without.
func BenchmarkGuardedRequest(b *testing.B) {
	b.Run("plain", func(b *testing.B) {
		benchmarkRequests(b, func(_ *http.Server, listener net.Listener) net.Listener { return listener })
	})
	b.Run("guarded", func(b *testing.B) {
		benchmarkRequests(b, NewGate("benchmark", testLimits, nil).Serve)
	})
}

func benchmarkRequests(b *testing.B, wrap func(*http.Server, net.Listener) net.Listener) {
	is := is.New(b)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	web := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: DefaultHeadTimeout, IdleTimeout: time.Minute}
	defer web.Close()
	wrapped := wrap(web, listener)
	go func() { _ = web.Serve(wrapped) }()
	conn, err := net.Dial("tcp", listener.Addr().String())
	is.NoErr(err)
	defer conn.Close()
	answer := make([]byte, 4096)
	b.ReportAllocs()
	for b.Loop() {
		_, err := conn.Write([]byte(plainPost))
		is.NoErr(err)
		_, err = conn.Read(answer)
		is.NoErr(err)
	}
}

// The handshakes of TLS are buffered before any guard, so they must be charged and closable.
func TestHalfSentHandshakesMakeWay(t *testing.T) {
	is := is.New(t)
	limits := testLimits
	limits.MessageBytes = 3 * handshakeBytes
	gate := NewGate("test", limits, nil)
	plain := httptest.NewUnstartedServer(http.HandlerFunc(echo))
	plain.StartTLS()
	plain.Close()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	web := &http.Server{Handler: http.HandlerFunc(echo), ReadHeaderTimeout: DefaultHeadTimeout}
	guarded := gate.Serve(web, tls.NewListener(listener, plain.TLS))
	go func() { _ = web.Serve(guarded) }()
	defer web.Close()
	closed := make(chan error, 8)
	for range 8 {
		conn, err := net.Dial("tcp", listener.Addr().String())
		is.NoErr(err)
		defer conn.Close()
		_, err = conn.Write([]byte{22, 3, 1, 64, 0, 1})
		is.NoErr(err)
		go func() {
			_, err := conn.Read(make([]byte, 1))
			closed <- err
		}()
	}
	for range 5 {
		<-closed // three fit
	}
	conn, err := tls.Dial("tcp", listener.Addr().String(), &tls.Config{RootCAs: plain.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs, ServerName: "example.com"})
	is.NoErr(err)
	defer conn.Close()
	is.Equal(exchange(t, conn, plainPost+plainGet, 2), []string{"200 /b hello", "200 /a "})
	gate.mu.Lock()
	defer gate.mu.Unlock()
	is.True(gate.budget.held <= limits.MessageBytes)
}
