package scenarios

import (
	"bytes"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/testcerts"
)

// lossy VARIABLE URL COUNT starts a proxy of the instance at URL that drops the answers of
// the first COUNT calls with a method other than GET, after the instance has executed
// them: the caller's connection is closed. VARIABLE is set to the proxy's URL.
func lossy(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: lossy VARIABLE URL COUNT")
	}
	count, err := strconv.ParseInt(args[2], 10, 64)
	ts.Check(err)
	var left atomic.Int64
	left.Store(count)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		response, err := forward(r, args[1])
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		defer response.Body.Close()
		if r.Method != http.MethodGet && left.Add(-1) >= 0 {
			panic(http.ErrAbortHandler)
		}
		for name, values := range response.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(response.StatusCode)
		_, _ = io.Copy(w, response.Body)
	}))
	ts.Defer(server.Close)
	ts.Setenv(args[0], server.URL)
}

func forward(r *http.Request, server string) (*http.Response, error) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, err
	}
	request, err := http.NewRequest(r.Method, server+r.URL.RequestURI(), bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	request.Header = r.Header.Clone()
	return http.DefaultClient.Do(request)
}

// tally CODE=COUNT... NAME... waits until the processes have ended and checks how many of
// them had each exit code.
func tally(ts *testscript.TestScript, _ bool, args []string) {
	want, got := map[int]int{}, map[int]int{}
	for _, arg := range args {
		code, count, ok := strings.Cut(arg, "=")
		if !ok {
			p := startedProcess(ts, arg)
			p.await(ts, arg)
			got[p.command.ProcessState.ExitCode()]++
			continue
		}
		c, err := strconv.Atoi(code)
		ts.Check(err)
		want[c], err = strconv.Atoi(count)
		ts.Check(err)
	}
	for code, count := range want {
		if got[code] != count {
			ts.Fatalf("exit codes %v, wanted %v", got, want)
		}
	}
}

// certificates AUTHORITY INSTANCE... creates a certificate authority, AUTHORITY.pem, and
// issues NAME.pem and NAME.key for each instance, replacing existing files.
func certificates(ts *testscript.TestScript, _ bool, args []string) {
	authority, err := testcerts.New(ts.MkAbs("."), args[0])
	ts.Check(err)
	for _, name := range args[1:] {
		address, err := url.Parse(ts.Getenv("HTTP" + strings.TrimPrefix(name, "i")))
		ts.Check(err)
		ts.Check(authority.Issue(ts.MkAbs("."), name, net.ParseIP(address.Hostname())))
	}
}
