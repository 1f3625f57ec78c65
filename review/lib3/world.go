//go:build review3

// Package lib3 holds the stand-ins for the scripts of the third review: workers as the
// platform's pages describe them, callers, an operator, and the judge of what they see.
package lib3

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Step is a step of a job on the wire.
type Step struct {
	Count         int    `json:"count"`
	CPU           int    `json:"cpu,omitempty"`
	MemMB         int    `json:"memMb,omitempty"`
	GPUs          int    `json:"gpus,omitempty"`
	EstimatedMs   int    `json:"estimatedMs,omitempty"`
	StartAfter    []int  `json:"startAfter,omitempty"`
	Gang          bool   `json:"gangScheduled,omitempty"`
	Checkpointing bool   `json:"checkpointing,omitempty"`
	Requirements  string `json:"requirements,omitempty"`
	Affinity      string `json:"affinity,omitempty"`
	AntiAffinity  int    `json:"antiAffinity,omitempty"`
}

// Job is a job as a caller sends it, and what the caller has seen of it.
type Job struct {
	ID            string `json:"-"`
	Specification string `json:"specification"`
	Steps         []Step `json:"steps"`
	FirstRunMs    int64  `json:"firstRunMs,omitempty"`
	IntervalMs    int64  `json:"intervalMs,omitempty"`
	Repetitions   int    `json:"repetitions,omitempty"`

	WorkMs      int       `json:"-"`
	FailOneIn   int       `json:"-"`
	Accepted    time.Time `json:"-"`
	Cancelled   time.Time `json:"-"`
	CancelSent  time.Time `json:"-"`
	MaxAttempts int       `json:"-"`
	State       string    `json:"-"`
}

// World is what all stand-ins share: the submitted jobs, the tasks and the broken rules.
type World struct {
	mu       sync.Mutex
	began    time.Time
	out      io.Writer
	Jobs     map[string]*Job
	Workers  []*Worker
	tasks    map[string]*taskInfo
	gangs    map[string][]*run
	Broken   []string
	Rand     *rand.Rand
	GangMs   int64
	StopMs   int64
	MaxHold  int64
	CancelMs int64
	Quiet    bool
	Starts   int
	// OnStart, if set, is asked at each start of a task and returns what it breaks, or "".
	OnStart func(x *Worker, task string) string
	// failedEnds counts, by job, the runs that have ended as failed.
	failedEnds map[string]int
}

type taskInfo struct {
	doneAt      time.Time
	doneCount   int
	acked       bool
	failedAcked int
	active      []*run
	starts      int
}

// NewWorld returns a world that records into a file.
func NewWorld(record string, seed int64) *World {
	out := io.Writer(io.Discard)
	if record != "" {
		if f, err := os.Create(record); err == nil {
			out = f
		}
	}
	return &World{began: time.Now(), out: out, Jobs: map[string]*Job{}, tasks: map[string]*taskInfo{}, gangs: map[string][]*run{}, failedEnds: map[string]int{},
		Rand: rand.New(rand.NewSource(seed)), GangMs: 3000, StopMs: 400, MaxHold: 10000, CancelMs: 3000}
}

// Log writes a line to the record.
func (w *World) Log(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log(format, args...)
}

func (w *World) log(format string, args ...any) {
	fmt.Fprintf(w.out, "%8.3f "+format+"\n", append([]any{time.Since(w.began).Seconds()}, args...)...)
}

// Break records a broken rule.
func (w *World) Break(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.broke(format, args...)
}

func (w *World) broke(format string, args ...any) {
	text := fmt.Sprintf(format, args...)
	w.Broken = append(w.Broken, text)
	w.log("BROKEN %s", text)
}

func (w *World) task(name string) *taskInfo {
	t := w.tasks[name]
	if t == nil {
		t = &taskInfo{}
		w.tasks[name] = t
	}
	return t
}

// parseTask splits ID.K.STEP.INDEX.
func parseTask(name string) (id string, k, step, index int, ok bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 4 {
		return "", 0, 0, 0, false
	}
	k, e1 := strconv.Atoi(parts[1])
	step, e2 := strconv.Atoi(parts[2])
	index, e3 := strconv.Atoi(parts[3])
	return parts[0], k, step, index, e1 == nil && e2 == nil && e3 == nil
}

