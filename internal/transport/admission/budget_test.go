package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

var start = time.Unix(1000, 0)

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

// opened returns n connections in a budget, the first opened a second before the next.
func opened(t *testing.T, b *Budget, n int) []*Entry {
	t.Helper()
	var entries []*Entry
	for i := range n {
		e := &Entry{Owner: i}
		evicted, ok := b.Open(e, after(float64(i)))
		is.New(t).True(ok && evicted == nil)
		entries = append(entries, e)
	}
	return entries
}

// Half-sent messages that hold all bytes must make way for a new one, the oldest first.
func TestOldestUnfinishedMessageMakesWay(t *testing.T) {
	is := is.New(t)
	b := NewBudget(10, 100)
	e := opened(t, b, 4)
	for i, phase := range []Phase{Head, Body, Answering} {
		b.Enter(e[i], phase, after(10+float64(i)))
		_, ok := b.Charge(e[i], 30, after(30))
		is.True(ok)
	}
	b.Enter(e[0], Body, after(20)) // keeps its place
	evicted, ok := b.Charge(e[3], 60, after(30))
	is.True(!ok) // what they hold counts until they are closed
	is.Equal(evicted, []*Entry{e[0], e[1]})
	is.Equal(b.held, int64(90))
	b.Close(e[0])
	evicted, ok = b.Charge(e[3], 60, after(30))
	is.True(!ok)
	is.Equal(len(evicted), 0)
	b.Close(e[1])
	_, ok = b.Charge(e[3], 60, after(30))
	is.True(ok)
	is.Equal(b.held, int64(90))
}

// A request that a handler has would have an unknown outcome if its connection were closed.
func TestHandledMessageIsNeverEvicted(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2, 100)
	e := opened(t, b, 2)
	for _, handled := range e {
		b.Enter(handled, Handling, after(10))
		_, ok := b.Charge(handled, 50, after(30))
		is.True(ok)
	}
	evicted, ok := b.Open(&Entry{}, after(1000))
	is.True(!ok && evicted == nil)
	_, ok = b.Charge(e[0], 51, after(30))
	is.True(!ok)
	_, ok = b.Charge(e[0], 20, after(30))
	is.True(ok)
	_, ok = b.Charge(e[1], 80, after(30))
	is.True(ok)
}

// An answer that is just written would be lost, though its client reads it.
func TestAnswerIsEvictedOnlyIfItsWriteBlocks(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2, 100)
	e := opened(t, b, 2)
	b.Enter(e[0], Answering, after(10))
	_, ok := b.Charge(e[0], 80, after(10))
	is.True(ok)
	evicted, ok := b.Charge(e[1], 80, after(10.5))
	is.True(!ok && len(evicted) == 0)
	evicted, _ = b.Charge(e[1], 80, after(12))
	is.Equal(evicted, []*Entry{e[0]})
}

// Idle or half-sent connections at the limit would shut ordinary callers out.
func TestConnectionLimitEvictsLongestUnused(t *testing.T) {
	tests := []struct {
		name    string
		phases  []Phase
		now     float64
		evicted int
	}{
		{"the longest idle one", []Phase{Idle, Idle, Idle}, 10, 0},
		{"an idle one before a message that has just begun", []Phase{Head, Idle, Idle}, 10.5, 1},
		{"a message that is unfinished for long before an idle one", []Phase{Idle, Body, Idle}, 12, 1},
		{"a message that has just begun, if there is no other", []Phase{Handling, Head, Head}, 10.5, 1},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			b := NewBudget(3, 100)
			e := opened(t, b, 3)
			for i, phase := range test.phases {
				b.Enter(e[i], phase, after(10))
			}
			evicted, ok := b.Open(&Entry{}, after(test.now))
			is.True(ok)
			is.Equal(evicted, e[test.evicted])
		})
	}
}

// A crowd that reconnects quickly must not push out a caller that has just connected.
func TestConnectionThatHasJustBegunOutlivesOlderMessage(t *testing.T) {
	is := is.New(t)
	b := NewBudget(2, 100)
	crowd, caller := &Entry{}, &Entry{}
	b.Open(crowd, after(0))
	b.Enter(crowd, Head, after(0.1))
	b.Open(caller, after(0.2))
	evicted, ok := b.Open(&Entry{}, after(0.5))
	is.True(ok)
	is.True(evicted == crowd)
}

// Bytes that are never returned, or returned twice, would make the bound drift.
func TestBudgetConservesBytes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(8, 1000)
		entries := make([]*Entry, 12)
		for i := range entries {
			entries[i] = &Entry{Owner: i}
		}
		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			e := entries[rapid.IntRange(0, len(entries)-1).Draw(t, "entry")]
			now := after(float64(step) / 3)
			switch rapid.IntRange(0, 3).Draw(t, "operation") {
			case 0:
				if !e.open {
					b.Open(e, now)
				}
			case 1:
				b.Enter(e, Phase(rapid.IntRange(0, int(Answering)).Draw(t, "phase")), now)
			case 2:
				checkEvicted(t, b, e, rapid.Int64Range(0, 600).Draw(t, "bytes"), now)
			case 3:
				b.Close(e)
			}
			checkConserved(t, b, entries)
		}
		for _, e := range entries {
			b.Close(e)
		}
		if b.held != 0 || b.closing != 0 || b.open() != 0 || b.byPhase[Closing] != 0 || b.idle.Len()+b.unfinished.Len() != 0 {
			t.Fatalf("held %d, open %d after all are closed", b.held, b.open())
		}
	})
}

func checkEvicted(t *rapid.T, b *Budget, e *Entry, bytes int64, now time.Time) {
	calm := b.Fits(e, bytes)
	before := map[*Entry]Phase{}
	for at := b.unfinished.Front(); at != nil; at = at.Next() {
		before[at.Value.(*Entry)] = at.Value.(*Entry).phase
	}
	evicted, _ := b.Charge(e, bytes, now)
	if calm && len(evicted) > 0 {
		t.Fatal("closed a connection in calm")
	}
	for _, gone := range evicted {
		if _, unfinished := before[gone]; !unfinished || gone == e {
			t.Fatalf("evicted %v in phase %d", gone.Owner, gone.phase)
		}
	}
}

func checkConserved(t *rapid.T, b *Budget, entries []*Entry) {
	held, open := int64(0), 0
	for _, e := range entries {
		held += e.bytes
		if e.admitted() {
			open++
		}
	}
	if held != b.held || open != b.open() || held > 1000 || open > 8 {
		t.Fatalf("entries hold %d bytes in %d connections, budget says %d in %d", held, open, b.held, b.open())
	}
}
