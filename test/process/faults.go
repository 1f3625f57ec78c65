package process

import (
	"context"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"

	"go.uber.org/fx"

	"pinewinch.example/pinewinch/internal/app"
	"pinewinch.example/pinewinch/internal/coordination/control"
	"pinewinch.example/pinewinch/internal/coordination/follower"
	"pinewinch.example/pinewinch/internal/coordination/standby"
	"pinewinch.example/pinewinch/internal/protocol/controlpb"
	"pinewinch.example/pinewinch/internal/state/disk"
	"pinewinch.example/pinewinch/platform"
)

// faultsVariable holds the Faults of a process on the platform as JSON.
const faultsVariable = "PINEWINCH_TEST_FAULTS"

// Faults replaces parts of an instance on the platform by ones that fail on demand.
type Faults struct {
	// Peers maps the names of other instances to the addresses of relays to them.
	Peers map[string]netip.AddrPort
	// Disk is the path of the file that holds the mode of the disk, as SetDisk writes it;
	// empty for the file system of the operating system.
	Disk string
	// AlwaysFresh removes the safeguard against stale state on an entry instance.
	AlwaysFresh bool
	// LocalReads removes the safeguard that reads go through the log.
	LocalReads bool
}

// Environment returns the environment variable that passes the faults to a process.
func (f Faults) Environment() string {
	text, err := json.Marshal(f)
	if err != nil {
		panic(err)
	}
	return faultsVariable + "=" + string(text)
}

func runWithFaults(text string) int {
	var faults Faults
	if err := json.Unmarshal([]byte(text), &faults); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s, err := platform.LoadSettings()
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	s.Peers = faults.Peers
	return app.Run(s, faults.options()...)
}

func (f Faults) options() []fx.Option {
	var options []fx.Option
	if f.Disk != "" {
		options = append(options, fx.Decorate(func(files disk.FS) disk.FS { return &faultyDisk{FS: files, modePath: f.Disk} }))
	}
	if f.AlwaysFresh || f.LocalReads {
		options = append(options, fx.Decorate(f.withoutSafeguards))
	}
	return options
}

func (f Faults) withoutSafeguards(node control.Node) control.Node {
	switch node := node.(type) {
	case *follower.Follower:
		if f.AlwaysFresh {
			return alwaysFresh{node}
		}
	case *standby.Node:
		if f.LocalReads {
			return localReads{node}
		}
	}
	return node
}

type alwaysFresh struct{ *follower.Follower }

// CheckFresh never fails.
func (alwaysFresh) CheckFresh() error { return nil }

type localReads struct{ *standby.Node }

// Propose answers a read through the log from the local state.
func (n localReads) Propose(ctx context.Context, command *controlpb.Command) (*controlpb.Result, error) {
	if command.Op == nil {
		return &controlpb.Result{Index: n.State().Index()}, nil
	}
	return n.Node.Propose(ctx, command)
}
