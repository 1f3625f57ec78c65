// Package failure holds the typed errors of pinewinch. Every failure has a
// code, maps to one HTTP status and one exit code, says whether the work ran,
// and is found with errors.As.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// NotRun says whether refused work surely did not run.
type NotRun string

// The three answers to "did it run?".
const (
	NotRunTrue    NotRun = "true"
	NotRunFalse   NotRun = "false"
	NotRunUnknown NotRun = "unknown"
)

// Code names one kind of failure on the wire, in logs and in tests.
type Code string

// The codes. kinds gives each its HTTP status and exit code.
const (
	BadSettings     Code = "bad_settings"
	BadDeclaration  Code = "bad_declaration"
	BadRequest      Code = "bad_request"
	Unauthorized    Code = "unauthorized"
	NotFound        Code = "not_found"
	WrongMethod     Code = "method_not_allowed"
	Conflict        Code = "revision_conflict"
	KeyReused       Code = "key_reused"
	StaleSequence   Code = "stale_sequence"
	StaleEpoch      Code = "stale_epoch"
	Infeasible      Code = "infeasible"
	Overloaded      Code = "overloaded"
	LimitReached    Code = "limit_reached"
	DeadlinePassed  Code = "deadline_passed"
	NotReady        Code = "not_ready"
	StaleState      Code = "stale_state"
	NotLeader       Code = "not_leader"
	NoLeader        Code = "no_leader"
	NoQuorum        Code = "no_quorum"
	ChangePending   Code = "change_pending"
	NotCaughtUp     Code = "not_caught_up"
	Unreachable     Code = "unreachable"
	OutcomeUnknown  Code = "outcome_unknown"
	TruncatedAnswer Code = "truncated_answer"
	WrongAnswer     Code = "wrong_answer"
	UpstreamFailed  Code = "upstream_failed"
	TooLarge        Code = "too_large"
	AnswerGone      Code = "answer_gone"
	KeyExpired      Code = "key_expired"
	Corrupt         Code = "corrupt_log"
	DiskFailed      Code = "disk_failed"
	// DiskFull is a disk that takes no more bytes: what was to be written is not
	// there, and may be written again once there is room.
	DiskFull Code = "disk_full"
	// OutOfDescriptors is a file or connection that this process could not open because
	// it holds as many as it may: nothing was written or sent.
	OutOfDescriptors Code = "out_of_descriptors"

	FolderInUse   Code = "data_folder_in_use"
	CommandTooNew Code = "command_too_new"
	Internal      Code = "internal"
	// Codes of tasks.
	MemoryExceeded Code = "memory_exceeded"
	TaskFailed     Code = "task_failed"
	LeaseLost      Code = "lease_lost"
	WorkerVanished Code = "worker_vanished"
	StartTimeout   Code = "start_timeout"
	Stalled        Code = "stalled"
)

type kind struct {
	status int
	exit   int
}

var kinds = map[Code]kind{
	BadSettings:     {http.StatusBadRequest, 2},
	BadDeclaration:  {http.StatusUnprocessableEntity, 3},
	BadRequest:      {http.StatusBadRequest, 4},
	Unauthorized:    {http.StatusUnauthorized, 5},
	NotFound:        {http.StatusNotFound, 6},
	WrongMethod:     {http.StatusMethodNotAllowed, 50},
	Conflict:        {http.StatusConflict, 7},
	KeyReused:       {http.StatusConflict, 8},
	StaleSequence:   {http.StatusConflict, 9},
	StaleEpoch:      {http.StatusConflict, 10},
	Infeasible:      {http.StatusUnprocessableEntity, 11},
	Overloaded:      {http.StatusServiceUnavailable, 12},
	LimitReached:    {http.StatusTooManyRequests, 13},
	DeadlinePassed:  {http.StatusGatewayTimeout, 14},
	NotReady:        {http.StatusServiceUnavailable, 15},
	StaleState:      {http.StatusServiceUnavailable, 16},
	NotLeader:       {http.StatusMisdirectedRequest, 17},
	NoLeader:        {http.StatusServiceUnavailable, 18},
	NoQuorum:        {http.StatusPreconditionFailed, 40},
	ChangePending:   {http.StatusConflict, 41},
	NotCaughtUp:     {http.StatusConflict, 42},
	Unreachable:     {http.StatusServiceUnavailable, 19},
	OutcomeUnknown:  {http.StatusBadGateway, 20},
	TruncatedAnswer: {http.StatusBadGateway, 21},
	WrongAnswer:     {http.StatusBadGateway, 22},
	UpstreamFailed:  {http.StatusBadGateway, 23},
	TooLarge:        {http.StatusRequestEntityTooLarge, 24},
	AnswerGone:      {http.StatusGone, 43},
	KeyExpired:      {http.StatusGone, 44},
	Corrupt:         {http.StatusInternalServerError, 25},
	DiskFailed:      {http.StatusInternalServerError, 26},
	DiskFull:        {http.StatusInsufficientStorage, 52},
	FolderInUse:     {http.StatusInternalServerError, 27},
	CommandTooNew:   {http.StatusInternalServerError, 51},
	Internal:        {http.StatusInternalServerError, 1},
	MemoryExceeded:  {http.StatusInsufficientStorage, 45},
	TaskFailed:      {http.StatusBadGateway, 46},
	LeaseLost:       {http.StatusBadGateway, 47},
	WorkerVanished:  {http.StatusBadGateway, 48},
	StartTimeout:    {http.StatusGatewayTimeout, 49},
	Stalled:         {http.StatusBadGateway, 53},

	OutOfDescriptors: {http.StatusServiceUnavailable, 54},
}

