package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

const (
	// firstRetry and lastRetry bound the pause after every source was tried.
	firstRetry = 50 * time.Millisecond
	lastRetry  = 500 * time.Millisecond
	// improveEvery is how often a nearer source than the current is looked for.
	improveEvery = 10 * time.Second
)

// Run follows one source after another until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if current := f.search(ctx); current != nil {
			f.stay(ctx, current)
		}
	}
	return nil
}

// search tries the sources in order until one confirms the state. Pauses grow
// and are spread, so that followers of one lost source do not return together.
func (f *Follower) search(ctx context.Context) *link {
	searches.Add(1)
	for pause := firstRetry; ; pause = min(2*pause, lastRetry) {
		if found := f.first(ctx, f.sources()); found != nil {
			return found
		}
		if !control.Pause(ctx, f.spread(pause)) {
			return nil
		}
	}
}

// first attaches to the first source that answers.
func (f *Follower) first(ctx context.Context, sources []string) *link {
	for _, source := range sources {
		if ctx.Err() != nil {
			return nil
		}
		l, err := f.attach(ctx, source)
		if err == nil {
			f.logGained(l)
			clear(f.named)
			return l
		}
		f.logFailed(source, err)
		f.hear(err)
	}
	return nil
}

// hear keeps the sources that a refusal names. After a start nothing but the seeds is
// known, and they serve a bounded number of followers: with one seed left the last of
// 38 instances had the state after 24 s, while other replicas had room.
func (f *Follower) hear(err error) {
	for _, named := range failure.From(err).Sources {
		f.named[named.Instance] = Candidate{Name: named.Instance, DataCentre: named.DataCentre, Replica: named.Replica}
	}
}

// stay keeps to a source until its stream ends, but moves to a nearer one that
// answers. The new stream stands before the old one is closed.
func (f *Follower) stay(ctx context.Context, current *link) {
	sourceChanges.Add(1)
	for {
		select {
		case <-ctx.Done():
			<-current.ended
			return
		case <-current.ended:
			f.logLost(current)
			return
		case <-time.After(f.spread(improveEvery)):
		}
		if nearer := f.first(ctx, f.nearerThan(current.source)); nearer != nil {
			sourceChanges.Add(1)
			current.close()
			current = nearer
		}
	}
}

// sources ranks what is known now: the candidates, what refusals named since the last
// source was gained, and the voters, for after a start nothing else is known.
func (f *Follower) sources() []string {
	candidates := f.config.Candidates()
	add := func(more Candidate) {
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Name == more.Name }) {
			candidates = append(candidates, more)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.named)) {
		add(f.named[name])
	}
	for _, voter := range f.config.Voters {
		add(Candidate{Name: voter, Replica: true})
	}
	return Rank(f.config.Self, candidates)
}

func (f *Follower) nearerThan(source string) []string {
	sources := f.sources()
	at := slices.Index(sources, source)
	return sources[:max(0, at)]
}

// spread gives between half and the whole of a pause.
func (f *Follower) spread(pause time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return pause/2 + time.Duration(f.config.Rand.Int64N(int64(pause/2)))
}
