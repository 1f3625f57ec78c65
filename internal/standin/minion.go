package standin

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"strconv"
	"sync"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// MinionOptions describe a stand-in minion and how it misbehaves.
type MinionOptions struct {
	Announcement api.Announcement
	Servers      []string
	Token        string
	// Record receives a line for each request that was started; nil for none.
	Record *Record
	// Delay is the service time of one request.
	Delay time.Duration
	// CutEvery truncates each nth answer in the middle; 0 truncates none.
	CutEvery uint64
	// ChunkEvery sends each nth answer in chunks, without a Content-Length.
	ChunkEvery uint64
	// SwapEvery gives each nth answer the id of another request.
	SwapEvery uint64
	// StallEvery delays each nth answer by Stall.
	StallEvery uint64
	Stall      time.Duration
}

// isNth reports whether a fault that is injected at each nth request is due at this
// request.
func isNth(nth, number uint64) bool { return nth > 0 && number%nth == 0 }

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
	lastRun   time.Time
}

// NewMinion makes a minion.
func NewMinion(options MinionOptions) *Minion {
	return &Minion{
		options:   options,
		announcer: newAnnouncer(api.PathAnnounceMinion, options.Servers, options.Token),
		runs:      map[string]int{},
	}
}

// Run announces until ctx ends.
func (m *Minion) Run(ctx context.Context) {
	m.announcer.run(ctx, m.describe, func(*api.Announcement, *api.AnnounceReply) {})
}

// Leave announces that the minion accepts no new work.
func (m *Minion) Leave() { m.setLeaving(true) }

// Return announces that the minion accepts work again.
func (m *Minion) Return() { m.setLeaving(false) }

func (m *Minion) setLeaving(leaving bool) {
	m.mu.Lock()
	m.leaving = leaving
	m.mu.Unlock()
	m.announcer.announceNow()
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

// Handler serves requests, and the number of executions of each request under /runs.
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
	number, ok := m.acquireSlot(id)
	if !ok {
		writeFailure(w, failure.New(failure.Overloaded, "all slots are in use"))
		return
	}
	defer m.releaseSlot()
	time.Sleep(m.options.Delay)
	if isNth(m.options.StallEvery, number) {
		time.Sleep(m.options.Stall)
	}
	answer := fmt.Sprintf("%s did %s for %s: %s\n", m.options.Announcement.ID, r.PathValue("service"), id, body)
	if isNth(m.options.SwapEvery, number) {
		id = "another"
	}
	w.Header().Set(api.HeaderRequestID, id)
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	m.write(w, answer, number)
}

// write sends the answer with its length or in chunks, complete or truncated.
func (m *Minion) write(w http.ResponseWriter, answer string, number uint64) {
	cut := isNth(m.options.CutEvery, number)
	if isNth(m.options.ChunkEvery, number) {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		_ = http.NewResponseController(w).Flush()
		if cut {
			panic(http.ErrAbortHandler)
		}
		_, _ = io.WriteString(w, answer[len(answer)/2:])
		return
	}
	w.Header().Set("Content-Length", strconv.Itoa(len(answer)))
	if cut {
		answer = answer[:len(answer)/2]
	}
	_, _ = io.WriteString(w, answer)
}

// LastRun returns the start time of the newest request.
func (m *Minion) LastRun() time.Time {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.lastRun
}

// Runs returns the number of executions of each request, by request id.
func (m *Minion) Runs() map[string]int {
	m.mu.Lock()
	defer m.mu.Unlock()
	return maps.Clone(m.runs)
}

func (m *Minion) acquireSlot(id string) (uint64, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.busy >= m.options.Announcement.Slots {
		return 0, false
	}
	m.busy++
	m.served++
	m.runs[id]++
	m.lastRun = time.Now()
	m.options.Record.writeOnce("request", id, m.served)
	return m.served, true
}

func (m *Minion) releaseSlot() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.busy--
}

func (m *Minion) listRuns(w http.ResponseWriter, _ *http.Request) {
	for id, count := range m.Runs() {
		fmt.Fprintln(w, id, count)
	}
}
