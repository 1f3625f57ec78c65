package httpapi

import (
	"net/http"

	"github.com/gorilla/mux"
)

// orderEvacuation evacuates a data centre (POST) or readmits it (DELETE). It answers once
// the order is committed.
func (s *Server) orderEvacuation(w http.ResponseWriter, r *http.Request, _ string) {
	name, order := mux.Vars(r)["id"], s.evacuations.Start
	if r.Method == http.MethodDelete {
		order = s.evacuations.Finish
	}
	if err := order(r.Context(), name); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}

// dataCentres lists the known data centres. It fails if the state of this instance is
// stale: the operator would act on orders that are no longer in force.
func (s *Server) dataCentres(w http.ResponseWriter, _ *http.Request, _ string) {
	if err := s.control.CheckFresh(); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, s.evacuations.List())
}

// evacuated returns the names of the data centres that are evacuated now.
func (s *Server) evacuated() []string {
	var names []string
	for _, record := range s.control.State().Evacuations() {
		if record.Active {
			names = append(names, record.DataCentre)
		}
	}
	return names
}
