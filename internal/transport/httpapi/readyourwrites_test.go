package httpapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// follower has commands accepted by a leader and applies them after lag.
type follower struct {
	*control.PublishedState
	lag time.Duration
}

func (f *follower) CheckFresh() error { return nil }
func (f *follower) Leader() string    { return "i2" }
func (f *follower) IsLeader() bool    { return false }

func (f *follower) Propose(_ context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	next, result := f.State().Apply(f.State().Index()+1, command)
	time.AfterFunc(f.lag, func() { f.Publish(next) })
	return result, nil
}

// A caller submits a job at a follower and reads it back from the same instance at once.
// The leader has accepted the job, but the follower applies its entry 80 ms later;
// without a wait the job would not be found.
func TestSubmittedJobIsReadableAtSameInstance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, l := newServer(t)
		f := &follower{PublishedState: control.NewPublishedState(), lag: 80 * time.Millisecond}
		f.Publish(l.state)
		s.control = f
		is.Equal(jobCall(s, http.MethodPost, api.PathJobs, `{"class":"survey","key":"k"}`), http.StatusOK)
		is.Equal(jobCall(s, http.MethodGet, api.PathJobs+"/crews:k", ""), http.StatusOK)
	})
}

// A follower that does not catch up still answers: the job is accepted, and delaying the
// answer further would not change that.
func TestSubmitIsAnsweredWhenFollowerLags(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s, l := newServer(t)
		f := &follower{PublishedState: control.NewPublishedState(), lag: time.Hour}
		f.Publish(l.state)
		s.control = f
		began := time.Now()
		is.Equal(jobCall(s, http.MethodPost, api.PathJobs, `{"class":"survey","key":"k"}`), http.StatusOK)
		is.Equal(time.Since(began), applyTimeout)
	})
}

func jobCall(s *Server, method, path, body string) int {
	request := httptest.NewRequest(method, path, strings.NewReader(body))
	request.Header.Set("Authorization", "Bearer crews-secret")
	recorder := httptest.NewRecorder()
	s.Handler().ServeHTTP(recorder, request)
	return recorder.Code
}

var _ control.Log = (*follower)(nil)
