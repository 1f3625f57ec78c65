package httpapi

import (
	"net/http"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// changeMembers changes who keeps the control log. It may be repeated: what is
// done already is passed over.
func (s *Server) changeMembers(w http.ResponseWriter, r *http.Request, _ string) {
	change := api.MembersChange{}
	if err := readJSON(r, &change); err != nil {
		writeError(w, err)
		return
	}
	if change.Add == "" && change.Remove == "" {
		writeError(w, failure.New(failure.BadRequest, "neither add nor remove is given"))
		return
	}
	if err := s.control.ChangeMembers(r.Context(), &peerpb.ChangeMembers{Add: change.Add, Remove: change.Remove}); err != nil {
		writeError(w, err)
		return
	}
	writeJSON(w, struct{}{})
}
