package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	beatEvery     = 1500 * time.Millisecond
	maxHold       = 10 * time.Second
	drainMs       = 2000
	gangTimeout   = 3 * time.Second
	tick          = 10 * time.Millisecond
	stopTime      = 100 * time.Millisecond
	beatTimeout   = time.Second
	unconfirmedIn = 4 * time.Second
)

// cluster holds what the minions of a case share: gangs, and what runs where.
type cluster struct {
	record *record
	mu     sync.Mutex
	// work is the work of a task of a job, by the specification.
	work func(specification string) time.Duration
	// gangSize returns the number of members if the step is a gang, else 0.
	gangSize func(step string) int
	// sayBorn is set where minions say when they have started.
	sayBorn bool
	// fails reports whether a run ends as failed after its work.
	fails func(minion, task string, run uint64) bool
	// present are the members of gangs that are there, by step and run.
	present map[string]map[string]*active
	// runs are the runs of each task that are active on minions that are up.
	runs map[string]map[string]uint64
	// ended are the ends of each task.
	ended      map[string][]ended
	violations []string
}

type ended struct {
	minion string
	run    uint64
	how    string
	noted  bool
}

func newCluster(r *record) *cluster {
	return &cluster{
		record: r, present: map[string]map[string]*active{}, runs: map[string]map[string]uint64{}, ended: map[string][]ended{},
		work:     func(string) time.Duration { return 2 * time.Second },
		gangSize: func(string) int { return 0 },
		fails:    func(string, string, uint64) bool { return false },
	}
}

func (c *cluster) violate(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	c.violations = append(c.violations, text)
	c.record.add("RULE BROKEN: %s", text)
}

// broken returns the broken rules seen so far.
func (c *cluster) broken() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.violations)
}

// starts returns how many runs of the task have begun.
func (c *cluster) startsOf(prefix string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, runs := range c.runs {
		if strings.HasPrefix(task, prefix) {
			n += len(runs)
		}
	}
	for task, ends := range c.ended {
		if strings.HasPrefix(task, prefix) {
			n += len(ends)
		}
	}
	return n
}

// runningOf returns the active runs of tasks with the prefix.
func (c *cluster) runningOf(prefix string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, runs := range c.runs {
		if strings.HasPrefix(task, prefix) {
			n += len(runs)
		}
	}
	return n
}

// active is a run that is active on a minion.
type active struct {
	task, step, specification string
	run                       uint64
	minion                    *minion
	began, arrived            time.Time
	work                      time.Duration
	gang                      int
	stopping                  bool
}

// percent is the share of the work that is done.
func (a *active) percent(now time.Time) int64 {
	if a.began.IsZero() {
		return 0
	}
	return min(99, int64(100*now.Sub(a.began)/max(a.work, 1)))
}

type endRow struct {
	number uint64
	task   string
	run    uint64
	how    string
	at     time.Time
}

// minion is one life of a minion.
type minion struct {
	cluster *cluster
	id      string
	zone    string
	service string
	address string
	rack    string
	began   time.Time
	// born is the time of its start in Unix ms; 0 where minions don't say it.
	born    int64
	server  *http.Server
	control func() []string
	done    chan struct{}

	mu       sync.Mutex
	token    uint64
	deadline int64
	active   map[string]*active
	retired  map[string]uint64
	ends     []endRow
	lastEnd  uint64
	acked    uint64
	state    string
	confirm  time.Time
	// home is the address that confirmed the newest check-in.
	home string
	// cut drops everything that arrives and leaves; deaf drops only what arrives: orders, and
	// the answers to what the minion sends.
	cut, deaf bool
	gone      bool
	lapsedAt  time.Time
	// deregistered is set when the minion begins to deregister.
	deregistered bool
	sequence     int
}

func startMinion(c *cluster, id, zone, rack, service string, control func() []string) (*minion, error) {
	return startMinionAt(c, "127.0.0.1:0", id, zone, rack, service, control)
}

