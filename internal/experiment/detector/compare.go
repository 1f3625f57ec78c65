package detector

import (
	"cmp"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/membership/detector"
)

// Policy decides after which silence a peer is considered lost. It matches the detector of
// the membership package.
type Policy interface {
	Delay(peer string, missing, wanted int) time.Duration
	ObserveReturn(peer string, silence time.Duration)
	ObserveLoss(peer string)
}

// Fixed is a policy with the same delay for every peer.
type Fixed time.Duration

// Delay returns the fixed delay.
func (f Fixed) Delay(string, int, int) time.Duration { return time.Duration(f) }

// ObserveReturn does nothing.
func (Fixed) ObserveReturn(string, time.Duration) {}

// ObserveLoss does nothing.
func (Fixed) ObserveLoss(string) {}

// LearnedConfig holds the limits of the learned delays. The initial delay equals the
// default of the fixed one.
var LearnedConfig = detector.Config{InitialDelay: 10 * time.Minute, MinDelay: 5 * time.Second, MaxDelay: 2 * time.Hour}

// Outcome is the result of one policy on one trace.
type Outcome struct {
	Silences int
	Losses   int
	// Needless counts repairs of peers that returned.
	Needless int
	// The delays are the times from a loss to its repair.
	MeanDelay   time.Duration
	MedianDelay time.Duration
}

// Replay runs a policy over a trace. The first part of it, warmupShare of the silences, only
// trains the policy and is not counted.
func Replay(policy Policy, silences []Silence, warmupShare float64) Outcome {
	var out Outcome
	var delays []time.Duration
	firstCounted := int(float64(len(silences)) * warmupShare)
	for i, silence := range silences {
		delay := policy.Delay(silence.Peer, 0, 1)
		counted := i >= firstCounted
		switch {
		case silence.Lost:
			policy.ObserveLoss(silence.Peer)
		default:
			policy.ObserveReturn(silence.Peer, silence.Length)
		}
		if !counted {
			continue
		}
		out.Silences++
		if silence.Lost {
			delays = append(delays, delay)
		} else if silence.Length > delay {
			out.Needless++
		}
	}
	out.summarise(delays)
	return out
}

// Add adds the counts and delays of another trace.
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

// Equivalent is the least fixed delay that causes at most the given number of needless
// repairs after the warm-up, and so the time that each loss would wait for its repair.
func Equivalent(silences []Silence, warmupShare float64, needless int) time.Duration {
	var recovered []time.Duration
	for _, silence := range silences[int(float64(len(silences))*warmupShare):] {
		if !silence.Lost {
			recovered = append(recovered, silence.Length)
		}
	}
	slices.Sort(recovered)
	if needless >= len(recovered) {
		return 0
	}
	return recovered[len(recovered)-1-needless]
}

func sortByStart(silences []Silence) {
	slices.SortStableFunc(silences, func(a, b Silence) int { return cmp.Compare(a.Start, b.Start) })
}
