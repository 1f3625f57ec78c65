package upstream

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Serve sends a request to a minion and reads its complete answer, or streams a large one
// to the call's sink. A failure says that the request did not run only if no byte can
// have reached the minion, or if the minion says so.
//
// The method is POST without an Idempotency-Key header, because that header allows Go's
// transport to resend the request by itself. It then resends only if nothing could be
// written on a reused connection.
func (c *Client) Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error) {
	x := newExchange(ctx, call, address)
	defer x.end()
	answer, err := x.run(c.http)
	if err != nil && failure.From(err).NotRun == failure.NotRunTrue {
		x.setDispatched(false)
	}
	return answer, err
}

// exchange is one request and its answer on one connection.
type exchange struct {
	call    *api.ServeCall
	address string
	// caller is the caller's context; ctx is that of the exchange, which outlives the
	// caller's by call.LateAnswerWindow if the request has been dispatched.
	caller     context.Context
	ctx        context.Context
	cancel     context.CancelFunc
	dispatched atomic.Bool
	stopWatch  func() bool
	timer      atomic.Pointer[time.Timer]
}

func newExchange(caller context.Context, call *api.ServeCall, address string) *exchange {
	x := &exchange{call: call, address: address, caller: caller}
	x.ctx, x.cancel = context.WithCancel(context.WithoutCancel(caller))
	x.stopWatch = context.AfterFunc(caller, x.onCallerDone)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.setDispatched(true) }}
	x.ctx = httptrace.WithClientTrace(x.ctx, trace)
	return x
}

func (x *exchange) end() {
	x.stopWatch()
	if timer := x.timer.Load(); timer != nil {
		timer.Stop()
	}
	x.cancel()
}

// onCallerDone cancels the exchange: at once if the request has not been dispatched, else
// after the time that a late answer is allowed.
func (x *exchange) onCallerDone() {
	if !x.dispatched.Load() {
		x.cancel()
		return
	}
	x.timer.Store(time.AfterFunc(x.call.LateAnswerWindow, x.cancel))
}

func (x *exchange) setDispatched(dispatched bool) {
	x.dispatched.Store(dispatched)
	if x.call.OnDispatch != nil {
		x.call.OnDispatch(dispatched)
	}
}

func (x *exchange) run(client *http.Client) (*api.Answer, error) {
	if err := x.caller.Err(); err != nil {
		return nil, failure.Wrap(failure.DeadlinePassed, err, "not sent to %s", x.address)
	}
	request, err := x.request()
	if err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "address %s", x.address)
	}
	response, err := client.Do(request)
	if err != nil {
		return nil, x.sendFailure(err)
	}
	defer response.Body.Close()
	return x.answer(response)
}

func (x *exchange) request() (*http.Request, error) {
	url := "http://" + x.address + api.PathServe + x.call.Service
	request, err := http.NewRequestWithContext(x.ctx, http.MethodPost, url, bytes.NewReader(x.call.Body))
	if err != nil {
		return nil, err
	}
	request.Header.Set(api.HeaderRequestID, x.call.ID)
	if deadline, ok := x.caller.Deadline(); ok {
		api.SetDeadline(request.Header, time.Until(deadline))
	}
	return request, nil
}

// sendFailure distinguishes requests that certainly did not run from all others. A request
// did not run if it got no connection or if a dial failed: a dial after the first
// connection means that nothing could be written on that one, which was reused from an
// earlier request.
func (x *exchange) sendFailure(err error) *failure.Error {
	expired := x.ctx.Err() != nil
	switch {
	case x.dispatched.Load() && !dialFailed(err) && expired:
		return failure.Ran(failure.DeadlinePassed, failure.NotRunUnknown, err, "send to %s", x.address)
	case x.dispatched.Load() && !dialFailed(err):
		return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "send to %s", x.address)
	case expired:
		return failure.Wrap(failure.DeadlinePassed, err, "no connection to %s", x.address)
	}
	return failure.Wrap(failure.Unreachable, err, "no connection to %s", x.address)
}