// startMinionAt starts a minion at an address.
func startMinionAt(c *cluster, address, id, zone, rack, service string, control func() []string) (*minion, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	m := &minion{
		cluster: c, id: id, zone: zone, rack: rack, service: service, address: listener.Addr().String(), began: time.Now(),
		control: control, done: make(chan struct{}), active: map[string]*active{}, retired: map[string]uint64{}, state: "ready",
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pinewinch/run-start", m.order(m.start))
	mux.HandleFunc("POST /pinewinch/run-stop", m.order(m.stop))
	mux.HandleFunc("POST /pinewinch/hold", m.order(m.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.server = &http.Server{Handler: mux}
	if c.sayBorn {
		m.born = m.began.UnixMilli()
	}
	go func() { _ = m.server.Serve(listener) }()
	go m.beats()
	go m.ticks()
	c.record.add("%s joins at %s, zone %s, rack %s", id, m.address, zone, rack)
	return m, nil
}

// withBorn adds the time of the minion's start to what it says, where it says it.
func (m *minion) withBorn(fields map[string]any) map[string]any {
	if m.born != 0 {
		fields["born"] = m.born
	}
	return fields
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() + 1000 }

type orderBody struct {
	Task          string `json:"task"`
	Run           uint64 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	Token         uint64 `json:"fencingToken"`
	AckCursor     uint64 `json:"ackCursor"`
	WaitMs        int64  `json:"waitMs"`
	Checkpoint    string `json:"checkpoint"`
}

func (m *minion) order(handle func(http.ResponseWriter, *http.Request, *orderBody)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Expect-Instance") != m.id {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		body := &orderBody{}
		if json.NewDecoder(r.Body).Decode(body) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		if m.isCut() || m.isDeaf() {
			m.silence(r)
		}
		handle(w, r, body)
	}
}

func (m *minion) isCut() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.cut
}

func (m *minion) isDeaf() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deaf
}

// setDeaf cuts the minion off in one direction: what it sends arrives, but nothing reaches it.
func (m *minion) setDeaf(deaf bool) {
	m.mu.Lock()
	m.deaf = deaf
	m.mu.Unlock()
	m.cluster.record.add("%s cut off in one direction (nothing reaches it): %t", m.id, deaf)
}

func (m *minion) setCut(cut bool) {
	m.mu.Lock()
	m.cut = cut
	m.mu.Unlock()
	m.cluster.record.add("%s cut off: %t", m.id, cut)
}

// silence leaves a request without an answer.
func (m *minion) silence(r *http.Request) {
	select {
	case <-r.Context().Done():
	case <-m.done:
	}
	panic(http.ErrAbortHandler)
}

func (m *minion) refuse(w http.ResponseWriter, reason string) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusConflict)
	fmt.Fprintf(w, `{"clockMs":%d,"reason":%q}`, m.clock(), reason)
}

func (m *minion) fenced(token uint64) bool {
	if token < m.token {
		return true
	}
	m.token = token
	return false
}

// grant extends the lease; it never shortens.
func (m *minion) grant(deadline int64) {
	m.deadline = max(m.deadline, min(deadline, m.clock()+maxHold.Milliseconds()))
}

