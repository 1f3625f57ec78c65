package upstream

import (
	"bufio"
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/transport/connections"
)

// rawMinion answers each request with bytes chosen by the test and closes the connection
// unless respond keeps it open. It counts requests and connections.
type rawMinion struct {
	address string
	runs    atomic.Int64
	conns   atomic.Int64
	// respond returns the bytes of the nth answer and whether the connection stays open.
	respond func(n int64, r *http.Request) (text string, keepOpen bool)
}

func startRawMinion(t *testing.T, respond func(n int64, r *http.Request) (string, bool)) *rawMinion {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	t.Cleanup(func() { listener.Close() })
	m := &rawMinion{address: listener.Addr().String(), respond: respond}
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			m.conns.Add(1)
			go m.serve(conn)
		}
	}()
	return m
}

func (m *rawMinion) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		if _, err := io.ReadAll(request.Body); err != nil {
			return
		}
		text, keepOpen := m.respond(m.runs.Add(1), request)
		_, _ = io.WriteString(conn, text)
		if !keepOpen {
			return
		}
	}
}

const requestID = "crews/order-7"

func okResponse(rest string) string {
	return "HTTP/1.1 200 OK\r\n" + api.HeaderRequestID + ": " + requestID + "\r\n" + rest
}

// Answers of a minion and how each is reported. A truncated answer, one to another request
// and one whose end cannot be detected are distinct errors; an HTTP error status is an
// answer like any other.
func TestAnswersAreChecked(t *testing.T) {
	chunked := "Transfer-Encoding: chunked\r\n\r\n3\r\nash\r\n"
	cases := []struct {
		name   string
		text   string
		body   string
		code   failure.Code
		notRun failure.NotRun
	}{
		{"whole", okResponse("Content-Length: 3\r\n\r\nash"), "ash", "", ""},
		{"complete in chunks", okResponse(chunked + "0\r\n\r\n"), "ash", "", ""},
		{"error status from the service", "HTTP/1.1 404 Not Found\r\n" + api.HeaderRequestID + ": " + requestID + "\r\nContent-Length: 3\r\n\r\nash", "ash", "", ""},
		{"503 from the service", "HTTP/1.1 503 Busy\r\n" + api.HeaderRequestID + ": " + requestID + "\r\nContent-Length: 3\r\n\r\nash", "ash", "", ""},
		{"refused", "HTTP/1.1 503 Busy\r\n" + api.HeaderNotRun + ": true\r\nContent-Length: 0\r\n\r\n", "", failure.Overloaded, failure.NotRunTrue},
		{"cut", okResponse("Content-Length: 9\r\n\r\nash"), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"truncated between chunks", okResponse(chunked), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"truncated in a chunk", okResponse("Transfer-Encoding: chunked\r\n\r\n9\r\nash"), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"truncated in the header", okResponse(""), "", failure.OutcomeUnknown, failure.NotRunUnknown},
		{"delimited by connection close", okResponse("Connection: close\r\n\r\nash"), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"delimited by connection close, length declared", okResponse(api.HeaderBodyLength + ": 3\r\n\r\nash"), "ash", "", ""},
		{"fewer bytes than declared", okResponse(api.HeaderBodyLength + ": 4\r\n" + chunked + "0\r\n\r\n"), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"lengths differ", okResponse(api.HeaderBodyLength + ": 2\r\nContent-Length: 3\r\n\r\nash"), "", failure.TruncatedAnswer, failure.NotRunFalse},
		{"another's answer", "HTTP/1.1 200 OK\r\n" + api.HeaderRequestID + ": planners/order-7\r\nContent-Length: 3\r\n\r\nash", "", failure.WrongAnswer, failure.NotRunUnknown},
		{"closed without an answer", "", "", failure.OutcomeUnknown, failure.NotRunUnknown},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			minion := startRawMinion(t, func(int64, *http.Request) (string, bool) { return c.text, false })
			answer, err := NewClient(connections.Allocate(1024, true), nil).Serve(t.Context(), minion.address, &api.ServeCall{ID: requestID, MaxBufferedBytes: 1 << 10, Body: []byte("x")})
			if c.code == "" {
				is.NoErr(err)
				is.Equal(string(answer.Body), c.body)
				return
			}
			is.Equal(failure.From(err).Code, c.code)
			is.Equal(failure.From(err).NotRun, c.notRun)
			is.Equal(minion.runs.Load(), int64(1))
		})
	}
}