// run is one run of a task on a worker.
type run struct {
	task   string
	number uint64
	worker *Worker
	job    *Job
	step   *Step
	gang   string
	began  time.Time
	// workFrom is zero while a gang member waits for the others.
	workFrom     time.Time
	workMs       int64
	fails        bool
	stopAt       time.Time
	saved        string
	savedMs      int64
	fromMs       int64
	orphanLogged bool
}

type endRow struct {
	n     uint64
	task  string
	run   uint64
	how   string
	saved string
	at    time.Time
}

// Worker is one life of a minion.
type Worker struct {
	w              *World
	ID             string
	Service        string
	Zone           string
	Labels         []string
	CPU, Mem, GPUs int
	Guards         bool
	Rate           float64
	// Address is where the worker listens; a free loopback port if it is empty. Born is the Unix
	// millisecond of its start where the deployment's workers say it, else 0.
	Address  string
	Born     int64
	Controls []string
	BeatMs   int

	// Cut is set if the worker starts cut off. LateStarts is the number of starts that get no answer next
	// and are carried out late, by the life that is there then.
	Cut        bool
	LateStarts int
	// next is the worker's next life under its id.
	next *Worker

	began  time.Time
	addr   string
	server *http.Server
	up     bool
	cut    bool
	// Late is the share of orders that get no answer and are carried out late; LostAnswers that of
	// answers that are lost.
	Late, LostAnswers float64
	LateFrom, LateTo  time.Duration
	Hang              bool
	AnswerDelay       time.Duration
	token             uint64
	lease             int64
	lapsedAt          time.Time
	running           map[string]*run
	retired           map[string]uint64
	ends              []endRow
	nextEnd           uint64
	acked             uint64
	Draining          bool
	wake              chan struct{}
	done              chan struct{}
	current           string
	seq               int
}

// StartWorker starts a worker that listens on loopback and checks in.
func (w *World) StartWorker(x *Worker) *Worker {
	address := x.Address
	if address == "" {
		address = "127.0.0.1:0"
	}
	listener, err := net.Listen("tcp", address)
	for try := 0; err != nil && try < 100; try++ {
		time.Sleep(10 * time.Millisecond)
		listener, err = net.Listen("tcp", address)
	}
	if err != nil {
		panic(err)
	}
	x.w, x.began, x.addr, x.up, x.cut = w, time.Now(), listener.Addr().String(), true, x.Cut
	if x.Rate == 0 {
		x.Rate = 1
	}
	if x.LateTo == 0 {
		x.LateFrom, x.LateTo = 2*time.Second, 12*time.Second
	}
	if x.BeatMs == 0 {
		x.BeatMs = 1500
	}
	x.running, x.retired = map[string]*run{}, map[string]uint64{}
	x.wake, x.done = make(chan struct{}), make(chan struct{})
	mux := http.NewServeMux()
	mux.HandleFunc("POST /pinewinch/run-start", x.handle)
	mux.HandleFunc("POST /pinewinch/run-stop", x.handle)
	mux.HandleFunc("POST /pinewinch/hold", x.handle)
	x.server = &http.Server{Handler: mux}
	go x.server.Serve(listener)
	go x.beat()
	go x.tick()
	w.mu.Lock()
	w.Workers = append(w.Workers, x)
	w.log("worker %s up at %s labels %v", x.ID, x.addr, x.Labels)
	w.mu.Unlock()
	return x
}

func (x *Worker) clock() int64 {
	return int64(float64(time.Since(x.began).Microseconds()) / 1000 * x.Rate)
}

// Crash ends the worker without a word.
func (x *Worker) Crash() {
	x.w.mu.Lock()
	if !x.up {
		x.w.mu.Unlock()
		return
	}
	x.up = false
	x.w.log("worker %s crashes with %d runs", x.ID, len(x.running))
	for _, r := range x.running {
		x.w.drop(r)
		x.w.breakGang(r, "")
	}
	x.running = map[string]*run{}
	close(x.done)
	x.w.mu.Unlock()
	x.server.Close()
}

