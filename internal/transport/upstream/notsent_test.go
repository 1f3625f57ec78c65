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

// An order whose outcome was called unknown, though its connection was never opened.
func TestWhatWasSurelyNotSent(t *testing.T) {
	dial := func(call string, errno syscall.Errno) error {
		op := &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError(call, errno)}
		return &url.Error{Op: "Post", URL: "http://w/", Err: op}
	}
	cases := map[string]struct {
		err  error
		want failure.Code
	}{
		"no descriptor left":      {dial("socket", syscall.EMFILE), failure.OutOfDescriptors},
		"none left on the host":   {dial("socket", syscall.ENFILE), failure.OutOfDescriptors},
		"refused":                 {dial("connect", syscall.ECONNREFUSED), failure.Unreachable},
		"reset after it was sent": {&net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}, ""},
		"another failure":         {fmt.Errorf("timeout"), ""},
		"none":                    {nil, ""},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			unsent := NotSent(c.err, "w")
			is.Equal(unsent != nil, c.want != "")
			if unsent != nil {
				is.Equal(unsent.Code, c.want)
				is.Equal(unsent.NotRun, failure.NotRunTrue)
			}
		})
	}
}
