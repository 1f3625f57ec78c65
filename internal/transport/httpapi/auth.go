package httpapi

import (
	"crypto/sha256"
	"crypto/subtle"
	"net/http"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/arrival"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// authenticatedHandler is a handler that gets the name of the caller: a customer or an
// operator.
type authenticatedHandler func(w http.ResponseWriter, r *http.Request, caller string)

// allCustomers is the caller name passed for an operator where a customer is expected.
const allCustomers = ""

func (s *Server) requireCustomer(handle authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		customer, ok := callerOf(r, s.settings.Customers)
		if !ok {
			writeError(w, unauthorized())
			return
		}
		handle(w, r, customer)
	}
}

func (s *Server) requireOperator(handle authenticatedHandler) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		operator, ok := callerOf(r, s.settings.Operators)
		if !ok {
			writeError(w, unauthorized())
			return
		}
		handle(w, r, operator)
	}
}

// requireTimely refuses orders that arrived so long before this process read them that their callers have moved on: a newer
// one may have replaced them.
func requireTimely(handle authenticatedHandler) authenticatedHandler {
	return func(w http.ResponseWriter, r *http.Request, operator string) {
		now := time.Now()
		if err := arrival.Check(arrival.Time(r.Context(), now), now); err != nil && r.Method != http.MethodGet {
			writeError(w, err)
			return
		}
		handle(w, r, operator)
	}
}

// requireCustomerOrOperator passes the handler allCustomers for an operator.
func (s *Server) requireCustomerOrOperator(handle authenticatedHandler) http.HandlerFunc {
	customers := s.requireCustomer(handle)
	return func(w http.ResponseWriter, r *http.Request) {
		if _, ok := callerOf(r, s.settings.Operators); ok {
			handle(w, r, allCustomers)
			return
		}
		customers(w, r)
	}
}

// requireUpstream checks the token of upstreams if one is configured. Without it any
// process that can reach the port could announce itself and be sent work.
func (s *Server) requireUpstream(handle http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		expected := s.settings.Upstreams.Token
		got := bearerHash(r)
		if expected != nil && subtle.ConstantTimeCompare(got[:], expected) != 1 {
			writeError(w, unauthorized())
			return
		}
		handle(w, r)
	}
}

func unauthorized() *failure.Error {
	return failure.New(failure.Unauthorized, "missing or unknown token")
}

// bearerHash returns the SHA-256 hash of the request's bearer token.
func bearerHash(r *http.Request) [sha256.Size]byte {
	token, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	return sha256.Sum256([]byte(token))
}

// callerOf returns the name whose token hash matches the request's token. It compares
// all stored hashes, each in constant time, so that response times reveal nothing about
// them.
func callerOf(r *http.Request, hashes map[string][]byte) (caller string, ok bool) {
	got := bearerHash(r)
	for name, hash := range hashes {
		if subtle.ConstantTimeCompare(got[:], hash) == 1 {
			caller, ok = name, true
		}
	}
	return caller, ok
}
