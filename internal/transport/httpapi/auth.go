package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// named is a handler that knows who asks.
type named func(w http.ResponseWriter, r *http.Request, who string)

// everyCustomer stands for an operator where a customer is expected.
const everyCustomer = ""

func (s *Server) asCustomer(handle named) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		customer, ok := holder(r, s.settings.Customers)
		if !ok {
			writeError(w, unauthorized())
			return
		}
		handle(w, r, customer)
	}
}

func (s *Server) asOperator(handle named) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := holder(r, s.settings.Operators)
		if !ok {
			writeError(w, unauthorized())
			return
		}
		handle(w, r, operator)
	}
}

// asAny serves a customer, or an operator as everyCustomer.
func (s *Server) asAny(handle named) http.HandlerFunc {
	customers := s.asCustomer(handle)
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := holder(r, s.settings.Operators); ok {
			handle(w, r, everyCustomer)
			return
		}
		customers(w, r)
	}
}

// asUpstream wants the upstreams' token where one is set. Without it any
// process that reaches the port could announce itself and be sent work.
func (s *Server) asUpstream(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		wanted := s.settings.Upstreams.Token
		given := bearer(r)
		if wanted != nil && subtle.ConstantTimeCompare(given[:], wanted) != 1 {
			writeError(w, unauthorized())
			return
		}
		handle(w, r)
	}
}

func unauthorized() *failure.Error { return failure.New(failure.Unauthorized, "no such token") }

// bearer gives the hash of the token that came.
func bearer(r *http.Request) [sha256.Size]byte {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return sha256.Sum256([]byte(token))
}

// holder finds whose token came. Every stored hash is compared, each in
// constant time, so that timing tells nothing of which came near.
func holder(r *http.Request, hashes map[string][]byte) (who string, ok bool) {
	given := bearer(r)
	for name, hash := range hashes {
		if subtle.ConstantTimeCompare(given[:], hash) == 1 {
			who, ok = name, true
		}
	}
	return who, ok
}
