package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// minion is a machine that runs tasks. Each boot has an id of its own and serves at the same
// address. All fields but the configuration are protected by the mutex of the world.
type minion struct {
	w            *world
	sys          *system
	name, zone   string
	service      string
	rack, kind   string
	cpu, mem     int
	gpus         int
	address      string
	stopTime     time.Duration
	beatInterval time.Duration
	// keepsID makes each boot start under the same id and name the time of its start.
	keepsID bool

	born int64
	// dark: it is lost, and nothing answers at its address.
	dark     bool
	boot     int
	id       string
	up       bool
	began    time.Time
	server   *http.Server
	stopBeat chan struct{}
	token    uint64
	deadline int64
	running  map[string]*run
	retired  map[string]uint64
	ends     []end
	lastEnd  uint64
	sequence uint64
	state    string
	// failing makes runs end as failed.
	failing bool
	// slow lengthens the work of the runs that begin.
	slow float64
	// lateUntil and late: starts and stops that arrive before lateUntil get no answer and are
	// carried out after late.
	lateUntil time.Time
	late      time.Duration
	lateLeft  int
}

type run struct {
	task     string
	number   uint64
	m        *minion
	began    time.Time
	work     time.Duration
	timer    *time.Timer
	gang     *gangRun
	index    int
	stopping bool
	over     bool
	s        step
}

type end struct {
	number uint64
	task   string
	run    uint64
	how    string
	at     time.Time
}

const maxLeaseMs = 10000

var bootNumber atomic.Uint64

// start boots the minion.
func (m *minion) start() {
	listener, err := net.Listen("tcp", m.address)
	for try := 0; err != nil && try < 20; try++ {
		time.Sleep(50 * time.Millisecond)
		listener, err = net.Listen("tcp", m.address)
	}
	if err != nil {
		cannotRun("minion %s: %v", m.name, err)
	}
	m.w.mu.Lock()
	m.address = listener.Addr().String()
	m.boot++
	m.id = fmt.Sprintf("i-%s-%d-%x", m.name, m.boot, bootNumber.Add(1))
	if m.keepsID {
		m.id, m.born = "i-"+m.name, time.Now().UnixMilli()
	}
	m.up, m.began, m.token, m.deadline = true, time.Now(), 0, 0
	m.running, m.retired, m.ends, m.lastEnd = map[string]*run{}, map[string]uint64{}, nil, 0
	m.sequence, m.state = 0, "ready"
	m.stopBeat = make(chan struct{})
	id, stop := m.id, m.stopBeat
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pinewinch/run-start", m.command(id, m.runStart))
	mux.HandleFunc("POST /pinewinch/run-stop", m.command(id, m.runStop))
	mux.HandleFunc("POST /pinewinch/hold", m.command(id, m.hold))
	mux.HandleFunc("GET /health", func(http.ResponseWriter, *http.Request) {})
	m.server = &http.Server{Handler: mux}
	server := m.server
	m.w.note("minion %s boots as %s at %s", m.name, m.id, m.address)
	m.w.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go m.beat(id, stop)
	go m.enforceLease(id, stop)
}

// crash ends the boot with all that runs on it. Nothing is sent.
func (m *minion) crash() { m.end(false) }

// goDark ends the boot for good, and its address stays silent.
func (m *minion) goDark() { m.end(true) }

func (m *minion) end(dark bool) {
	m.w.mu.Lock()
	if !m.up {
		m.w.mu.Unlock()
		return
	}
	m.w.note("minion %s (%s) crashes with %v", m.name, m.id, m.names())
	m.up, m.dark = false, dark
	for _, r := range m.running {
		m.drop(r)
		m.breakGang(r)
	}
	m.running = map[string]*run{}
	server := m.server
	close(m.stopBeat)
	m.w.mu.Unlock()
	if !dark {
		server.Close()
	}
}

func (m *minion) clock() int64 { return time.Since(m.began).Milliseconds() }

