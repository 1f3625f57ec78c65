package api

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/peerpb"
)

// Paths that an instance serves to upstreams, and that workers and minions
// serve to instances.
const (
	PathAnnounceWorker = "/v1/workers/announce"
	PathAnnounceMinion = "/v1/minions/announce"
	PathTaskReserve    = "/v1/tasks/reserve"
	PathTaskStart      = "/v1/tasks/start"
	PathTaskStop       = "/v1/tasks/stop"
	PathTaskThrottle   = "/v1/tasks/throttle"
	PathServe          = "/v1/serve/"
)

// Headers of a request on its way to a minion and of its answer back.
const (
	HeaderRequestID  = "Pinewinch-Request-Id"
	HeaderDeadline   = "Pinewinch-Deadline-Ms"
	HeaderNotRun     = "Pinewinch-Not-Run"
	HeaderBodyLength = "Pinewinch-Body-Length"
	HeaderKey        = "Idempotency-Key"
)

// AnnouncementsMissed is how many announcements an upstream may miss before it counts as
// gone.
const AnnouncementsMissed = 3

// Announcement is what a worker or minion says of itself. Incarnation grows
// with each start of the upstream, Version with each announcement.
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

// TaskReport is one task as its worker sees it. A worker repeats the report of
// an ended task until an answer to an announcement lists it as forgotten.
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

// WholePercent is the progress of a task whose work is done; a member of a gang may go
// on waiting there for the others.
const WholePercent = 100

// AnnounceReply tells an upstream when to announce next, and a worker which of
// its tasks to keep. A renewed task may run until LeaseMs after the moment at
// which the worker SENT the announcement that this answers; counted from the
// receipt of the answer, a late answer would prolong a lease that the system
// has taken to be over. A stopped task is checkpointed if it can be, and ended. A
// task in neither list runs until its lease ends.
//
// TryOther asks the upstream to announce itself to another instance next time: this
// one is cut off from the control log, so it renews nothing, and the others may not
// hear from it of the upstream.
type AnnounceReply struct {
	NextMs   int64 `json:"next_ms"`
	LeaseMs  int64 `json:"lease_ms"`
	TryOther bool  `json:"try_other,omitempty"`

	Renew  []TaskRef `json:"renew,omitempty"`
	Stop   []TaskRef `json:"stop,omitempty"`
	Forget []TaskRef `json:"forget,omitempty"`
}

// TaskRef names one run of one task.
type TaskRef struct {
	Job   string `json:"job"`
	Task  uint32 `json:"task"`
	Epoch uint64 `json:"epoch"`
}

// TaskCommand is sent to a worker to reserve, start, throttle or stop a task.
type TaskCommand struct {
	TaskRef
	// Incarnation and Announced are of the newest announcement of the worker that
	// the sender has heard. A reserve or start is refused by another incarnation,
	// and its lease runs from when the worker sent that announcement, so that a
	// command which the network held back is refused. A worker that starts again
	// ends what an earlier incarnation left before it announces itself.
	Incarnation    int64    `json:"incarnation,omitempty"`
	Announced      uint64   `json:"announced,omitempty"`
	Accelerators   []uint32 `json:"accelerators,omitempty"`
	Cores          uint32   `json:"cores,omitempty"`
	MemoryMB       uint64   `json:"memory_mb,omitempty"`
	RunTimeMs      int64    `json:"run_time_ms,omitempty"`
	CheckpointedMs int64    `json:"checkpointed_ms,omitempty"`
	LeaseMs        int64    `json:"lease_ms,omitempty"`
	// Checkpoint asks for the work to be kept when a task is stopped.
	Checkpoint bool `json:"checkpoint,omitempty"`
	// Percent of its speed that a throttled task may run at, 1 to 100.
	Percent uint32 `json:"percent,omitempty"`
}

// TaskAnswer is a worker's answer to a command: the phase that the task is in
// after it, empty where the worker knows of no such task, the work that a
// checkpoint has kept, and which start of the worker answers.
type TaskAnswer struct {
	Incarnation    int64  `json:"incarnation,omitempty"`
	Phase          string `json:"phase,omitempty"`
	CheckpointedMs int64  `json:"checkpointed_ms,omitempty"`
	// Checkpoint names the newest one, where workers name them.
	Checkpoint string `json:"checkpoint,omitempty"`
}

// The phases of a task on the wire.
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

// Upstream gives the soft state that an announcement stands for.
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

// SetDeadline writes the time left for a request, so that no clock is shared.
func SetDeadline(header http.Header, left time.Duration) {
	header.Set(HeaderDeadline, strconv.FormatInt(left.Milliseconds(), 10))
}

// Deadline reads the time left for a request; ok is false where none is given.
func Deadline(header http.Header) (left time.Duration, ok bool) {
	text := header.Get(HeaderDeadline)
	if text == "" {
		return 0, false
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	return time.Duration(ms) * time.Millisecond, err == nil && ms > 0
}

// ServeCall is one request on its way to a minion.
type ServeCall struct {
	Service string
	// ID identifies the request; its answer carries the same.
	ID   string
	Body []byte
	// Hold is the largest answer, in bytes, that is held whole. A larger one
	// goes to Sink while it arrives; with no sink it is an error.
	Hold int64
	Sink AnswerSink
	// Dispatched, if any, is told true when a connection is about to carry the
	// request, for from then on it may run, and false when it surely did not.
	Dispatched func(at bool)
	// Late is how long after the end of the caller's wait an answer to a
	// dispatched request is still taken.
	Late time.Duration
}

// AnswerSink takes a large answer while it arrives. Of the tries of one
// request only the first that begins may write to it.
type AnswerSink interface {
	// Begin announces an answer; ok is false where another try has begun.
	Begin(answer *Answer) (body io.Writer, ok bool)
}

// Answer is a minion's answer to one request.
type Answer struct {
	Status      int
	ContentType string
	// Body is the whole answer, unless it was streamed.
	Body []byte
	// Streamed tells that the body went to the request's sink as it came.
	Streamed bool
	// Length of a streamed answer where it is known beforehand, else -1.
	Length int64
	// Cut is why a streamed answer ended too early, nil for a whole one. A part
	// has reached the caller by then, so no other minion may be tried.
	Cut error
}
