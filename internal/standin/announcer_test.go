package standin

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Guards against an upstream that keeps announcing to a partitioned instance: it must
// switch to the next instance when the reply asks for that.
func TestAnnouncerSwitchesFromIsolatedInstance(t *testing.T) {
	is := is.New(t)
	received := make(chan string)
	instance := func(name string, reply api.AnnounceReply) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			// The context ends with the client only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			select {
			case received <- name:
			case <-r.Context().Done():
			}
			_ = json.NewEncoder(w).Encode(reply)
		}))
		t.Cleanup(server.Close)
		return server.URL
	}
	servers := []string{instance("cut off", api.AnnounceReply{TryOther: true}), instance("well", api.AnnounceReply{})}
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		a := newAnnouncer(api.PathAnnounceWorker, servers, "")
		a.run(ctx, func() *api.Announcement { return &api.Announcement{} }, func(*api.Announcement, *api.AnnounceReply) {})
	}()
	for _, name := range []string{"cut off", "well", "well"} {
		is.Equal(<-received, name)
	}
	cancel()
	<-ended
}
