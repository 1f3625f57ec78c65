// Package detector compares policies that decide when a silent voter is lost, on generated
// and on recorded silences.
package detector

import (
	"bufio"
	"io"
	"math"
	"math/rand/v2"
	"strings"
	"time"

	"pinewinch.example/pinewinch/internal/protocol/failure"
)

// Silence is a period without messages from a peer.
type Silence struct {
	Peer string
	// Start is the start, relative to that of the trace.
	Start time.Duration
	// Length is the time until the peer returned; if Lost is set it never did.
	Length time.Duration
	Lost   bool
}

// peerKind describes the silences of one kind of peer. Their durations are lognormal, as
// those of restarts and link faults: many short ones and a few long ones.
type peerKind struct {
	name   string
	median time.Duration
	// sigma is the standard deviation of the logarithm of the duration.
	sigma float64
	// perDay is the mean number of silences of a peer per day, lostShare the share of them
	// that never end.
	perDay    float64
	lostShare float64
}

// kinds are the kinds of peers in a generated trace. The ratio of losses to silences that
// end is that expected at the planned size: 10 losses to 150 restarts or replacements a
// day.
var kinds = []peerKind{
	{name: "quick restart", median: 4 * time.Second, sigma: 0.4, perDay: 2, lostShare: lostShare},
	{name: "slow restart", median: 90 * time.Second, sigma: 0.5, perDay: 2, lostShare: lostShare},
	{name: "poor link", median: 20 * time.Second, sigma: 1.0, perDay: 6, lostShare: lostShare},
	{name: "region cut off", median: 25 * time.Minute, sigma: 0.7, perDay: 0.5, lostShare: lostShare},
}

const (
	lostShare = 10.0 / 160
	day       = 24 * time.Hour
)

// Kinds is the number of kinds of peers; the kind with the longest silences is the last.
func Kinds() int { return len(kinds) }

// Generate generates the silences of count peers of each of the first kinds over some days,
// sorted by time. Names repeat after 26 peers of a kind.
func Generate(r *rand.Rand, first, count, days int) []Silence {
	var silences []Silence
	for _, kind := range kinds[:min(first, len(kinds))] {
		for n := range count {
			name := kind.name + " " + string(rune('a'+n%26))
			silences = append(silences, kind.generate(r, name, days)...)
		}
	}
	sortByStart(silences)
	return silences
}

func (k peerKind) generate(r *rand.Rand, name string, days int) []Silence {
	var silences []Silence
	meanInterval := float64(day) / k.perDay
	for at := r.ExpFloat64() * meanInterval; at < float64(days)*float64(day); at += r.ExpFloat64() * meanInterval {
		silence := Silence{Peer: name, Start: time.Duration(at)}
		silence.Lost = r.Float64() < k.lostShare
		silence.Length = time.Duration(float64(k.median) * math.Exp(k.sigma*r.NormFloat64()))
		silences = append(silences, silence)
	}
	return silences
}

// Read reads recorded silences, one per line: the peer and a duration as of
// time.ParseDuration. Empty lines and lines that start with # are skipped. Every recorded
// silence ended; Interleave marks some as losses. The silences start an hour apart.
func Read(from io.Reader) ([]Silence, error) {
	var silences []Silence
	lines := bufio.NewScanner(from)
	for lines.Scan() {
		fields := strings.Fields(lines.Text())
		if len(fields) == 0 || strings.HasPrefix(fields[0], "#") {
			continue
		}
		if len(fields) != 2 {
			return nil, failure.New(failure.BadRequest, "line %q is not a peer and a duration", lines.Text())
		}
		length, err := time.ParseDuration(fields[1])
		if err != nil {
			return nil, failure.Wrap(failure.BadRequest, err, "line %q", lines.Text())
		}
		silences = append(silences, Silence{Peer: fields[0], Start: time.Duration(len(silences)) * time.Hour, Length: length})
	}
	if err := lines.Err(); err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "recorded silences")
	}
	return silences, nil
}

// Interleave marks recorded silences as losses, at random, with the share of generated
// traces.
func Interleave(r *rand.Rand, silences []Silence) []Silence {
	for i := range silences {
		silences[i].Lost = r.Float64() < lostShare
	}
	return silences
}
