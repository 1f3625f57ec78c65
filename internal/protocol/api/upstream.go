package api

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Paths that instances serve to upstreams, and paths that workers and minions serve
// to instances.
const (
	PathAnnounceWorker = "/v1/workers/announce"
	PathAnnounceMinion = "/v1/minions/announce"
	PathTaskReserve    = "/v1/tasks/reserve"
	PathTaskStart      = "/v1/tasks/start"
	PathTaskStop       = "/v1/tasks/stop"
	PathTaskThrottle   = "/v1/tasks/throttle"
	PathServe          = "/v1/serve/"
)

// Headers of a request to a minion and of its answer.
const (
	HeaderRequestID  = "Pinewinch-Request-Id"
	HeaderDeadline   = "Pinewinch-Deadline-Ms"
	HeaderNotRun     = "Pinewinch-Not-Run"
	HeaderBodyLength = "Pinewinch-Body-Length"
	HeaderKey        = "Idempotency-Key"
)

// MaxMissedAnnouncements is the number of consecutive announcements that an upstream may
// miss before it is considered gone.
const MaxMissedAnnouncements = 3

// Announcement is the state that a worker or minion reports about itself. Incarnation
// increases with each start of the upstream, Version with each announcement.
type Announcement struct {
	ID           string       `json:"id"`
	Address      string       `json:"address"`
	DataCentre   string       `json:"data_centre"`
	Rack         string       `json:"rack,omitempty"`
	Cores        uint32       `json:"cores,omitempty"`
	MemoryMB     uint64       `json:"memory_mb,omitempty"`
	Accelerators uint32       `json:"accelerators,omitempty"`
	Services     []string     `json:"services,omitempty"`
	Slots        uint32       `json:"slots,omitempty"`
	Connections  uint32       `json:"connections,omitempty"`
	Busy         uint32       `json:"busy,omitempty"`
	Leaving      bool         `json:"leaving,omitempty"`
	Incarnation  int64        `json:"incarnation"`
	Version      uint64       `json:"version"`
	Tasks        []TaskReport `json:"tasks,omitempty"`
}

// TaskReport is a worker's report of one of its tasks. The report of an ended task is
// repeated until AnnounceReply.Forget acknowledges it.
type TaskReport struct {
	Job            string `json:"job"`
	Task           uint32 `json:"task"`
	Epoch          uint64 `json:"epoch"`
	Phase          string `json:"phase"`
	Code           string `json:"code,omitempty"`
	Detail         string `json:"detail,omitempty"`
	MemoryMB       uint64 `json:"memory_mb,omitempty"`
	CheckpointedMs int64  `json:"checkpointed_ms,omitempty"`
}

// CompletePercent is the progress of a task that has completed its work. A member of a
// gang may stay at it while it waits for the other members.
const CompletePercent = 100

// AnnounceReply tells an upstream when to announce next and a worker which of its
// tasks to continue. A renewed task may run for LeaseMs from the time at which the
// worker sent the announcement that this reply answers. The lease must not be counted
// from the receipt of the reply: a late reply would extend a lease that the system
// already considers expired. A task in Stop is checkpointed if possible, and ended. A
// task in neither Renew nor Stop runs until its lease expires.
//
// TryOther asks the upstream to send its next announcement to another instance: this
// one is disconnected from the control log, so it renews no leases, and the other
// instances may not receive the upstream's state from it.
type AnnounceReply struct {
	NextMs   int64 `json:"next_ms"`
	LeaseMs  int64 `json:"lease_ms"`
	TryOther bool  `json:"try_other,omitempty"`

	Renew  []TaskRef `json:"renew,omitempty"`
	Stop   []TaskRef `json:"stop,omitempty"`
	Forget []TaskRef `json:"forget,omitempty"`
}

