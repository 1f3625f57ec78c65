package upstream

import (
	"fmt"
	"net"
	"net/url"
	"os"
	"syscall"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// A command whose connection was never opened must be reported as not run, and not as one
// with an unknown outcome.
func TestNotSent(t *testing.T) {
	dial := func(call string, errno syscall.Errno) error {
		op := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		return &url.Error{Op: "Post", URL: "http://w/", Err: op}
	}
	cases := map[string]struct {
		err  error
		want failure.Code
	}{
		"no descriptor left":        {dial("socket", syscall.EMFILE), failure.OutOfDescriptors},
		"no descriptor on the host": {dial("socket", syscall.ENFILE), failure.OutOfDescriptors},
		"refused":                   {dial("connect", syscall.ECONNREFUSED), failure.Unreachable},
		"reset after it was sent":   {&net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}, ""},
		"another failure":           {fmt.Errorf("timeout"), ""},
		"none":                      {nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unsent := DialFailure(c.err, "w")
			is.Equal(unsent != nil, c.want != "")
			if unsent != nil {
				is.Equal(unsent.Code, c.want)
				is.Equal(unsent.NotRun, failure.NotRunTrue)
			}
		})
	}
}
