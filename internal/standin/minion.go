package standin

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// MinionOptions describe a stand-in minion and how it misbehaves.
type MinionOptions struct {
	Announcement api.Announcement
	Servers      []string
	// Delay is how long one request takes.
	Delay time.Duration
	// CutEvery cuts each nth answer in the middle; 0 cuts none.
	CutEvery uint64
}

// Minion is a stand-in minion. It records every execution by request id.
type Minion struct {
	options   MinionOptions
	announcer *announcer
	mu        sync.Mutex
	busy      uint32
	served    uint64
	leaving   bool
	version   uint64
	runs      map[string]int
}

// NewMinion makes a minion.
func NewMinion(options MinionOptions) *Minion {
	return &Minion{
		options:   options,
		announcer: newAnnouncer(api.PathAnnounceMinion, options.Servers),
		runs:      map[string]int{},
	}
}

// Run announces until ctx ends.
func (m *Minion) Run(ctx context.Context) {
	m.announcer.run(ctx, m.describe, func(*api.Announcement, *api.AnnounceReply) {})
}

// Leave announces that no new work should come.
func (m *Minion) Leave() {
	m.mu.Lock()
	m.leaving = true
	m.mu.Unlock()
	m.announcer.hurry()
}

func (m *Minion) describe() *api.Announcement {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.version++
	announcement := m.options.Announcement
	announcement.Version = m.version
	announcement.Leaving = m.leaving
	announcement.Busy = m.busy
	return &announcement
}

// Handler serves requests, and the record of executions under /runs.
func (m *Minion) Handler() http.Handler {
	routes := http.NewServeMux()
	routes.HandleFunc("POST "+api.PathServe+"{service}", m.serve)
	routes.HandleFunc("GET /runs", m.listRuns)
	return routes
}

func (m *Minion) serve(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(api.HeaderRequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		writeFailure(w, failure.Wrap(failure.BadRequest, err, "body"))
		return
	}
	number, ok := m.begin(id)
	if !ok {
		writeFailure(w, failure.New(failure.Overloaded, "every slot is taken"))
		return
	}
	defer m.finish()
	time.Sleep(m.options.Delay)
	answer := fmt.Sprintf("%s did %s for %s: %s\n", m.options.Announcement.ID, r.PathValue("service"), id, body)
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if m.options.CutEvery > 0 && number%m.options.CutEvery == 0 {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

func (m *Minion) begin(id string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy >= m.options.Announcement.Slots {
		return 0, false
	}
	m.busy++
	m.served++
	m.runs[id]++
	return m.served, true
}

func (m *Minion) finish() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy--
}

func (m *Minion) listRuns(w http.ResponseWriter, _ *http.Request) {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, count := range m.runs {
		fmt.Fprintln(w, id, count)
	}
}
