package scenarios

import (
	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/standin/relay"
)

func startRelay(ts *testscript.TestScript, from, to, target string) *relay.Relay {
	r, err := relay.Start(from, to, target)
	ts.Check(err)
	ts.Defer(r.Close)
	return r
}

// cut A [B] silently blocks traffic between the instances A and B in both directions, or
// between A and all others. It needs `cluster N relayed`.
func cut(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 1 || len(args) > 2 {
		ts.Fatalf("usage: cut A [B]")
	}
	found := false
	for _, r := range fixtureOf(ts).relays {
		touches := r.Connects(args[0])
		if len(args) == 2 {
			touches = touches && r.Connects(args[1])
		}
		if touches {
			r.SetOpen(false)
			found = true
		}
	}
	if !found {
		ts.Fatalf("no relay to cut: is it `cluster N relayed`?")
	}
}

// heal opens all links again.
func heal(ts *testscript.TestScript, _ bool, _ []string) {
	for _, r := range fixtureOf(ts).relays {
		r.SetOpen(true)
	}
}
