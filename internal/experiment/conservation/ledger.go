// Package conservation sends requests to instances that are being killed,
// restarted and drained, and checks afterwards what callers were told against
// what minions recorded.
package conservation

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
)

// Verdict is what a caller knows of its request in the end.
type Verdict string

// The verdicts.
const (
	Answered Verdict = "answered"
	NotRun   Verdict = "not run"
	// Failed is that the request ran and its answer is not to be had.
	Failed  Verdict = "failed"
	Unknown Verdict = "unknown"
)

// Ledger is what every caller was told.
type Ledger struct {
	mu       sync.Mutex
	verdicts map[string]Verdict
	report   Report
}

// Report counts what happened and what must not have.
type Report struct {
	Requests, Calls, Answered, NotRun, Failed, Unknown, Fetched int
	// Executed is how many non-idempotent requests minions ran.
	Executed int
	// The violations; all must be zero.
	RunTwice, NotRunThatRan, RanThatDidNot, WrongCaller, Truncated int
	// Examples names a few violations.
	Examples []string
}

// Violations counts everything that must not have happened.
func (r *Report) Violations() int {
	return r.RunTwice + r.NotRunThatRan + r.RanThatDidNot + r.WrongCaller + r.Truncated
}

// String gives the report on one line.
func (r *Report) String() string {
	return fmt.Sprintf("%d requests in %d calls: %d answered (%d fetched later), %d not run, %d failed, %d unknown; %d non-idempotent executed; violations: %d run twice, %d not run that ran, %d said to have run that did not, %d to the wrong caller, %d truncated",
		r.Requests, r.Calls, r.Answered, r.Fetched, r.NotRun, r.Failed, r.Unknown, r.Executed,
		r.RunTwice, r.NotRunThatRan, r.RanThatDidNot, r.WrongCaller, r.Truncated)
}

// maxExamples bounds the violations that are named.
const maxExamples = 5

func (r *Report) violation(count *int, format string, args ...any) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// NewLedger makes an empty ledger.
func NewLedger() *Ledger { return &Ledger{verdicts: map[string]Verdict{}} }

// request is one request as its caller knows it.
type request struct {
	customer   string
	service    string
	key        string
	idempotent bool
	// nonce opens the body and is in no other request's.
	nonce string
	body  string
}

// id is how minions record a non-idempotent request.
func (r *request) id() string { return r.customer + "/" + r.key }

func (l *Ledger) countCall() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Calls++
}

func (l *Ledger) countFetched() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Fetched++
}

// conclude records a caller's last word on a request.
func (l *Ledger) conclude(r *request, verdict Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.Requests++
	switch verdict {
	case Answered:
		l.report.Answered++
	case NotRun:
		l.report.NotRun++
	case Failed:
		l.report.Failed++
	default:
		l.report.Unknown++
	}
	if !r.idempotent && r.key != "" {
		l.verdicts[r.id()] = verdict
	}
}

var nonces = regexp.MustCompile(`nonce-\d+-`)

// checkAnswer judges an answer that came as a success.
func (l *Ledger) checkAnswer(r *request, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	middle := " did " + r.service + " for "
	if !r.idempotent {
		middle += r.id() + ": "
	}
	if strings.Contains(text, middle) && strings.HasSuffix(text, ": "+r.body+"\n") {
		return
	}
	if found := nonces.FindString(text); found != "" && found != r.nonce {
		l.report.violation(&l.report.WrongCaller, "%s got %q", r.nonce, text[:min(len(text), 100)])
		return
	}
	l.report.violation(&l.report.Truncated, "%s got %d bytes of an answer to %d", r.nonce, len(text), len(r.body))
}

// strangerSaw records that a customer was given another's answer.
func (l *Ledger) strangerSaw(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.violation(&l.report.WrongCaller, "a stranger fetched %s", r.id())
}

// Check compares what callers were told with the executions that minions
// recorded under each id.
func (l *Ledger) Check(runs map[string]int) *Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := l.report
	for id, count := range runs {
		if !strings.Contains(id, "/") {
			continue
		}
		report.Executed++
		if count > 1 {
			report.violation(&report.RunTwice, "%s ran %d times", id, count)
		}
	}
	for id, verdict := range l.verdicts {
		if verdict == NotRun && runs[id] > 0 {
			report.violation(&report.NotRunThatRan, "%s was called not run", id)
		}
		if (verdict == Answered || verdict == Failed) && runs[id] == 0 {
			report.violation(&report.RanThatDidNot, "%s %s", id, verdict)
		}
	}
	return &report
}
