// Package detector compares ways to decide when a silent voter is lost, on
// generated and on recorded silences.
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

// Silence is one time in which a peer was not heard.
type Silence struct {
	Peer string
	At   time.Duration
	// Lasts is how long until the peer came back; Lost tells that it never did.
	Lasts time.Duration
	Lost  bool
}

// peerKind generates the silences of one kind of peer: lognormal, as restarts
// and link faults are, of many short and a few long ones.
type peerKind struct {
	name   string
	median time.Duration
	// sigma is the spread: e^sigma times the median is one deviation up.
	sigma float64
	// perDay is how many silences a peer has, lostShare how many never end.
	perDay    float64
	lostShare float64
}

// kinds are the peers of one generated trace. The ratio of losses to silences
// that end is that of the planned size: 10 losses to 150 restarts or
// replacements a day.
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

// Kinds is how many kinds of peers there are, the longest silences last.
func Kinds() int { return len(kinds) }

// Generate makes the silences of count peers of each of the first kinds over
// some days, in the order of time.
func Generate(r *rand.Rand, first, count, days int) []Silence {
	var silences []Silence
	for _, kind := range kinds[:min(first, len(kinds))] {
		for n := range count {
			name := kind.name + " " + string(rune('a'+n%26))
			silences = append(silences, kind.generate(r, name, days)...)
		}
	}
	sortByTime(silences)
	return silences
}

func (k peerKind) generate(r *rand.Rand, name string, days int) []Silence {
	var silences []Silence
	pause := float64(day) / k.perDay
	for at := r.ExpFloat64() * pause; at < float64(days)*float64(day); at += r.ExpFloat64() * pause {
		silence := Silence{Peer: name, At: time.Duration(at)}
		silence.Lost = r.Float64() < k.lostShare
		silence.Lasts = time.Duration(float64(k.median) * math.Exp(k.sigma*r.NormFloat64()))
		silences = append(silences, silence)
	}
	return silences
}

// Read reads recorded silences, one a line: peer and duration. Every one ended
// by itself; losses are put in between by Interleave.
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
		lasts, err := time.ParseDuration(fields[1])
		if err != nil {
			return nil, failure.Wrap(failure.BadRequest, err, "line %q", lines.Text())
		}
		silences = append(silences, Silence{Peer: fields[0], At: time.Duration(len(silences)) * time.Hour, Lasts: lasts})
	}
	if err := lines.Err(); err != nil {
		return nil, failure.Wrap(failure.BadRequest, err, "recorded silences")
	}
	return silences, nil
}

// Interleave puts losses among recorded silences at the generated share.
func Interleave(r *rand.Rand, silences []Silence) []Silence {
	for i := range silences {
		silences[i].Lost = r.Float64() < lostShare
	}
	return silences
}