// answer checks that the answer belongs to this request before any of it is passed on. If
// a minion mixed up its connections, one caller would otherwise get another's answer.
func (x *exchange) answer(response *http.Response) (*api.Answer, error) {
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(api.HeaderNotRun) == string(failure.NotRunTrue) {
		return nil, failure.New(failure.Overloaded, "%s has no free slot", x.address)
	}
	if response.Header.Get(api.HeaderRequestID) != x.call.ID {
		return nil, failure.Ran(failure.WrongAnswer, failure.NotRunUnknown, nil, "%s answered another request", x.address)
	}
	length, err := declaredLength(response)
	if err != nil {
		return nil, failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, err, "answer of %s", x.address)
	}
	answer := &api.Answer{Status: response.StatusCode, ContentType: response.Header.Get("Content-Type"), Length: length}
	if length <= x.call.MaxBufferedBytes {
		buffer := bytes.Buffer{}
		buffer.Grow(int(max(length, 0)) + bytes.MinRead)
		if _, err := buffer.ReadFrom(io.LimitReader(response.Body, x.call.MaxBufferedBytes+1)); err != nil {
			return nil, x.readFailure(err)
		}
		answer.Body = buffer.Bytes()
	}
	if length <= x.call.MaxBufferedBytes && int64(len(answer.Body)) <= x.call.MaxBufferedBytes {
		return answer, x.checkLength(length, int64(len(answer.Body)))
	}
	return x.stream(answer, response.Body)
}

// declaredLength returns the length in bytes that the body must have, or -1 if it uses
// chunked encoding. An answer that ends when its connection closes is rejected, because
// truncation could not be detected.
func declaredLength(response *http.Response) (int64, error) {
	length := response.ContentLength
	if text := response.Header.Get(api.HeaderBodyLength); text != "" {
		declared, err := strconv.ParseInt(text, 10, 64)
		if err != nil || declared < 0 || (length >= 0 && length != declared) {
			return 0, failure.New(failure.TruncatedAnswer, "body length %q is invalid or does not match Content-Length %d", text, length)
		}
		return declared, nil
	}
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if length < 0 && !chunked {
		return 0, failure.New(failure.TruncatedAnswer, "answer has neither a length nor chunked encoding")
	}
	return length, nil
}

func (x *exchange) checkLength(declared, got int64) error {
	if declared >= 0 && declared != got {
		return failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, nil, "got %d of %d bytes from %s", got, declared, x.address)
	}
	return nil
}

func (x *exchange) readFailure(err error) error {
	if x.ctx.Err() != nil {
		return failure.Ran(failure.DeadlinePassed, failure.NotRunFalse, err, "answer of %s", x.address)
	}
	return failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, err, "answer of %s", x.address)
}

// stream passes on the buffered part of the body and then the rest while it arrives. Once
// the caller has a part of the answer, truncation is reported in the answer, so that the
// caller's connection is aborted, and not as an error, which could be retried.
func (x *exchange) stream(answer *api.Answer, rest io.Reader) (*api.Answer, error) {
	if x.call.Sink == nil {
		return nil, failure.Ran(failure.TooLarge, failure.NotRunFalse, nil, "answer of %s is over %d bytes", x.address, x.call.MaxBufferedBytes)
	}
	body, ok := x.call.Sink.Begin(answer)
	if !ok {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, nil, "the caller's request has ended; answer of %s discarded", x.address)
	}
	answer.Streamed = true
	written, err := io.Copy(body, io.MultiReader(bytes.NewReader(answer.Body), rest))
	answer.Body = nil
	if err == nil {
		err = x.checkLength(answer.Length, written)
	}
	if err != nil {
		answer.TruncationErr = failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, err, "answer of %s", x.address)
	}
	return answer, nil
}

// DialFailure returns the failure of an exchange whose connection was never opened, so that
// nothing was sent, or nil for any other error. Its code is OutOfDescriptors if the dial
// failed for lack of file descriptors, else Unreachable.
func DialFailure(err error, address string) *failure.Error {
	if !dialFailed(err) {
		return nil
	}
	code := failure.Unreachable
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		code = failure.OutOfDescriptors
	}
	return failure.Wrap(code, err, "dial %s", address)
}

// dialFailed reports whether the error is that of a failed dial.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
