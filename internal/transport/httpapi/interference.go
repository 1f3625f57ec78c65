package httpapi

import (
	"net/http"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// interference answers which classes slow down which others, as the leader estimates.
func (s *Server) interference(w http.ResponseWriter, r *http.Request, _ string) {
	observed, err := s.explainer.Interference(r.Context())
	if err != nil {
		writeError(w, err)
		return
	}
	answer := api.Interference{Enabled: observed.GetEnabled(), Pairs: []api.InterferencePair{}}
	now := time.Now().UnixMilli()
	for _, pair := range observed.GetPairs() {
		answer.Pairs = append(answer.Pairs, describePair(pair, now))
	}
	writeJSON(w, answer)
}

func describePair(pair *peerpb.InterferencePair, nowMs int64) api.InterferencePair {
	described := api.InterferencePair{
		Class: pair.Victim, Beside: pair.Aggressor, Slowdown: pair.Slowdown, Error: pair.Error, Interferes: pair.Interferes,
		Samples: pair.Samples, Workers: pair.Workers, LastSeenSeconds: age(pair.LastSeenMs, nowMs),
	}
	if pair.Cpu >= 0 {
		described.CPU = &pair.Cpu
	}
	if pair.CpuWithout >= 0 {
		described.CPUWithout = &pair.CpuWithout
	}
	if pair.Interferes {
		described.AgeSeconds = age(pair.SinceMs, nowMs)
	}
	return described
}

// age returns seconds since a time in Unix milliseconds, never negative: clocks differ.
func age(ms, nowMs int64) float64 { return float64(max(nowMs-ms, 0)) / 1000 }
