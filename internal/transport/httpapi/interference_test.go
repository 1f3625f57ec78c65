package httpapi

import (
	"encoding/json"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
)

// Operators see the pairs; callers don't, since they name other customers' classes. An
// unknown share of cpu must not look like 0 or less.
func TestInterferenceIsShownToOperators(t *testing.T) {
	is := is.New(t)
	server, _ := newServer(t)
	recorder, _ := send(t, server.Handler(), http.MethodGet, api.PathInterference, "ops-secret", nil)
	is.Equal(recorder.Code, http.StatusOK)
	var answer api.Interference
	is.NoErr(json.Unmarshal(recorder.Body.Bytes(), &answer))
	is.Equal(len(answer.Pairs), 1)
	is.Equal(answer.Pairs[0].Class, "maps/2")
	is.Equal(*answer.Pairs[0].CPU, 0.6)
	is.True(answer.Pairs[0].CPUWithout == nil)
	is.True(answer.Pairs[0].AgeSeconds > 0)
	recorder, _ = send(t, server.Handler(), http.MethodGet, api.PathInterference, "crews-secret", nil)
	is.True(recorder.Code != http.StatusOK)
}