// beat sends check-ins until the boot ends.
func (m *minion) beat(id string, stop chan struct{}) {
	client := &http.Client{Timeout: time.Second}
	next, at := "", 0
	for {
		m.w.mu.Lock()
		m.sequence++
		report := map[string]any{
			"service": m.service, "address": m.address, "zone": m.zone, "version": "v1", "slots": 8, "state": m.state,
			"coldRemainingMs": 0, "capacity": map[string]int{"cpu": m.cpu, "memMb": m.mem, "gpus": m.gpus},
			"labels": []string{m.kind, m.rack}, "clockMs": m.clock(), "sequence": m.sequence,
		}
		if m.keepsID {
			report["born"] = m.born
		}
		body, _ := json.Marshal(report)
		m.w.mu.Unlock()
		sent := false
		for range 2 * len(m.sys.cores) {
			target := next
			if target == "" {
				target = m.sys.control(m.sys.cores[at%len(m.sys.cores)])
			}
			var answer struct {
				HeartbeatAddress string `json:"heartbeatAddress"`
			}
			if status := post(client, "http://"+target+"/pinewinch/instances/"+id+"/heartbeat", body, &answer); status/100 == 2 {
				if answer.HeartbeatAddress != "" {
					next = answer.HeartbeatAddress
					m.w.locked(func() { m.sys.named = next })
				}
				sent = true
				break
			}
			next = ""
			at++
			select {
			case <-stop:
				return
			default:
			}
		}
		pause := m.beatInterval
		if !sent {
			pause = 200 * time.Millisecond
		}
		select {
		case <-stop:
			return
		case <-time.After(pause):
		}
	}
}

func post(client *http.Client, url string, body []byte, answer any) int {
	response, err := client.Post(url, "application/json", bytes.NewReader(body))
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0
	}
	if answer != nil {
		_ = json.Unmarshal(text, answer)
	}
	return response.StatusCode
}

// enforceLease ends everything when the lease is over.
func (m *minion) enforceLease(id string, stop chan struct{}) {
	for {
		select {
		case <-stop:
			return
		case <-time.After(10 * time.Millisecond):
		}
		m.w.mu.Lock()
		if m.stopBeat == stop && m.up && len(m.running) > 0 && m.clock() > m.deadline {
			m.w.note("minion %s: lease over", m.name)
			for _, task := range m.names() {
				m.finish(m.running[task], "lapsed")
			}
		}
		m.w.mu.Unlock()
	}
}

type order struct {
	Task          string `json:"task"`
	Run           uint64 `json:"run"`
	Specification string `json:"specification"`
	DeadlineMs    int64  `json:"deadlineMs"`
	Token         uint64 `json:"fencingToken"`
	Checkpoint    string `json:"checkpoint"`
	AckCursor     uint64 `json:"ackCursor"`
	WaitMs        int64  `json:"waitMs"`
}