// TaskRef identifies one run of one task.
type TaskRef struct {
	Job   string `json:"job"`
	Task  uint32 `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// TaskCommand is sent to a worker to reserve, start, throttle or stop a task.
type TaskCommand struct {
	TaskRef
	// Incarnation and Announced are the incarnation and version of the worker's newest
	// announcement that the sender has received. Another incarnation refuses a reserve
	// or start command. The lease of the task counts from when the worker sent that
	// announcement, so that a command delayed by the network is refused. A restarted
	// worker ends the tasks of its previous incarnation before it announces itself.
	Incarnation    int64    `json:"incarnation,omitempty"`
	Announced      uint64   `json:"announced,omitempty"`
	Accelerators   []uint32 `json:"accelerators,omitempty"`
	Cores          uint32   `json:"cores,omitempty"`
	MemoryMB       uint64   `json:"memory_mb,omitempty"`
	RunTimeMs      int64    `json:"run_time_ms,omitempty"`
	CheckpointedMs int64    `json:"checkpointed_ms,omitempty"`
	LeaseMs        int64    `json:"lease_ms,omitempty"`
	// Checkpoint requests a checkpoint when the task is stopped.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Percent is the share of its full speed that a throttled task may use, 1 to 100.
	Percent uint32 `json:"percent,omitempty"`
}

// TaskAnswer is a worker's answer to a command: its incarnation, the phase of the task
// after the command (empty if the worker has no such task) and the work saved by
// checkpoints, in milliseconds.
type TaskAnswer struct {
	Incarnation    int64  `json:"incarnation,omitempty"`
	Phase          string `json:"phase,omitempty"`
	CheckpointedMs int64  `json:"checkpointed_ms,omitempty"`
	// Checkpoint is the name of the newest checkpoint; empty if workers do not name them.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// Phases of a task on the wire.
const (
	PhaseReserved  = "reserved"
	PhaseRunning   = "running"
	PhaseCompleted = "completed"
	PhaseFailed    = "failed"
	PhaseStopped   = "stopped"
)

var phases = map[string]peerpb.TaskPhase{
	PhaseReserved:  peerpb.TaskPhase_TASK_PHASE_RESERVED,
	PhaseRunning:   peerpb.TaskPhase_TASK_PHASE_RUNNING,
	PhaseCompleted: peerpb.TaskPhase_TASK_PHASE_COMPLETED,
	PhaseFailed:    peerpb.TaskPhase_TASK_PHASE_FAILED,
	PhaseStopped:   peerpb.TaskPhase_TASK_PHASE_STOPPED,
}

// Upstream converts an announcement to the soft state that instances exchange; ttl is
// how long that state is valid.
func (a *Announcement) Upstream(kind peerpb.UpstreamKind, ttl time.Duration) *peerpb.Upstream {
	upstream := &peerpb.Upstream{
		Id:           a.ID,
		Kind:         kind,
		Address:      a.Address,
		DataCentre:   a.DataCentre,
		Rack:         a.Rack,
		Cores:        a.Cores,
		MemoryMb:     a.MemoryMB,
		Accelerators: a.Accelerators,
		Services:     a.Services,
		Slots:        a.Slots,
		Connections:  a.Connections,
		Busy:         a.Busy,
		Leaving:      a.Leaving,
		Incarnation:  a.Incarnation,
		Version:      a.Version,
		TtlMs:        ttl.Milliseconds(),
	}
	for _, report := range a.Tasks {
		upstream.Tasks = append(upstream.Tasks, report.message())
	}
	return upstream
}

func (t TaskReport) message() *peerpb.TaskReport {
	return &peerpb.TaskReport{
		Job:            t.Job,
		Task:           t.Task,
		Epoch:          t.Epoch,
		Phase:          phases[t.Phase],
		Code:           t.Code,
		Detail:         t.Detail,
		MemoryMb:       t.MemoryMB,
		CheckpointedMs: t.CheckpointedMs,
	}
}

// SetDeadline writes the time remaining for a request. It is relative, so that the
// clocks of sender and receiver need not agree.
func SetDeadline(header http.Header, left time.Duration) {
	header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// Deadline reads the time remaining for a request; ok is false if the header is absent
// or not a positive number of milliseconds.
func Deadline(header http.Header) (left time.Duration, ok bool) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// ServeCall is one request to be sent to a minion.
type ServeCall struct {
	Service string
	// ID identifies the request; the answer must carry the same ID.
	ID   string
	Body []byte
	// MaxBufferedBytes is the size in bytes of the largest answer that is buffered. A larger
	// answer is streamed to Sink; without a sink it is an error.
	MaxBufferedBytes int64
	Sink             AnswerSink
	// OnDispatch, if not nil, is called with true just before a connection carries the
	// request, as it may run from then on, and with false when it certainly did not run.
	OnDispatch func(at bool)
	// LateAnswerWindow is how long after the caller stopped waiting the answer to a dispatched
	// request is still accepted.
	LateAnswerWindow time.Duration
}

// AnswerSink receives a large answer as a stream. Of all attempts of one request only
// the first that begins may write to it.
type AnswerSink interface {
	// Begin starts an answer; ok is false if another attempt has begun or the sink is
	// closed.
	Begin(answer *Answer) (body io.Writer, ok bool)
}

// Answer is the answer of a minion to one request.
type Answer struct {
	Status      int
	ContentType string
	// Body is the complete answer, unless it was streamed.
	Body []byte
	// Streamed reports that the body was streamed to the request's sink.
	Streamed bool
	// Length is the size of a streamed answer in bytes if it is known in advance, else -1.
	Length int64
	// TruncationErr is the reason why a streamed answer was truncated, nil for a complete one.
	// Part of a truncated answer has already reached the caller, so the request must
	// not be sent to another minion.
	TruncationErr error
}
