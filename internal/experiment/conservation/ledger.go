// Package conservation sends requests to instances that are being killed, restarted and
// drained, and then checks what callers were told against the executions that minions
// recorded: no request that is not idempotent may run twice, and no answer may be wrong.
package conservation

import (
	"fmt"
	"regexp"
	"strings"
	"sync"
)

// Verdict is the outcome of a request as its caller finally knows it.
type Verdict string

// The possible verdicts.
const (
	Answered Verdict = "answered"
	NotRun   Verdict = "not run"
	// Failed means that the request ran and its answer is not available.
	Failed  Verdict = "failed"
	Unknown Verdict = "unknown"
)

// Ledger records what the callers were told. It is safe for concurrent use.
type Ledger struct {
	mu       sync.Mutex
	verdicts map[string]Verdict
	report   Report
}

// Report holds counts of a run and the violations found.
type Report struct {
	Requests, Calls, Answered, NotRun, Failed, Unknown, Fetched int
	// Executed is the number of non-idempotent requests with a key that minions ran.
	Executed int
	// Counts of violations: requests run twice, requests reported as not run that ran,
	// requests reported as run that did not, answers to the wrong caller, and truncated
	// answers. All must be zero.
	RunTwice, NotRunButRan, RanButDidNot, WrongCaller, Truncated int
	// Examples describes the first maxExamples violations.
	Examples []string
}

// Violations is the total number of violations.
func (r *Report) Violations() int {
	return r.RunTwice + r.NotRunButRan + r.RanButDidNot + r.WrongCaller + r.Truncated
}

// String formats the report on one line.
func (r *Report) String() string {
	return fmt.Sprintf("%d requests in %d calls: %d answered (%d fetched later), %d not run, %d failed, %d unknown; %d non-idempotent executed; violations: %d run twice, %d not run that ran, %d said to have run that did not, %d to the wrong caller, %d truncated",
		r.Requests, r.Calls, r.Answered, r.Fetched, r.NotRun, r.Failed, r.Unknown, r.Executed,
		r.RunTwice, r.NotRunButRan, r.RanButDidNot, r.WrongCaller, r.Truncated)
}

// maxExamples limits the number of violations that are described.
const maxExamples = 5

func (r *Report) violation(count *int, format string, args ...any) {
	*count++
	if len(r.Examples) < maxExamples {
		r.Examples = append(r.Examples, fmt.Sprintf(format, args...))
	}
}

// NewLedger returns an empty ledger.
func NewLedger() *Ledger { return &Ledger{verdicts: map[string]Verdict{}} }

// request is one request as its caller knows it.
type request struct {
	customer   string
	service    string
	key        string
	idempotent bool
	// nonce is the unique prefix of the body.
	nonce string
	body  string
}

// id identifies a non-idempotent request in the records of minions.
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

// recordVerdict records the final verdict on a request.
func (l *Ledger) recordVerdict(r *request, verdict Verdict) {
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

var noncePattern = regexp.MustCompile(`nonce-\d+-`)

// checkAnswer checks that a successful answer is whole and belongs to the request.
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
	if found := noncePattern.FindString(text); found != "" && found != r.nonce {
		l.report.violation(&l.report.WrongCaller, "%s got %q", r.nonce, text[:min(len(text), 100)])
		return
	}
	l.report.violation(&l.report.Truncated, "%s got %d bytes of an answer to %d", r.nonce, len(text), len(r.body))
}

// recordForeignFetch records that a customer was given the answer of another one.
func (l *Ledger) recordForeignFetch(r *request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.report.violation(&l.report.WrongCaller, "a stranger fetched %s", r.id())
}

// Check compares what callers were told with runs, the number of executions that minions
// recorded under each request id.
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
			report.violation(&report.NotRunButRan, "%s was called not run", id)
		}
		if (verdict == Answered || verdict == Failed) && runs[id] == 0 {
			report.violation(&report.RanButDidNot, "%s %s", id, verdict)
		}
	}
	return &report
}
