package admission

import (
	"errors"
	"expvar"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// cause is why a connection was closed.
type cause string

const (
	// connectionLimit and messageBytes: another connection took its place or its bytes.
	connectionLimit cause = "connection_limit"
	messageBytes    cause = "message_bytes"
	// noConnectionLeft and noBytesLeft: all connections or bytes are held by messages in
	// handling.
	noConnectionLeft cause = "no_connection_left"
	noBytesLeft      cause = "no_bytes_left"
	tooLarge         cause = "too_large"
	badFraming       cause = "bad_framing"
	emptyLines       cause = "empty_lines"
	slowHead         cause = "slow_head"
	failedHandshake  cause = "failed_handshake"
)

var causes = []cause{connectionLimit, messageBytes, noConnectionLeft, noBytesLeft, tooLarge, badFraming, emptyLines, slowHead, failedHandshake}

// refusals are the answers to messages that can't be admitted; other causes have none.
var refusals = map[cause]string{
	tooLarge:   "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
	badFraming: "HTTP/1.1 400 Bad Request\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
}

// causeOf returns the cause that an error stands for.
func causeOf(err error) cause {
	switch {
	case errors.Is(err, errEmptyLines):
		return emptyLines
	case errors.Is(err, errNoBytes):
		return noBytesLeft
	case failure.From(err).Code == failure.TooLarge:
		return tooLarge
	}
	return badFraming
}

// reportInterval is the shortest time between two log lines of the same cause.
const reportInterval = time.Second

var phaseNames = [phases]string{"idle", "head", "body", "handling", "answering", "closing"}

// report publishes the metrics of a gate and logs what it closes.
type report struct {
	name   string
	logger *logrus.Logger
	held   *expvar.Int
	phases [phases]*expvar.Int

	mu sync.Mutex
	// byCause is complete from the start.
	byCause map[cause]*causeReport
}

// causeReport counts the connections closed for a cause, and those since its last line.
type causeReport struct {
	total    *expvar.Int
	unlogged int
	last     time.Time
}

func newReport(name string, limits Limits, logger *logrus.Logger) *report {
	r := &report{name: name, logger: logger, held: publishedInt(name + "_message_bytes"), byCause: map[cause]*causeReport{}}
	publishedInt(name + "_message_bytes_bound").Set(limits.MessageBytes)
	publishedInt(name + "_connections_bound").Set(int64(limits.Connections))
	for phase, text := range phaseNames {
		r.phases[phase] = publishedInt(name + "_connections_" + text)
	}
	for _, why := range causes {
		r.byCause[why] = &causeReport{total: publishedInt(name + "_closed_" + string(why))}
	}
	return r
}

// publishedInt returns the published variable of that name, and publishes it if there is
// none: tests create several gates of the same name.
func publishedInt(name string) *expvar.Int {
	if known, ok := expvar.Get(name).(*expvar.Int); ok {
		return known
	}
	return expvar.NewInt(name)
}

func (r *report) gauges(b *Budget) {
	r.held.Set(b.held)
	for phase, n := range b.byPhase {
		r.phases[phase].Set(int64(n))
	}
}

// closed counts a connection that was closed. It logs the first of a cause, and then at most
// one line in each reportInterval, with the number since the last.
func (r *report) closed(why cause, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.byCause[why]
	c.total.Add(1)
	c.unlogged++
	if r.logger == nil || now.Sub(c.last) < reportInterval {
		return
	}
	r.logger.WithFields(logrus.Fields{
		"gate": r.name, "cause": string(why), "closed": c.unlogged, "total": c.total.Value(),
		"message_bytes": r.held.Value(),
	}).Warn("connections closed by admission")
	c.unlogged, c.last = 0, now
}