// A minion answers one request, then reads the next one on the same connection and closes
// it. Go's transport resends some requests by itself if a reused connection fails; this
// one may have run, so it must not be resent, with or without a body.
func TestRequestIsNeverSentTwice(t *testing.T) {
	for _, body := range []string{"", "ash"} {
		t.Run(fmt.Sprintf("body %q", body), func(t *testing.T) {
			is := is.New(t)
			minion := startRawMinion(t, func(n int64, _ *http.Request) (string, bool) {
				if n == 1 {
					return okResponse("Content-Length: 0\r\n\r\n"), true
				}
				return "", false
			})
			client := NewClient(connections.Allocate(1024, true), nil)
			call := &api.ServeCall{ID: requestID, MaxBufferedBytes: 1 << 10, Body: []byte(body)}
			_, err := client.Serve(t.Context(), minion.address, call)
			is.NoErr(err)
			_, err = client.Serve(t.Context(), minion.address, call)
			is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
			is.Equal(minion.runs.Load(), int64(2))
			is.Equal(minion.conns.Load(), int64(1))
		})
	}
}

// staleConn fails the next write after broken is set, as if the peer had closed the
// connection.
type staleConn struct {
	net.Conn
	broken *atomic.Bool
}

func (c staleConn) Write(p []byte) (int, error) {
	if c.broken.Swap(false) {
		return 0, syscall.EPIPE
	}
	return c.Conn.Write(p)
}

// A reused connection fails before a byte of the next request is written. That request
// has not run: it must be sent once on a new connection or, if the dial fails, be
// reported as not run. It must neither get an unknown outcome nor run twice.
func TestStaleIdleConnection(t *testing.T) {
	for _, minionGone := range []bool{false, true} {
		t.Run(fmt.Sprintf("minion gone %t", minionGone), func(t *testing.T) {
			is := is.New(t)
			minion := startRawMinion(t, func(int64, *http.Request) (string, bool) { return okResponse("Content-Length: 0\r\n\r\n"), true })
			client := NewClient(connections.Allocate(1024, true), nil)
			var broken, refuse atomic.Bool
			client.http.Transport.(*http.Transport).DialContext = func(ctx context.Context, network, address string) (net.Conn, error) {
				if refuse.Load() {
					address = "127.0.0.1:0"
				}
				conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
				return staleConn{conn, &broken}, err
			}
			call := &api.ServeCall{ID: requestID, MaxBufferedBytes: 1 << 10, Body: []byte("ash")}
			_, err := client.Serve(t.Context(), minion.address, call)
			is.NoErr(err)
			broken.Store(true)
			refuse.Store(minionGone)
			_, err = client.Serve(t.Context(), minion.address, call)
			if minionGone {
				is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
				is.Equal(minion.runs.Load(), int64(1))
				return
			}
			is.NoErr(err)
			is.Equal(minion.runs.Load(), int64(2))
			is.Equal(minion.conns.Load(), int64(2))
		})
	}
}