// command decodes an order and refuses one for another boot.
func (m *minion) command(id string, handle func(http.ResponseWriter, *http.Request, *order)) http.HandlerFunc {
	return func(out http.ResponseWriter, r *http.Request) {
		text, err := io.ReadAll(r.Body)
		dark := false
		m.w.locked(func() { dark = m.dark })
		if dark {
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
		o := &order{}
		if err != nil || json.Unmarshal(text, o) != nil {
			out.WriteHeader(http.StatusBadRequest)
			return
		}
		if expected := r.Header.Get("X-Expect-Instance"); expected != "" && expected != id {
			out.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		handle(out, r, o)
	}
}

func answer(out http.ResponseWriter, status int, body map[string]any) {
	text, _ := json.Marshal(body)
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	_, _ = out.Write(text)
}

func (m *minion) stale(o *order) bool {
	if o.Token < m.token {
		return true
	}
	m.token = o.Token
	return false
}

func (m *minion) extend(deadline int64) {
	if deadline > 0 {
		m.deadline = max(m.deadline, min(deadline, m.clock()+maxLeaseMs))
	}
}

func (m *minion) runStart(out http.ResponseWriter, r *http.Request, o *order) {
	m.w.mu.Lock()
	if time.Now().Before(m.lateUntil) && m.lateLeft > 0 {
		m.lateLeft--
		delay, id := m.late, m.id
		m.w.note("minion %s: start of %s run %d gets no answer and is carried out %v later", m.name, o.Task, o.Run, delay)
		m.w.mu.Unlock()
		time.AfterFunc(delay, func() {
			m.w.mu.Lock()
			defer m.w.mu.Unlock()
			if m.up && m.id == id {
				status, reason := m.begin(o)
				m.w.note("minion %s: late start of %s run %d: %d %s", m.name, o.Task, o.Run, status, reason)
			}
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	defer m.w.mu.Unlock()
	status, reason := m.begin(o)
	body := map[string]any{"clockMs": m.clock()}
	if reason != "" {
		body["reason"] = reason
		m.w.note("minion %s refuses start of %s run %d: %s", m.name, o.Task, o.Run, reason)
	}
	answer(out, status, body)
}

// begin carries out a start. The caller holds the mutex.
func (m *minion) begin(o *order) (status int, reason string) {
	if m.stale(o) {
		return http.StatusConflict, "fence"
	}
	if o.DeadlineMs <= m.clock() {
		return http.StatusConflict, "late"
	}
	if active := m.running[o.Task]; active != nil && active.number == o.Run {
		m.extend(o.DeadlineMs)
		return http.StatusOK, ""
	}
	m.extend(o.DeadlineMs)
	if active := m.running[o.Task]; o.Run <= m.retired[o.Task] || active != nil {
		return http.StatusConflict, "old"
	}
	j, s, stepKey, index, ok := m.w.taskOf(o.Task)
	if !ok {
		m.w.breach("UNASKED: start of %s, which nobody sent", o.Task)
		return http.StatusBadRequest, ""
	}
	cpu, mem, gpus := s.CPU, s.MemMB, s.GPUs
	for _, other := range m.running {
		cpu, mem, gpus = cpu+other.s.CPU, mem+other.s.MemMB, gpus+other.s.GPUs
	}
	if cpu > m.cpu || mem > m.mem || gpus > m.gpus {
		if m.w.guards {
			return http.StatusConflict, "room"
		}
		m.w.breach("LIMIT: start of %s run %d brings %s over its capacity: cpu %d of %d, memMb %d of %d, gpus %d of %d; on it %v",
			o.Task, o.Run, m.name, cpu, m.cpu, mem, m.mem, gpus, m.gpus, m.names())
	}
	if o.Specification != j.spec {
		m.w.breach("UNASKED: %s started with another specification", o.Task)
	}
	if others := m.w.active[o.Task]; len(others) > 0 {
		m.w.breach("TWICE: %s run %d starts on %s while run %d is on %s", o.Task, o.Run, m.name, others[0].number, others[0].m.name)
	}
	if m.w.done[o.Task] {
		m.w.note("start of %s run %d after it has ended done", o.Task, o.Run)
		if m.w.noted[o.Task] {
			m.w.breach("TWICE: %s run %d starts after an end done was taken note of", o.Task, o.Run)
		}
	}
	m.w.starts = append(m.w.starts, startEvent{o.Task, o.Run, m.id, time.Now()})
	work := s.work
	if m.slow > 0 {
		work = time.Duration(float64(work) * m.slow)
	}
	active := &run{task: o.Task, number: o.Run, m: m, began: time.Now(), work: work, index: index, s: s}
	m.running[o.Task] = active
	m.w.active[o.Task] = append(m.w.active[o.Task], active)
	m.w.note("minion %s (%s) starts %s run %d", m.name, m.id, o.Task, o.Run)
	if m.failing {
		active.timer = time.AfterFunc(300*time.Millisecond, func() {
			m.w.locked(func() {
				m.finish(active, "failed")
				m.breakGang(active)
			})
		})
		return http.StatusOK, ""
	}
	if s.Gang {
		m.joinGang(active, fmt.Sprintf("%s/%d", stepKey, o.Run), s.Count)
	} else {
		active.timer = time.AfterFunc(work, func() { m.w.locked(func() { m.complete(active) }) })
	}
	return http.StatusOK, ""
}

func (w *world) locked(f func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f()
}

func (m *minion) complete(r *run) {
	if r.over || r.stopping {
		return
	}
	if r.gang == nil {
		m.finish(r, "done")
		return
	}
	if r.gang.over {
		return
	}
	r.gang.over = true
	for _, member := range r.gang.members {
		member.m.finish(member, "done")
	}
}

// joinGang adds a run to its gang, whose work begins when all are there.
func (m *minion) joinGang(r *run, key string, size int) {
	g := m.w.gangs[key]
	if g == nil {
		g = &gangRun{members: map[int]*run{}, size: size}
		m.w.gangs[key] = g
	}
	r.gang = g
	g.members[r.index] = r
	if g.over {
		m.finish(r, "broken")
		return
	}
	if len(g.members) < size {
		r.timer = time.AfterFunc(m.w.gangTimeout, func() {
			m.w.locked(func() {
				if !r.over && !g.over && len(g.members) < g.size {
					m.finish(r, "alone")
					m.breakGang(r)
				}
			})
		})
		return
	}
	longest := time.Duration(0)
	for _, member := range g.members {
		if member.timer != nil {
			member.timer.Stop()
		}
		longest = max(longest, member.work)
		member.began = time.Now()
	}
	for _, member := range g.members {
		member.work = longest
	}
	r.timer = time.AfterFunc(longest, func() { m.w.locked(func() { m.complete(r) }) })
}

// breakGang ends the other members of a run's gang.
func (m *minion) breakGang(r *run) {
	if r.gang == nil || r.gang.over {
		return
	}
	r.gang.over = true
	for _, member := range r.gang.members {
		if member != r && !member.over {
			member.m.finish(member, "broken")
		}
	}
}

// drop removes a run from what is active.
func (m *minion) drop(r *run) {
	r.over = true
	if r.timer != nil {
		r.timer.Stop()
	}
	var others []*run
	for _, other := range m.w.active[r.task] {
		if other != r {
			others = append(others, other)
		}
	}
	m.w.active[r.task] = others
}

// finish ends a run and lists the end.
func (m *minion) finish(r *run, how string) {
	if r.over || m.running[r.task] != r {
		return
	}
	m.drop(r)
	delete(m.running, r.task)
	m.retired[r.task] = max(m.retired[r.task], r.number)
	m.lastEnd++
	m.ends = append(m.ends, end{m.lastEnd, r.task, r.number, how, time.Now()})
	switch how {
	case "done":
		m.w.done[r.task] = true
	case "failed":
		m.w.failed[r.task]++
	}
	m.w.note("minion %s: %s run %d ends %s", m.name, r.task, r.number, how)
}

func (m *minion) runStop(out http.ResponseWriter, _ *http.Request, o *order) {
	m.w.mu.Lock()
	defer m.w.mu.Unlock()
	if m.stale(o) {
		answer(out, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence"})
		return
	}
	m.retired[o.Task] = max(m.retired[o.Task], o.Run)
	if r := m.running[o.Task]; r != nil && r.number == o.Run && !r.stopping {
		r.stopping = true
		m.w.note("minion %s is told to stop %s run %d", m.name, o.Task, o.Run)
		time.AfterFunc(m.stopTime, func() {
			m.w.locked(func() {
				m.finish(r, "stopped")
				m.breakGang(r)
			})
		})
	}
	answer(out, http.StatusOK, map[string]any{"clockMs": m.clock()})
}

func (m *minion) hold(out http.ResponseWriter, r *http.Request, o *order) {
	m.w.mu.Lock()
	if m.stale(o) {
		answer(out, http.StatusConflict, map[string]any{"clockMs": m.clock(), "reason": "fence"})
		m.w.mu.Unlock()
		return
	}
	m.extend(o.DeadlineMs)
	for len(m.ends) > 0 && m.ends[0].number <= o.AckCursor {
		if m.ends[0].how == "done" {
			m.w.noted[m.ends[0].task] = true
		}
		m.ends = m.ends[1:]
	}
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for len(m.ends) == 0 && time.Now().Before(until) && m.up && r.Context().Err() == nil {
		m.w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		m.w.mu.Lock()
	}
	running, ends := [][]any{}, [][]any{}
	for _, task := range m.names() {
		active := m.running[task]
		percent := 0
		if active.work > 0 && (active.gang == nil || len(active.gang.members) == active.gang.size) {
			percent = int(min(99, 100*time.Since(active.began)/active.work))
		}
		running = append(running, []any{task, active.number, "", percent, active.s.CPU})
	}
	for _, e := range m.ends[:min(len(m.ends), 500)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	body := map[string]any{"clockMs": m.clock(), "running": running, "endedRuns": ends}
	if m.keepsID {
		body["born"] = m.born
	}
	m.w.mu.Unlock()
	answer(out, http.StatusOK, body)
}