// Restart crashes the worker and starts it again under its id, at its address.
func (x *Worker) Restart(after time.Duration, cut bool) *Worker {
	x.Crash()
	time.Sleep(after)
	next := &Worker{
		ID: x.ID, Service: x.Service, Zone: x.Zone, Labels: x.Labels, CPU: x.CPU, Mem: x.Mem, GPUs: x.GPUs, Guards: x.Guards,
		Rate: x.Rate, Controls: x.Controls, BeatMs: x.BeatMs, Address: x.addr, Born: time.Now().UnixMilli(), Cut: cut,
	}
	x.w.StartWorker(next)
	x.w.mu.Lock()
	x.next = next
	x.w.mu.Unlock()
	return next
}

// Up reports whether the worker has not crashed.
func (x *Worker) Up() bool {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	return x.up
}

// Addr is the address that the worker listens on.
func (x *Worker) Addr() string { return x.addr }

// SetCut cuts the worker off from everything, or ends that.
func (x *Worker) SetCut(cut bool) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	x.cut = cut
	x.w.log("worker %s cut %t", x.ID, cut)
}

// Set changes fields of the worker under the lock of the world.
func (x *Worker) Set(change func()) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	change()
}

func (x *Worker) beat() {
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	for {
		x.w.mu.Lock()
		up, cut := x.up, x.cut
		x.seq++
		state := "ready"
		if x.Draining {
			state = "draining"
		}
		body := map[string]any{"service": x.Service, "address": x.addr, "zone": x.Zone, "version": "v1", "slots": 8, "state": state, "coldRemainingMs": 0,
			"capacity": map[string]any{"cpu": x.CPU, "memMb": x.Mem, "gpus": x.GPUs}, "labels": x.Labels, "clockMs": x.clock(), "sequence": x.seq}
		if x.Born != 0 {
			body["born"] = x.Born
		}
		targets := append([]string{}, x.Controls...)
		x.w.Rand.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
		if x.current != "" {
			targets = append([]string{x.current}, targets...)
		}
		x.w.mu.Unlock()
		if !up {
			return
		}
		if !cut {
			text, _ := json.Marshal(body)
			x.current = ""
			for _, target := range targets {
				response, err := client.Post("http://"+target+"/pinewinch/instances/"+x.ID+"/heartbeat", "application/json", strings.NewReader(string(text)))
				if err != nil {
					continue
				}
				var reply struct {
					A string `json:"heartbeatAddress"`
				}
				json.NewDecoder(response.Body).Decode(&reply)
				response.Body.Close()
				if response.StatusCode/100 == 2 {
					x.current = reply.A
					break
				}
			}
		}
		select {
		case <-x.done:
			return
		case <-time.After(time.Duration(x.BeatMs) * time.Millisecond):
		}
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

func (x *Worker) handle(out http.ResponseWriter, r *http.Request) {
	if r.Header.Get("X-Expect-Instance") != x.ID {
		out.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	text, _ := io.ReadAll(r.Body)
	o := &order{}
	if err := json.Unmarshal(text, o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	kind := r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:]
	x.w.mu.Lock()
	cut, hang, delay := x.cut, x.Hang, x.AnswerDelay
	late := kind != "hold" && x.w.Rand.Float64() < x.Late
	if kind == "run-start" && x.LateStarts > 0 && !x.cut {
		x.LateStarts--
		late = true
	}
	lost := x.w.Rand.Float64() < x.LostAnswers
	wait := x.LateFrom + time.Duration(x.w.Rand.Float64()*float64(x.LateTo-x.LateFrom))
	x.w.mu.Unlock()
	if delay > 0 {
		time.Sleep(delay)
	}
	if cut || hang {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	if late {
		x.w.Log("worker %s: %s %s run %d is carried out %s late", x.ID, kind, o.Task, o.Run, wait.Round(time.Millisecond))
		time.AfterFunc(wait, func() {
			x.w.mu.Lock()
			life := x
			for life.next != nil {
				life = life.next
			}
			x.w.mu.Unlock()
			x.w.Log("worker %s carries out the late %s %s run %d", life.ID, kind, o.Task, o.Run)
			life.carryOut(kind, o)
		})
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	status, body := x.carryOut(kind, o)
	if kind == "hold" && status == 200 {
		status, body = x.awaitEnds(r, o)
	}
	x.w.mu.Lock()
	cut = x.cut
	x.w.mu.Unlock()
	if lost || cut || status == 0 {
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	out.Header().Set("Content-Type", "application/json")
	out.WriteHeader(status)
	out.Write(body)
}

func (x *Worker) awaitEnds(r *http.Request, o *order) (int, []byte) {
	until := time.Now().Add(time.Duration(min(o.WaitMs, 2000)) * time.Millisecond)
	for {
		x.w.mu.Lock()
		wake := x.wake
		if !x.up {
			x.w.mu.Unlock()
			return 0, nil
		}
		if len(x.ends) > 0 || !time.Now().Before(until) {
			body := x.report()
			x.w.mu.Unlock()
			return 200, body
		}
		x.w.mu.Unlock()
		select {
		case <-wake:
		case <-time.After(time.Until(until)):
		case <-r.Context().Done():
			return 0, nil
		}
	}
}

func (x *Worker) report() []byte {
	running, ends := [][]any{}, [][]any{}
	names := []string{}
	for name := range x.running {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		r := x.running[name]
		running = append(running, []any{name, r.number, r.saved, r.percent(), 0})
	}
	for _, e := range x.ends {
		if len(ends) == 500 {
			break
		}
		ends = append(ends, []any{e.n, e.task, e.run, e.how, e.saved})
	}
	body := map[string]any{"clockMs": x.clock(), "running": running, "endedRuns": ends}
	if x.Born != 0 {
		body["born"] = x.Born
	}
	text, _ := json.Marshal(body)
	return text
}

func (r *run) percent() int64 {
	if r.workFrom.IsZero() {
		return 0
	}
	return min(99, 100*(r.fromMs+time.Since(r.workFrom).Milliseconds())/max(r.workMs, 1))
}

func (x *Worker) answer(status int, reason string) (int, []byte) {
	body := map[string]any{"clockMs": x.clock()}
	if reason != "" {
		body["reason"] = reason
	}
	text, _ := json.Marshal(body)
	return status, text
}

func (x *Worker) extend(deadline int64) {
	x.lease = max(x.lease, min(deadline, x.clock()+x.w.MaxHold))
}

func (x *Worker) carryOut(kind string, o *order) (int, []byte) {
	x.w.mu.Lock()
	defer x.w.mu.Unlock()
	if !x.up {
		return 0, nil
	}
	x.expire()
	if o.Token < x.token {
		return x.answer(409, "fence")
	}
	x.token = o.Token
	switch kind {
	case "hold":
		x.extend(o.DeadlineMs)
		for len(x.ends) > 0 && x.ends[0].n <= o.AckCursor {
			x.forget(x.ends[0])
			x.ends = x.ends[1:]
		}
		return 200, nil
	case "run-stop":
		r := x.running[o.Task]
		if r != nil && r.number == o.Run {
			if r.stopAt.IsZero() {
				r.stopAt = time.Now().Add(time.Duration(x.w.Rand.Int63n(max(x.w.StopMs-20, 1))) * time.Millisecond)
			}
		} else {
			x.retired[o.Task] = max(x.retired[o.Task], o.Run)
		}
		x.w.log("worker %s stop %s run %d present %t", x.ID, o.Task, o.Run, r != nil && r.number == o.Run)
		return x.answer(200, "")
	}
	return x.start(o)
}

func (x *Worker) forget(e endRow) {
	t := x.w.task(e.task)
	if x.lapsedAt.After(e.at) {
		return
	}
	switch e.how {
	case "done":
		t.acked = true
		if id, k, step, _, ok := parseTask(e.task); ok {
			if j := x.w.Jobs[id]; j != nil && j.Steps[step].Gang {
				for i := range j.Steps[step].Count {
					x.w.task(fmt.Sprintf("%s.%d.%d.%d", id, k, step, i)).acked = true
				}
			}
		}
	case "failed":
		t.failedAcked++
	}
}

func (x *Worker) start(o *order) (int, []byte) {
	w := x.w
	id, k, stepNumber, index, ok := parseTask(o.Task)
	job := w.Jobs[id]
	if !ok || job == nil || stepNumber >= len(job.Steps) || index >= job.Steps[stepNumber].Count || k >= max(job.Repetitions, 1) {
		w.broke("UNASKED: worker %s is told to start %s run %d, which nobody sent", x.ID, o.Task, o.Run)
		return x.answer(400, "")
	}
	if o.Specification != job.Specification {
		w.broke("UNASKED: %s run %d on %s with another specification %q", o.Task, o.Run, x.ID, o.Specification)
	}
	step := &job.Steps[stepNumber]
	if r := x.running[o.Task]; r != nil && r.number == o.Run {
		x.extend(o.DeadlineMs)
		return x.answer(200, "")
	}
	if o.DeadlineMs <= x.clock() {
		return x.answer(409, "late")
	}
	x.extend(o.DeadlineMs)
	if o.Run <= x.retired[o.Task] || x.running[o.Task] != nil && x.running[o.Task].number > o.Run {
		return x.answer(409, "old")
	}
	if over := x.over(step); over != "" {
		if x.Guards {
			w.log("worker %s refuses %s run %d: room", x.ID, o.Task, o.Run)
			return x.answer(409, "room")
		}
		w.broke("LIMIT: %s run %d brings %s over its capacity: %s", o.Task, o.Run, x.ID, over)
	}
	w.Starts++
	t := w.task(o.Task)
	t.starts++
	if !w.Quiet {
		w.log("worker %s starts %s run %d checkpoint %q", x.ID, o.Task, o.Run, o.Checkpoint)
	}
	if w.OnStart != nil {
		if text := w.OnStart(x, o.Task); text != "" {
			w.broke("%s", text)
		}
	}
	for _, other := range t.active {
		w.broke("TWICE: %s run %d starts on %s while run %d is on %s", o.Task, o.Run, x.ID, other.number, other.worker.ID)
	}
	if t.acked {
		w.broke("TWICE: %s run %d starts on %s after its end done was taken note of", o.Task, o.Run, x.ID)
	}
	if job.MaxAttempts > 0 && t.failedAcked >= job.MaxAttempts {
		w.broke("BUDGET: %s run %d starts on %s after %d failed runs", o.Task, o.Run, x.ID, t.failedAcked)
	}
	for _, earlier := range step.StartAfter {
		for i := range job.Steps[earlier].Count {
			name := fmt.Sprintf("%s.%d.%d.%d", id, k, earlier, i)
			if w.task(name).doneCount == 0 {
				w.broke("ORDER: %s run %d starts on %s before %s is done", o.Task, o.Run, x.ID, name)
				break
			}
		}
	}
	if job.Repetitions > 0 && time.Now().UnixMilli() < job.FirstRunMs+int64(k)*job.IntervalMs-250 {
		w.broke("ORDER: %s run %d starts before its time", o.Task, o.Run)
	}
	if step.Requirements != "" && !contains(x.Labels, step.Requirements) {
		w.broke("ROUTE: %s run %d starts on %s without the label %s", o.Task, o.Run, x.ID, step.Requirements)
	}
	if step.AntiAffinity > 0 {
		same := 0
		for name := range x.running {
			i2, k2, s2, _, _ := parseTask(name)
			if i2 == id && k2 == k && s2 == stepNumber {
				same++
			}
		}
		if same >= step.AntiAffinity {
			w.broke("ROUTE: %s run %d starts on %s beyond antiAffinity %d", o.Task, o.Run, x.ID, step.AntiAffinity)
		}
	}
	if !job.Cancelled.IsZero() && time.Since(job.Cancelled) > time.Duration(w.CancelMs)*time.Millisecond {
		w.broke("UNASKED: %s run %d starts on %s %s after its cancelling was acknowledged", o.Task, o.Run, x.ID, time.Since(job.Cancelled))
	}
	if job.State == "completed" {
		w.broke("TWICE: %s run %d starts on %s after the job was shown as completed", o.Task, o.Run, x.ID)
	}
	r := &run{task: o.Task, number: o.Run, worker: x, job: job, step: step, began: time.Now(), workMs: int64(job.WorkMs)}
	r.workMs = r.workMs * int64(80+w.Rand.Intn(40)) / 100
	if o.Checkpoint != "" {
		parts := strings.Split(o.Checkpoint, "/")
		ms, _ := strconv.ParseInt(parts[len(parts)-1], 10, 64)
		stepName := o.Task[:strings.LastIndexByte(o.Task, '.')]
		if !(parts[0] == o.Task || step.Gang && strings.HasPrefix(parts[0], stepName+".")) {
			w.broke("UNASKED: %s run %d with the checkpoint %q of another task", o.Task, o.Run, o.Checkpoint)
		}
		r.fromMs = ms
	}
	r.fails = job.FailOneIn > 0 && w.Rand.Intn(job.FailOneIn) == 0
	t.active = append(t.active, r)
	x.running[o.Task] = r
	if step.Gang {
		r.gang = fmt.Sprintf("%s.%d.%d#%d", id, k, stepNumber, o.Run)
		members := append(w.gangs[r.gang], r)
		w.gangs[r.gang] = members
		if len(members) == step.Count {
			work := members[0].workMs
			for _, m := range members {
				m.workFrom, m.workMs = time.Now(), work
			}
		}
	} else {
		r.workFrom = time.Now()
	}
	return x.answer(200, "")
}

func contains(list []string, text string) bool {
	for _, item := range list {
		if item == text {
			return true
		}
	}
	return false
}

func (x *Worker) over(step *Step) string {
	cpu, mem, gpus := step.CPU, step.MemMB, step.GPUs
	for _, r := range x.running {
		cpu, mem, gpus = cpu+r.step.CPU, mem+r.step.MemMB, gpus+r.step.GPUs
	}
	if cpu > x.CPU || mem > x.Mem || gpus > x.GPUs {
		return fmt.Sprintf("cpu %d of %d, mem %d of %d, gpus %d of %d", cpu, x.CPU, mem, x.Mem, gpus, x.GPUs)
	}
	return ""
}

// drop removes a run from its task and gang.
func (w *World) drop(r *run) {
	t := w.task(r.task)
	for i, other := range t.active {
		if other == r {
			t.active = append(t.active[:i:i], t.active[i+1:]...)
			break
		}
	}
	if r.gang != "" {
		members := w.gangs[r.gang]
		for i, other := range members {
			if other == r {
				w.gangs[r.gang] = append(members[:i:i], members[i+1:]...)
				break
			}
		}
	}
}

func (x *Worker) end(r *run, how string) {
	w := x.w
	delete(x.running, r.task)
	w.drop(r)
	x.retired[r.task] = max(x.retired[r.task], r.number)
	x.nextEnd++
	x.ends = append(x.ends, endRow{x.nextEnd, r.task, r.number, how, r.saved, time.Now()})
	if !w.Quiet {
		w.log("worker %s end %d %s run %d %s", x.ID, x.nextEnd, r.task, r.number, how)
	}
	t := w.task(r.task)
	if how == "failed" {
		w.failedEnds[r.job.ID]++
	}
	if how == "done" {
		t.doneAt = time.Now()
		t.doneCount++
	}
	close(x.wake)
	x.wake = make(chan struct{})
	if how != "done" {
		w.breakGang(r, how)
	}
}

func (w *World) breakGang(r *run, how string) {
	if r.gang == "" || how == "alone" || how == "broken" {
		return
	}
	for _, m := range append([]*run{}, w.gangs[r.gang]...) {
		if m != r && m.worker.running[m.task] == m {
			m.worker.end(m, "broken")
		}
	}
}

func (x *Worker) expire() {
	if x.lease > x.clock() || len(x.running) == 0 {
		if x.lease <= x.clock() {
			x.lapsedAt = time.Now()
		}
		return
	}
	x.lapsedAt = time.Now()
	for _, r := range x.running {
		x.end(r, "lapsed")
	}
}

func (x *Worker) tick() {
	for {
		select {
		case <-x.done:
			return
		case <-time.After(10 * time.Millisecond):
		}
		x.w.mu.Lock()
		if x.up {
			x.expire()
			x.advance()
		}
		x.w.mu.Unlock()
	}
}

func (x *Worker) advance() {
	now := time.Now()
	for _, r := range x.running {
		if x.running[r.task] != r {
			continue
		}
		worked := int64(0)
		if !r.workFrom.IsZero() {
			worked = r.fromMs + now.Sub(r.workFrom).Milliseconds()
		}
		if r.step.Checkpointing && worked-r.savedMs >= 500 {
			r.savedMs = worked
			r.saved = fmt.Sprintf("%s/%d", r.task, worked)
		}
		switch {
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			if r.step.Checkpointing && worked > 0 {
				r.saved = fmt.Sprintf("%s/%d", r.task, worked)
			}
			x.end(r, "stopped")
		case !r.workFrom.IsZero() && worked >= r.workMs && r.fails:
			x.end(r, "failed")
		case !r.workFrom.IsZero() && worked >= r.workMs:
			if r.gang != "" {
				for _, m := range append([]*run{}, x.w.gangs[r.gang]...) {
					if m != r {
						m.worker.end(m, "done")
					}
				}
			}
			x.end(r, "done")
		case r.workFrom.IsZero() && now.Sub(r.began) > time.Duration(x.w.GangMs)*time.Millisecond:
			x.end(r, "alone")
		}
	}
}

// AllDone reports whether all tasks of a job have ended done, and names one that has not.
func (w *World) AllDone(job *Job) (bool, string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for k := range max(job.Repetitions, 1) {
		for s, step := range job.Steps {
			for i := range step.Count {
				name := fmt.Sprintf("%s.%d.%d.%d", job.ID, k, s, i)
				if t := w.tasks[name]; t == nil || t.doneCount == 0 {
					return false, name
				}
			}
		}
	}
	return true, ""
}

// FailedEnds counts the runs of a job's tasks that have ended as failed.
func (w *World) FailedEnds(id string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failedEnds[id]
}

// Running returns how many runs of a job are active.
func (w *World) Running(job *Job) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	active := 0
	for _, x := range w.Workers {
		for _, r := range x.running {
			if r.job == job {
				active++
			}
		}
	}
	return active
}

// AwaitRunning waits until so many runs of a job are active.
func (w *World) AwaitRunning(job *Job, runs int, within time.Duration) bool {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if w.Running(job) >= runs {
			return true
		}
	}
	return false
}

// Ended reports whether all tasks of a job have ended done.
func (w *World) Ended(job *Job) bool {
	done, _ := w.AllDone(job)
	return done
}

// IdleFor returns how many tasks of a step fit beside what runs on the workers that are up.
func (w *World) IdleFor(step *Step) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	fits := 0
	for _, x := range w.Workers {
		if !x.up || x.cut || x.Draining || step.Requirements != "" && !contains(x.Labels, step.Requirements) {
			continue
		}
		gpus, cpu, mem := x.GPUs, x.CPU, x.Mem
		for _, r := range x.running {
			gpus, cpu, mem = gpus-r.step.GPUs, cpu-r.step.CPU, mem-r.step.MemMB
		}
		room := cpu / max(step.CPU, 1)
		if step.MemMB > 0 {
			room = min(room, mem/step.MemMB)
		}
		if step.GPUs > 0 {
			room = min(room, gpus/step.GPUs)
		}
		fits += max(room, 0)
	}
	return fits
}

// GPUsInUse returns the accelerators of the workers that are up: in use, and all.
func (w *World) GPUsInUse() (used, all int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, x := range w.Workers {
		if !x.up {
			continue
		}
		all += x.GPUs
		for _, r := range x.running {
			used += r.step.GPUs
		}
	}
	return used, all
}

// AnyBroken reports whether a rule was broken.
func (w *World) AnyBroken() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.Broken) > 0
}