func (m *minion) start(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	if reason := m.begin(b); reason != "" {
		m.refuse(w, reason)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"clockMs":%d}`, m.clock())
}

func (m *minion) begin(b *orderBody) string {
	c := m.cluster
	c.mu.Lock()
	defer c.mu.Unlock()
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.gone:
		return "gone"
	case m.fenced(b.Token):
		return "fence"
	case b.DeadlineMs <= m.clock():
		return "late"
	case b.Run <= m.retired[b.Task]:
		m.grant(b.DeadlineMs)
		return "old"
	}
	m.grant(b.DeadlineMs)
	if m.active[b.Task] != nil {
		return ""
	}
	step := b.Task[:strings.LastIndexByte(b.Task, '.')]
	a := &active{task: b.Task, step: step, specification: b.Specification, run: b.Run, minion: m, arrived: time.Now(), work: c.work(b.Specification), gang: c.gangSize(step)}
	m.active[b.Task] = a
	c.record.add("%s starts %s run %d (token %d, lease until %d, now %d)", m.id, b.Task, b.Run, b.Token, b.DeadlineMs, m.clock())
	for other, run := range c.runs[b.Task] {
		c.violate("TWICE: %s run %d starts on %s while run %d of it runs on %s", b.Task, b.Run, m.id, run, other)
	}
	for _, e := range c.ended[b.Task] {
		if e.how == "done" && e.noted {
			c.violate("TWICE: %s run %d starts on %s after run %d has ended done on %s and was taken note of", b.Task, b.Run, m.id, e.run, e.minion)
		}
	}
	if c.runs[b.Task] == nil {
		c.runs[b.Task] = map[string]uint64{}
	}
	c.runs[b.Task][m.id] = b.Run
	if a.gang == 0 {
		a.began = time.Now()
		return ""
	}
	key := step + "/" + strconv.FormatUint(b.Run, 10)
	if c.present[key] == nil {
		c.present[key] = map[string]*active{}
	}
	c.present[key][b.Task] = a
	if len(c.present[key]) == a.gang {
		for _, member := range c.present[key] {
			member.began = time.Now()
		}
	}
	return ""
}

// finish ends a run; the caller holds the locks of the cluster and of the minion.
func (m *minion) finish(a *active, how string) {
	delete(m.active, a.task)
	delete(m.cluster.runs[a.task], m.id)
	m.retired[a.task] = max(m.retired[a.task], a.run)
	m.cluster.ended[a.task] = append(m.cluster.ended[a.task], ended{minion: m.id, run: a.run, how: how})
	if m.gone {
		m.cluster.record.add("%s ends, and with it %s run %d", m.id, a.task, a.run)
		return
	}
	m.lastEnd++
	m.ends = append(m.ends, endRow{m.lastEnd, a.task, a.run, how, time.Now()})
	m.cluster.record.add("%s: %s run %d ended %s (end %d)", m.id, a.task, a.run, how, m.lastEnd)
}

// finishGang ends a run and the other members of its gang. The caller holds the lock of the
// cluster and no lock of a minion.
func (m *minion) finishAll(a *active, how string) {
	m.mu.Lock()
	if m.active[a.task] != a {
		m.mu.Unlock()
		return
	}
	m.finish(a, how)
	m.mu.Unlock()
	if a.gang == 0 {
		return
	}
	key := a.step + "/" + strconv.FormatUint(a.run, 10)
	members := m.cluster.present[key]
	delete(m.cluster.present, key)
	for _, other := range members {
		if other == a {
			continue
		}
		howOther := "broken"
		if how == "done" {
			howOther = "done"
		}
		other.minion.mu.Lock()
		if other.minion.active[other.task] == other {
			other.minion.finish(other, howOther)
		}
		other.minion.mu.Unlock()
	}
}

func (m *minion) stop(w http.ResponseWriter, _ *http.Request, b *orderBody) {
	c := m.cluster
	m.mu.Lock()
	if m.fenced(b.Token) {
		m.mu.Unlock()
		m.refuse(w, "fence")
		return
	}
	m.retired[b.Task] = max(m.retired[b.Task], b.Run)
	a := m.active[b.Task]
	if a != nil && a.run != b.Run {
		a = nil
	}
	m.mu.Unlock()
	c.record.add("%s is told to stop %s run %d (there: %t)", m.id, b.Task, b.Run, a != nil)
	if a != nil && !a.stopping {
		a.stopping = true
		time.AfterFunc(stopTime, func() {
			c.mu.Lock()
			defer c.mu.Unlock()
			m.finishAll(a, "stopped")
		})
	}
	w.Header().Set("Content-Type", "application/json")
	fmt.Fprintf(w, `{"clockMs":%d}`, m.clock())
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request, b *orderBody) {
	m.cluster.mu.Lock()
	m.mu.Lock()
	if m.fenced(b.Token) {
		m.mu.Unlock()
		m.cluster.mu.Unlock()
		m.refuse(w, "fence")
		return
	}
	m.grant(b.DeadlineMs)
	m.acknowledge(b.AckCursor)
	m.mu.Unlock()
	m.cluster.mu.Unlock()
	for until := time.Now().Add(time.Duration(min(b.WaitMs, 2000)) * time.Millisecond); time.Now().Before(until); time.Sleep(tick) {
		m.mu.Lock()
		waiting := len(m.ends) == 0 && !m.gone
		m.mu.Unlock()
		if !waiting {
			break
		}
	}
	if m.isCut() {
		m.silence(r)
	}
	m.mu.Lock()
	running, ends := [][]any{}, [][]any{}
	for _, a := range m.active {
		running = append(running, []any{a.task, a.run, "", a.percent(time.Now()), 0})
	}
	for _, e := range m.ends {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	text, _ := json.Marshal(m.withBorn(map[string]any{"clockMs": m.clock(), "running": running, "endedRuns": ends}))
	m.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(text)
}

// acknowledge forgets ends; the caller holds both locks.
func (m *minion) acknowledge(cursor uint64) {
	m.acked = max(m.acked, cursor)
	for len(m.ends) > 0 && m.ends[0].number <= m.acked {
		e := m.ends[0]
		m.ends = m.ends[1:]
		for i := range m.cluster.ended[e.task] {
			if n := &m.cluster.ended[e.task][i]; n.minion == m.id && n.run == e.run {
				// An end before the lease lapsed is not binding.
				n.noted = !m.lapsedAt.After(e.at)
			}
		}
		m.cluster.record.add("%s: end %d (%s run %d %s) is taken note of", m.id, e.number, e.task, e.run, e.how)
	}
}

// ticks ends runs that have done their work or whose lease has expired.
func (m *minion) ticks() {
	for {
		select {
		case <-m.done:
			return
		case <-time.After(tick):
		}
		m.cluster.mu.Lock()
		now := time.Now()
		m.mu.Lock()
		lapsed := m.deadline <= m.clock()
		if lapsed {
			m.lapsedAt = now
		}
		var due []*active
		for _, a := range m.active {
			due = append(due, a)
		}
		m.mu.Unlock()
		for _, a := range due {
			switch {
			case lapsed:
				m.finishAll(a, "lapsed")
			case a.began.IsZero() && now.Sub(a.arrived) > gangTimeout:
				m.finishAll(a, "alone")
			case !a.began.IsZero() && now.Sub(a.began) >= a.work && !a.stopping:
				if m.cluster.fails(m.id, a.task, a.run) {
					m.finishAll(a, "failed")
				} else {
					m.finishAll(a, "done")
				}
			}
		}
		m.cluster.mu.Unlock()
	}
}

// end ends the minion; everything that runs on it terminates.
func (m *minion) end(why string) {
	m.cluster.mu.Lock()
	m.mu.Lock()
	if m.gone {
		m.mu.Unlock()
		m.cluster.mu.Unlock()
		return
	}
	m.gone = true
	m.cluster.record.add("%s ends: %s", m.id, why)
	var members []*active
	for _, a := range m.active {
		members = append(members, a)
	}
	m.mu.Unlock()
	for _, a := range members {
		m.finishAll(a, "lost")
	}
	m.cluster.mu.Unlock()
	close(m.done)
	m.server.Close()
}

func (m *minion) beats() {
	client := &http.Client{Timeout: beatTimeout}
	current := ""
	for !m.left() {
		current = m.beat(client, current)
		select {
		case <-m.done:
			return
		case <-time.After(beatEvery):
		}
	}
}

// left reports whether the minion has deregistered: it then checks in no more.
func (m *minion) left() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.deregistered
}

// beat sends one check-in and returns the address for the next one.
func (m *minion) beat(client *http.Client, current string) string {
	m.mu.Lock()
	m.sequence++
	state := m.state
	body := map[string]any{
		"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
		"capacity": map[string]any{"cpu": 32000, "memMb": 131072, "gpus": 8}, "labels": []string{"a", m.rack}, "clockMs": m.clock(), "sequence": m.sequence,
	}
	if state == "draining" {
		body["drainRemainingMs"] = drainMs
	}
	m.withBorn(body)
	cut := m.cut
	m.mu.Unlock()
	if cut {
		return ""
	}
	text, _ := json.Marshal(body)
	for _, address := range append([]string{current}, m.control()...) {
		if address == "" {
			continue
		}
		response, err := client.Post("http://"+address+"/pinewinch/instances/"+m.id+"/heartbeat", "application/json", bytes.NewReader(text))
		if err != nil {
			continue
		}
		var reply struct {
			Address string `json:"heartbeatAddress"`
		}
		err = json.NewDecoder(response.Body).Decode(&reply)
		response.Body.Close()
		if m.isDeaf() {
			return ""
		}
		if response.StatusCode/100 != 2 || err != nil {
			continue
		}
		m.mu.Lock()
		m.home = address
		if state == "draining" {
			if m.confirm.IsZero() {
				m.confirm = time.Now()
				m.cluster.record.add("%s: draining confirmed by %s", m.id, address)
			}
		}
		m.mu.Unlock()
		return reply.Address
	}
	return ""
}

// doneOf returns how many runs of tasks with the prefix have ended done.
func (c *cluster) doneOf(prefix string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for task, ends := range c.ended {
		if strings.HasPrefix(task, prefix) && slices.ContainsFunc(ends, func(e ended) bool { return e.how == "done" }) {
			n++
		}
	}
	return n
}

// busy reports whether the minion runs something.
func (m *minion) busy() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.active) > 0 && !m.gone
}

// endsOf returns the ends of a task.
func (c *cluster) endsOf(task string) []ended {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.ended[task])
}

// runs reports whether the minion runs the task.
func (m *minion) runs(task string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.active[task] != nil && !m.gone
}
