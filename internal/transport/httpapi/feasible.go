package httpapi

import (
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
)

// checkFeasible is filled in once package scheduling can tell.
func (s *Server) checkFeasible([]*controlpb.Item, bool) error { return nil }