// infrastructure holds the codes of failures that say nothing about the work
// itself: it met a worker that was out of reach, full, or behind.
var infrastructure = map[Code]bool{
	Unreachable:     true,
	OutcomeUnknown:  true,
	TruncatedAnswer: true,
	WrongAnswer:     true,
	StaleEpoch:      true,
	StaleState:      true,
	Overloaded:      true,
	NotFound:        true,
	NotReady:        true,
	DeadlinePassed:  true,
	LeaseLost:       true,
	WorkerVanished:  true,
	StartTimeout:    true,
	Stalled:         true,

	OutOfDescriptors: true,
}

// Infrastructure tells whether a task's failure counts against no job. A code
// that a worker made up is the work's own.
func (c Code) Infrastructure() bool { return infrastructure[c] }

// Codes lists every code; tests check that each has one status and one exit code.
func Codes() []Code {
	codes := make([]Code, 0, len(kinds))
	for code := range kinds {
		codes = append(codes, code)
	}
	return codes
}

// Source is an instance whose log could be followed.
type Source struct {
	Instance string
	// DataCentre is empty where it is not known.
	DataCentre string
	// Replica tells one that keeps the log from one that follows it.
	Replica bool
}

// Error is the failure that crosses layers and processes.
type Error struct {
	Code    Code
	Message string
	// NotRun is whether the work asked for surely did not run.
	NotRun NotRun
	// RetryAfter tells the caller when to come back; 0 where that is unknown.
	RetryAfter time.Duration
	// Leader is the instance to ask instead, where known.
	Leader string
	// Sources have the state too, for a follower that is refused.
	Sources []Source
	// Revision is the newest revision, for Conflict.
	Revision uint64
	// Cause is the error underneath, if any.
	Cause error
}

// Error gives the code and the message.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Code) + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message + ": " + e.Cause.Error()
}

// Unwrap gives the cause to errors.Is and errors.As.
func (e *Error) Unwrap() error { return e.Cause }

// HTTPStatus is the status that this failure answers with.
func (e *Error) HTTPStatus() int { return lookUp(e.Code).status }

// ExitCode is the code that a process ends with on this failure.
func (e *Error) ExitCode() int { return lookUp(e.Code).exit }

func lookUp(code Code) kind {
	if k, ok := kinds[code]; ok {
		return k
	}
	return kinds[Internal]
}

// New makes a failure of work that surely did not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: NotRunTrue}
}

// Ran makes a failure of work that ran, or may have: notRun says which.
func Ran(code Code, notRun NotRun, cause error, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: notRun, Cause: cause}
}

// Wrap makes a failure of work that surely did not run because of cause.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	return Ran(code, NotRunTrue, cause, format, args...)
}

// From finds the failure in err; an error without one becomes Internal, with
// the outcome unknown.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Ran(Internal, NotRunUnknown, err, "unexpected error")
}

// Is tells whether err carries the code.
func Is(err error, code Code) bool {
	var found *Error
	return errors.As(err, &found) && found.Code == code
}
