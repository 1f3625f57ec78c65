// Package failure defines the typed errors of pinewinch. Every error has a code that
// maps to one HTTP status and one exit code, states whether the requested work ran,
// and can be found with errors.As.
package failure

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// NotRun states whether failed work is certain not to have run.
type NotRun string

// NotRunTrue: the work did not run. NotRunFalse: it ran. NotRunUnknown: it may have run.
const (
	NotRunTrue    NotRun = "true"
	NotRunFalse   NotRun = "false"
	NotRunUnknown NotRun = "unknown"
)

// Code identifies a kind of error on the wire, in logs and in tests.
type Code string

// Error codes. codeTable maps each to its HTTP status and exit code.
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
	// DiskFull means that the disk has no free space: the data was not written, and the
	// write can be retried once space is available.
	DiskFull Code = "disk_full"
	// OutOfDescriptors means that a file or connection could not be opened because the
	// process has reached its limit of file descriptors: nothing was written or sent.
	OutOfDescriptors Code = "out_of_descriptors"

	FolderInUse Code = "data_folder_in_use"
	// FolderSuperseded: the data folder is an older copy of the one that the replica had.
	FolderSuperseded Code = "data_folder_superseded"
	CommandTooNew    Code = "command_too_new"
	Internal         Code = "internal"
	// Codes of task failures.
	MemoryExceeded Code = "memory_exceeded"
	TaskFailed     Code = "task_failed"
	LeaseLost      Code = "lease_lost"
	// GangEnded is the end of a run whose worker ended it because another member of its gang
	// had ended.
	GangEnded      Code = "gang_ended"
	WorkerVanished Code = "worker_vanished"
	StartTimeout   Code = "start_timeout"
	Stalled        Code = "stalled"
	// CrashesWorkers means that a job was given up because workers crashed under it.
	CrashesWorkers Code = "crashes_workers"
	// DataCentreEvacuated means that a task was not started because its worker's data
	// centre is evacuated.
	DataCentreEvacuated Code = "data_centre_evacuated"
)

type statusCodes struct {
	status int
	exit   int
}

var codeTable = map[Code]statusCodes{
	BadSettings:      {http.StatusBadRequest, 2},
	BadDeclaration:   {http.StatusUnprocessableEntity, 3},
	BadRequest:       {http.StatusBadRequest, 4},
	Unauthorized:     {http.StatusUnauthorized, 5},
	NotFound:         {http.StatusNotFound, 6},
	WrongMethod:      {http.StatusMethodNotAllowed, 50},
	Conflict:         {http.StatusConflict, 7},
	KeyReused:        {http.StatusConflict, 8},
	StaleSequence:    {http.StatusConflict, 9},
	StaleEpoch:       {http.StatusConflict, 10},
	Infeasible:       {http.StatusUnprocessableEntity, 11},
	Overloaded:       {http.StatusServiceUnavailable, 12},
	LimitReached:     {http.StatusTooManyRequests, 13},
	DeadlinePassed:   {http.StatusGatewayTimeout, 14},
	NotReady:         {http.StatusServiceUnavailable, 15},
	StaleState:       {http.StatusServiceUnavailable, 16},
	NotLeader:        {http.StatusMisdirectedRequest, 17},
	NoLeader:         {http.StatusServiceUnavailable, 18},
	NoQuorum:         {http.StatusPreconditionFailed, 40},
	ChangePending:    {http.StatusConflict, 41},
	NotCaughtUp:      {http.StatusConflict, 42},
	Unreachable:      {http.StatusServiceUnavailable, 19},
	OutcomeUnknown:   {http.StatusBadGateway, 20},
	TruncatedAnswer:  {http.StatusBadGateway, 21},
	WrongAnswer:      {http.StatusBadGateway, 22},
	UpstreamFailed:   {http.StatusBadGateway, 23},
	TooLarge:         {http.StatusRequestEntityTooLarge, 24},
	AnswerGone:       {http.StatusGone, 43},
	KeyExpired:       {http.StatusGone, 44},
	Corrupt:          {http.StatusInternalServerError, 25},
	DiskFailed:       {http.StatusInternalServerError, 26},
	DiskFull:         {http.StatusInsufficientStorage, 52},
	FolderInUse:      {http.StatusInternalServerError, 27},
	FolderSuperseded: {http.StatusInternalServerError, 57},
	CommandTooNew:    {http.StatusInternalServerError, 51},
	Internal:         {http.StatusInternalServerError, 1},
	MemoryExceeded:   {http.StatusInsufficientStorage, 45},
	TaskFailed:       {http.StatusBadGateway, 46},
	LeaseLost:        {http.StatusBadGateway, 47},
	GangEnded:        {http.StatusBadGateway, 58},
	WorkerVanished:   {http.StatusBadGateway, 48},
	StartTimeout:     {http.StatusGatewayTimeout, 49},
	Stalled:          {http.StatusBadGateway, 53},
	CrashesWorkers:   {http.StatusBadGateway, 55},

	OutOfDescriptors:    {http.StatusServiceUnavailable, 54},
	DataCentreEvacuated: {http.StatusServiceUnavailable, 56},
}

