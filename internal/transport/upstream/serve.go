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

// Serve sends one request to a minion and reads its whole answer, or streams a
// large one to the call's sink. A failure says "not run" only where no byte can
// have reached the minion, or where the minion says so.
//
// The method is POST and no Idempotency-Key goes along: Go's transport would
// take that header as leave to send the request again on its own. What is left
// to it is a reused connection on which nothing could be written.
func (c *Client) Serve(ctx context.Context, address string, call *api.ServeCall) (*api.Answer, error) {
	x := newExchange(ctx, call, address)
	defer x.end()
	answer, err := x.run(c.http)
	if err != nil && failure.From(err).NotRun == failure.NotRunTrue {
		x.tell(false)
	}
	return answer, err
}

// exchange is one request and its answer on one connection.
type exchange struct {
	call    *api.ServeCall
	address string
	// caller is the caller's wait; ctx is that of the exchange, which goes on
	// for call.Late after it once the request has been dispatched.
	caller     context.Context
	ctx        context.Context
	cancel     context.CancelFunc
	dispatched atomic.Bool
	unhook     func() bool
	timer      atomic.Pointer[time.Timer]
}

func newExchange(caller context.Context, call *api.ServeCall, address string) *exchange {
	x := &exchange{call: call, address: address, caller: caller}
	x.ctx, x.cancel = context.WithCancel(context.WithoutCancel(caller))
	x.unhook = context.AfterFunc(caller, x.callerGone)
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { x.tell(true) }}
	x.ctx = httptrace.WithClientTrace(x.ctx, trace)
	return x
}

func (x *exchange) end() {
	x.unhook()
	if timer := x.timer.Load(); timer != nil {
		timer.Stop()
	}
	x.cancel()
}

// callerGone ends the exchange: at once, or once a late answer is too late.
func (x *exchange) callerGone() {
	if !x.dispatched.Load() {
		x.cancel()
		return
	}
	x.timer.Store(time.AfterFunc(x.call.Late, x.cancel))
}

func (x *exchange) tell(at bool) {
	x.dispatched.Store(at)
	if x.call.Dispatched != nil {
		x.call.Dispatched(at)
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

// sendFailure tells a request that surely did not run from everything later.
// It did not where no connection was had, nor where a dial failed: a dial after
// a connection means that on the first, left over from an earlier request,
// nothing could be written.
func (x *exchange) sendFailure(err error) *failure.Error {
	over := x.ctx.Err() != nil
	switch {
	case x.dispatched.Load() && !dialFailed(err) && over:
		return failure.Ran(failure.DeadlinePassed, failure.NotRunUnknown, err, "send to %s", x.address)
	case x.dispatched.Load() && !dialFailed(err):
		return failure.Ran(failure.OutcomeUnknown, failure.NotRunUnknown, err, "send to %s", x.address)
	case over:
		return failure.Wrap(failure.DeadlinePassed, err, "no connection to %s", x.address)
	}
	return failure.Wrap(failure.Unreachable, err, "no connection to %s", x.address)
}

// answer checks that the answer belongs to this request before a byte of it is
// passed on. A minion that mixes up its connections would otherwise give one
// caller's answer to another.
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
	if length <= x.call.Hold {
		held := bytes.Buffer{}
		held.Grow(int(max(length, 0)) + bytes.MinRead)
		if _, err := held.ReadFrom(io.LimitReader(response.Body, x.call.Hold+1)); err != nil {
			return nil, x.readFailure(err)
		}
		answer.Body = held.Bytes()
	}
	if length <= x.call.Hold && int64(len(answer.Body)) <= x.call.Hold {
		return answer, x.checkLength(length, int64(len(answer.Body)))
	}
	return x.stream(answer, response.Body)
}

// declaredLength is the length that the answer must have, or -1 where chunks
// mark its end. One that ends where its connection does could be cut anywhere
// and still look whole, so it is refused.
func declaredLength(response *http.Response) (int64, error) {
	length := response.ContentLength
	if text := response.Header.Get(api.HeaderBodyLength); text != "" {
		declared, err := strconv.ParseInt(text, 10, 64)
		if err != nil || declared < 0 || (length >= 0 && length != declared) {
			return 0, failure.New(failure.TruncatedAnswer, "lengths differ: %q and %d", text, length)
		}
		return declared, nil
	}
	chunked := len(response.TransferEncoding) > 0 && response.TransferEncoding[0] == "chunked"
	if length < 0 && !chunked {
		return 0, failure.New(failure.TruncatedAnswer, "neither a length nor chunks mark the end")
	}
	return length, nil
}

func (x *exchange) checkLength(declared, got int64) error {
	if declared >= 0 && declared != got {
		return failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, nil, "%d bytes of %d from %s", got, declared, x.address)
	}
	return nil
}

func (x *exchange) readFailure(err error) error {
	if x.ctx.Err() != nil {
		return failure.Ran(failure.DeadlinePassed, failure.NotRunFalse, err, "answer of %s", x.address)
	}
	return failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, err, "answer of %s", x.address)
}

// stream passes on what was held and then the rest while it arrives. From the
// first byte on the caller has a part of the answer, so a cut is reported in
// the answer, for the caller's connection to be broken off, and not as an
// error that another try might mend.
func (x *exchange) stream(answer *api.Answer, rest io.Reader) (*api.Answer, error) {
	if x.call.Sink == nil {
		return nil, failure.Ran(failure.TooLarge, failure.NotRunFalse, nil, "answer of %s is over %d bytes", x.address, x.call.Hold)
	}
	body, ok := x.call.Sink.Begin(answer)
	if !ok {
		return nil, failure.Ran(failure.OutcomeUnknown, failure.NotRunFalse, nil, "the caller no longer waits for %s", x.address)
	}
	answer.Streamed = true
	written, err := io.Copy(body, io.MultiReader(bytes.NewReader(answer.Body), rest))
	answer.Body = nil
	if err == nil {
		err = x.checkLength(answer.Length, written)
	}
	if err != nil {
		answer.Cut = failure.Ran(failure.TruncatedAnswer, failure.NotRunFalse, err, "answer of %s", x.address)
	}
	return answer, nil
}

// NotSent gives the failure of an exchange whose connection was never opened, so that
// nothing of it has left; nil for any other.
func NotSent(err error, address string) *failure.Error {
	if !dialFailed(err) {
		return nil
	}
	code := failure.Unreachable
	if errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE) {
		code = failure.OutOfDescriptors
	}
	return failure.Wrap(code, err, "dial %s", address)
}

// dialFailed tells a connection that was never opened.
func dialFailed(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}
