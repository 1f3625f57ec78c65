package detector

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestReplayExcludesWarmup(t *testing.T) {
	is := is.New(t)
	silences := []Silence{
		{Peer: "p", Length: time.Hour},
		{Peer: "p", Length: 3 * time.Minute},
		{Peer: "p", Length: time.Minute},
		{Peer: "p", Lost: true},
	}
	out := Replay(Fixed(2*time.Minute), silences, 0.25)
	is.Equal(out, Outcome{Silences: 3, Losses: 1, Needless: 1, MeanDelay: 2 * time.Minute, MedianDelay: 2 * time.Minute})
	is.Equal(Equivalent(silences, 0.25, 1), time.Minute)
	is.Equal(Equivalent(silences, 0.25, 0), 3*time.Minute)
}

func TestGenerateIsDeterministic(t *testing.T) {
	is := is.New(t)
	generate := func() []Silence { return Generate(rand.New(rand.NewPCG(1, 1)), Kinds(), 2, 10) }
	is.Equal(generate(), generate())
}

func TestRead(t *testing.T) {
	is := is.New(t)
	silences, err := Read(strings.NewReader("# two\ni3 41ms\n\ni5 2.5s\n"))
	is.NoErr(err)
	is.Equal(silences, []Silence{{Peer: "i3", Length: 41 * time.Millisecond}, {Peer: "i5", Start: time.Hour, Length: 2500 * time.Millisecond}})
	_, err = Read(strings.NewReader("i3 soon\n"))
	is.True(err != nil)
}