// infrastructure holds the codes of failures that are not caused by the work itself,
// such as a worker that is unreachable, overloaded or has stale state.
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
	GangEnded:       true,
	WorkerVanished:  true,
	StartTimeout:    true,
	Stalled:         true,

	OutOfDescriptors:    true,
	DataCentreEvacuated: true,
}

// Infrastructure reports whether a task failure with this code is not counted against
// its job. A code that is not defined here, as a worker may report, counts as a failure
// of the job.
func (c Code) Infrastructure() bool { return infrastructure[c] }

// Codes returns every code, in no particular order.
func Codes() []Code {
	codes := make([]Code, 0, len(codeTable))
	for code := range codeTable {
		codes = append(codes, code)
	}
	return codes
}

// Source is an instance from which the log can be followed.
type Source struct {
	Instance string
	// DataCentre is empty if unknown.
	DataCentre string
	// Replica is true for a replica of the log, false for an instance that itself
	// follows the log.
	Replica bool
}

// Error is an error that is passed between layers and processes.
type Error struct {
	Code    Code
	Message string
	// NotRun states whether the requested work is certain not to have run.
	NotRun NotRun
	// RetryAfter is how long the caller should wait before it retries; 0 if unknown.
	RetryAfter time.Duration
	// Leader is the instance to send the request to instead; empty if unknown.
	Leader string
	// Sources are other instances to follow, for a follower that is refused.
	Sources []Source
	// Revision is the newest revision, for Conflict.
	Revision uint64
	// Cause is the wrapped error, if any.
	Cause error
}

// Error returns the code, the message and the cause.
func (e *Error) Error() string {
	if e.Cause == nil {
		return string(e.Code) + ": " + e.Message
	}
	return string(e.Code) + ": " + e.Message + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// HTTPStatus returns the HTTP status of the error's code.
func (e *Error) HTTPStatus() int { return statusCodesOf(e.Code).status }

// ExitCode returns the exit code of a process that fails with this error.
func (e *Error) ExitCode() int { return statusCodesOf(e.Code).exit }

func statusCodesOf(code Code) statusCodes {
	if k, ok := codeTable[code]; ok {
		return k
	}
	return codeTable[Internal]
}

// New returns an error for work that certainly did not run.
func New(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: NotRunTrue}
}

// Ran returns an error that wraps cause, for work that ran or may have run, as stated
// by notRun.
func Ran(code Code, notRun NotRun, cause error, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...), NotRun: notRun, Cause: cause}
}

// Wrap returns an error that wraps cause, for work that certainly did not run.
func Wrap(code Code, cause error, format string, args ...any) *Error {
	return Ran(code, NotRunTrue, cause, format, args...)
}

// From returns the first *Error in the chain of err. An err without one is wrapped with
// code Internal and NotRunUnknown.
func From(err error) *Error {
	var found *Error
	if errors.As(err, &found) {
		return found
	}
	return Ran(Internal, NotRunUnknown, err, "unexpected error")
}

// Is reports whether the first *Error in the chain of err has the code.
func Is(err error, code Code) bool {
	var found *Error
	return errors.As(err, &found) && found.Code == code
}