// Nothing listens at the minion's address, or the caller's context has already ended: the
// request is reported as not run.
func TestNotRunWithoutConnection(t *testing.T) {
	is := is.New(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	address := listener.Addr().String()
	is.NoErr(listener.Close())
	_, err = NewClient(connections.Allocate(1024, true), nil).Serve(t.Context(), address, &api.ServeCall{ID: requestID})
	is.Equal(failure.From(err).Code, failure.Unreachable)
	is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	_, err = NewClient(connections.Allocate(1024, true), nil).Serve(cancelled, address, &api.ServeCall{ID: requestID})
	is.Equal(failure.From(err).Code, failure.DeadlinePassed)
	is.Equal(failure.From(err).NotRun, failure.NotRunTrue)
}

// The caller disconnects while the minion processes the request. If late answers are
// allowed, the answer is still accepted; if not, the exchange is cancelled and the outcome
// is unknown.
func TestLateAnswer(t *testing.T) {
	for _, late := range []time.Duration{0, time.Minute} {
		t.Run(late.String(), func(t *testing.T) {
			is := is.New(t)
			ctx, cancel := context.WithCancel(t.Context())
			done := make(chan struct{})
			minion := startRawMinion(t, func(int64, *http.Request) (string, bool) {
				cancel()
				if late == 0 {
					<-done
				}
				return okResponse("Content-Length: 3\r\n\r\nash"), false
			})
			defer close(done)
			dispatched := atomic.Bool{}
			call := &api.ServeCall{ID: requestID, MaxBufferedBytes: 1 << 10, LateAnswerWindow: late, OnDispatch: dispatched.Store}
			answer, err := NewClient(connections.Allocate(1024, true), nil).Serve(ctx, minion.address, call)
			is.True(dispatched.Load())
			if late == 0 {
				is.Equal(failure.From(err).NotRun, failure.NotRunUnknown)
				return
			}
			is.NoErr(err)
			is.Equal(string(answer.Body), "ash")
		})
	}
}

type bufferSink struct {
	bytes.Buffer
	begun *api.Answer
}

func (s *bufferSink) Begin(answer *api.Answer) (io.Writer, bool) {
	s.begun = answer
	return s, true
}

// An answer larger than the buffer limit is streamed to the caller. If the minion dies in
// the middle, the caller already has a part of it: the truncation is reported in the
// answer and not as an error, which could be retried at another minion.
func TestLargeAnswerStreams(t *testing.T) {
	full := strings.Repeat("ash ", 1000)
	cases := []struct {
		name      string
		text      string
		truncated bool
	}{
		{"length", okResponse(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(full), full)), false},
		{"chunks", okResponse(fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(full), full)), false},
		{"length, truncated", okResponse(fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(full), full[:2000])), true},
		{"chunks, truncated", okResponse(fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(full), full)), true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			minion := startRawMinion(t, func(int64, *http.Request) (string, bool) { return c.text, false })
			to := &bufferSink{}
			answer, err := NewClient(connections.Allocate(1024, true), nil).Serve(t.Context(), minion.address, &api.ServeCall{ID: requestID, MaxBufferedBytes: 100, Sink: to})
			is.NoErr(err)
			is.True(answer.Streamed)
			is.Equal(answer.TruncationErr != nil, c.truncated)
			is.True(strings.HasPrefix(full, to.String()))
			is.True(c.truncated || to.String() == full)
			_, err = NewClient(connections.Allocate(1024, true), nil).Serve(t.Context(), minion.address, &api.ServeCall{ID: requestID, MaxBufferedBytes: 100})
			is.True(err != nil)
			is.Equal(failure.From(err).NotRun, failure.NotRunFalse)
		})
	}
}

// Idle connections to every worker ever contacted would exhaust the process's file
// descriptors. All commands must succeed within the connection limit.
func TestCommandsToManyWorkersStayWithinConnectionLimit(t *testing.T) {
	is := is.New(t)
	const workers, rounds, concurrency, maxConnections = 30, 3, 4, 16
	var addresses []string
	for range workers {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(w, "{}")
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	limits := ConnectionLimits{DialTimeout: dialTimeout, MaxIdlePerHost: maxIdlePerHost, IdleTimeout: idleTimeout, MaxIdle: maxConnections}
	client := &Client{http: NewHTTP(traffic, connections.NewGroup("many_workers_test", maxConnections, nil), limits)}
	slots := make(chan struct{}, concurrency)
	var group sync.WaitGroup
	var failed atomic.Int64
	for range rounds {
		for _, address := range addresses {
			slots <- struct{}{}
			group.Go(func() {
				defer func() { <-slots }()
				if _, err := client.Command(t.Context(), address, api.PathTaskStop, &api.TaskCommand{}); err != nil {
					failed.Add(1)
				}
			})
		}
	}
	group.Wait()
	is.Equal(failed.Load(), int64(0))
	is.Equal(expvar.Get("many_workers_test_connections_peak").String(), fmt.Sprint(maxConnections))
}
