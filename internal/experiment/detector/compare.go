package detector

import (
	"cmp"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/membership/detector"
)

// Policy decides how long a silent peer is waited for.
type Policy interface {
	Delay(peer string, missing, wanted int) time.Duration
	ObserveReturn(peer string, silence time.Duration)
	ObserveLoss(peer string)
}

// Fixed waits the same for every peer.
type Fixed time.Duration

// Delay is the fixed one.
func (f Fixed) Delay(string, int, int) time.Duration { return time.Duration(f) }

// ObserveReturn learns nothing.
func (Fixed) ObserveReturn(string, time.Duration) {}

// ObserveLoss learns nothing.
func (Fixed) ObserveLoss(string) {}

// LearnedConfig bounds the learned delays: the first is the default fixed one.
var LearnedConfig = detector.Config{InitialDelay: 10 * time.Minute, MinDelay: 5 * time.Second, MaxDelay: 2 * time.Hour}

// Outcome of one policy on one trace.
type Outcome struct {
	Silences int
	Losses   int
	// Needless counts repairs of peers that came back.
	Needless int
	// Delays are from a loss to its repair.
	MeanDelay   time.Duration
	MedianDelay time.Duration
}

// Replay runs a policy over a trace. The first part only teaches.
func Replay(policy Policy, silences []Silence, teach float64) Outcome {
	var out Outcome
	var delays []time.Duration
	counted := int(float64(len(silences)) * teach)
	for i, silence := range silences {
		delay := policy.Delay(silence.Peer, 0, 1)
		count := i >= counted
		switch {
		case silence.Lost:
			policy.ObserveLoss(silence.Peer)
		default:
			policy.ObserveReturn(silence.Peer, silence.Lasts)
		}
		if !count {
			continue
		}
		out.Silences++
		if silence.Lost {
			delays = append(delays, delay)
		} else if silence.Lasts > delay {
			out.Needless++
		}
	}
	out.summarise(delays)
	return out
}

// Add sums counts and delays over traces.
func (o *Outcome) Add(other Outcome) {
	o.Silences += other.Silences
	o.Losses += other.Losses
	o.Needless += other.Needless
	o.MeanDelay += other.MeanDelay
	o.MedianDelay += other.MedianDelay
}

func (o *Outcome) summarise(delays []time.Duration) {
	o.Losses = len(delays)
	if len(delays) == 0 {
		return
	}
	slices.Sort(delays)
	var total time.Duration
	for _, delay := range delays {
		total += delay
	}
	o.MeanDelay = total / time.Duration(len(delays))
	o.MedianDelay = delays[len(delays)/2]
}

// Equivalent is the fixed delay with at most as many needless repairs as the
// outcome has: what a fixed delay would have to be, and so what each loss would
// have to wait.
func Equivalent(silences []Silence, teach float64, needless int) time.Duration {
	var ended []time.Duration
	for _, silence := range silences[int(float64(len(silences))*teach):] {
		if !silence.Lost {
			ended = append(ended, silence.Lasts)
		}
	}
	slices.Sort(ended)
	if needless >= len(ended) {
		return 0
	}
	return ended[len(ended)-1-needless]
}

func sortByTime(silences []Silence) {
	slices.SortStableFunc(silences, func(a, b Silence) int { return cmp.Compare(a.At, b.At) })
}
