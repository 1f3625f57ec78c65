package standin

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// An upstream that stays with an instance which is cut off: it turns to the next one
// when the answer asks for that.
func TestAnnouncerTurnsFromAnInstanceThatIsCutOff(t *testing.T) {
	is := is.New(t)
	heard := make(chan string)
	instance := func(name string, reply api.AnnounceReply) string {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			select {
			case heard <- name:
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
		is.Equal(<-heard, name)
	}
	cancel()
	<-ended
}
