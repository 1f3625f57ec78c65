package httpapi

import (
	"net/http"
	"testing"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Guards against orders by customers, orders for unknown names, and a status that hides an
// evacuation.
func TestEvacuationRequests(t *testing.T) {
	is := is.New(t)
	server, _ := newServer(t)
	handler := server.Handler()
	const path = "/v1/data-centres/north/evacuation"
	_, refusal := send(t, handler, http.MethodPost, path, "crews-secret", nil)
	is.Equal(refusal.Code, failure.Unauthorized)
	_, refusal = send(t, handler, http.MethodPost, "/v1/data-centres/nroth/evacuation", "ops-secret", nil)
	is.Equal(refusal.Code, failure.NotFound)
	for _, test := range []struct {
		method    string
		evacuated []string
	}{{http.MethodPost, []string{"north"}}, {http.MethodDelete, nil}} {
		recorder, _ := send(t, handler, test.method, path, "ops-secret", nil)
		is.Equal(recorder.Code, http.StatusOK)
		is.Equal(server.evacuated(), test.evacuated)
	}
}
