// Package scenarios runs scripted scenarios with separate processes on loopback addresses.
package scenarios

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/app"
	"pinewinch.example/pinewinch/internal/command"
	"pinewinch.example/pinewinch/internal/standin/standincmd"
)

// TestMain lets scenarios execute the programs: each runs as a separate process of this
// test binary, so that the race detector covers it too.
func TestMain(m *testing.M) {
	testscript.Main(m, map[string]func(){
		"pinewinchd":        func() { os.Exit(app.Main(os.Args[1:])) },
		"pinewinch":         func() { os.Exit(command.Run(os.Args[1:], os.Stdout, os.Stderr)) },
		"pinewinch-standin": func() { os.Exit(standincmd.Main(os.Args[1:])) },
	})
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			env.Setenv("DOCS", filepath.Join(examples, "../docs"))
			env.Values[fixtureKey{}] = &fixture{processes: map[string]*process{}, asked: map[string]chan int{}}
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster":      cluster,
			"eventually":   eventually,
			"start":        start,
			"crash":        crash,
			"freeze":       freeze,
			"thaw":         thaw,
			"terminate":    terminate,
			"ended":        ended,
			"cut":          cut,
			"heal":         heal,
			"http":         httpCommand,
			"ready":        ready,
			"started":      started,
			"cancelall":    cancelAll,
			"apiexamples":  apiExamples,
			"certificates": certificates,
			"lossy":        lossy,
			"tally":        tally,
			"ask":          ask,
			"asked":        asked,

			"killleaders":    killLeaders,
			"raceoperators":  raceOperators,
			"changeandcrash": changeAndCrash,
		},
	})
}
