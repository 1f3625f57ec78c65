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
	// minRetryDelay and maxRetryDelay limit the delay after all sources were tried.
	minRetryDelay = 50 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
	// improveInterval is how often a nearer source than the current one is searched.
	improveInterval = 10 * time.Second
)

// Run follows one source after another until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		if current := f.search(ctx); current != nil {
			f.stayAttached(ctx, current)
		}
	}
	return nil
}

// search tries the sources in order until one confirms the state. It backs off
// exponentially with jitter, so that the followers of a lost source do not reconnect at
// the same time.
func (f *Follower) search(ctx context.Context) *link {
	searches.Add(1)
	for pause := minRetryDelay; ; pause = min(2*pause, maxRetryDelay) {
		if found := f.attachFirst(ctx, f.sources()); found != nil {
			return found
		}
		if !control.Sleep(ctx, f.jitter(pause)) {
			return nil
		}
	}
}

// attachFirst attaches to the first source that confirms the state, or returns nil.
func (f *Follower) attachFirst(ctx context.Context, sources []string) *link {
	for _, source := range sources {
		if ctx.Err() != nil {
			return nil
		}
		l, err := f.attach(ctx, source)
		if err == nil {
			f.logFollowing(l)
			clear(f.referrals)
			return l
		}
		f.logAttachFailed(source, err)
		f.addReferrals(err)
	}
	return nil
}

// addReferrals records the sources listed in a refusal. After a start only the seeds are
// known, and each serves a limited number of followers: with one seed left, the last of
// 38 instances had the state only after 24 s although other replicas had capacity.
func (f *Follower) addReferrals(err error) {
	for _, source := range failure.From(err).Sources {
		f.referrals[source.Instance] = Candidate{Name: source.Instance, DataCentre: source.DataCentre, Replica: source.Replica}
	}
}

// stayAttached follows a source until its stream ends and switches to a nearer one when
// possible. The new stream is established before the old one is closed.
func (f *Follower) stayAttached(ctx context.Context, current *link) {
	sourceChanges.Add(1)
	for {
		select {
		case <-ctx.Done():
			<-current.ended
			return
		case <-current.ended:
			f.logSourceLost(current)
			return
		case <-time.After(f.jitter(improveInterval)):
		}
		if nearer := f.attachFirst(ctx, f.nearerThan(current.source)); nearer != nil {
			sourceChanges.Add(1)
			current.close()
			current = nearer
		}
	}
}

// sources ranks all known sources: the candidates, the referrals since the last source
// was gained, and the voters, since nothing else is known after a start.
func (f *Follower) sources() []string {
	candidates := f.config.Candidates()
	add := func(added Candidate) {
		if !slices.ContainsFunc(candidates, func(c Candidate) bool { return c.Name == added.Name }) {
			candidates = append(candidates, added)
		}
	}
	for _, name := range slices.Sorted(maps.Keys(f.referrals)) {
		add(f.referrals[name])
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

// jitter returns a random duration between half of the pause and all of it.
func (f *Follower) jitter(pause time.Duration) time.Duration {
	f.randMu.Lock()
	defer f.randMu.Unlock()
	return pause/2 + time.Duration(f.config.Rand.Int64N(int64(pause/2)))
}
