// Package scenarios runs scripted scenarios of real processes on loopback.
package scenarios

import (
	"os"
	"os/exec"
	"path/filepath"
	"testing"

	"github.com/rogpeppe/go-internal/testscript"
)

var programs string

func TestMain(m *testing.M) {
	folder, err := os.MkdirTemp("", "pinewinch-scenarios")
	if err != nil {
		panic(err)
	}
	programs = folder
	build := exec.Command("go", "build", "-o", folder, "pinewinch.example/pinewinch/cmd/...")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		panic(err)
	}
	code := m.Run()
	os.RemoveAll(folder)
	os.Exit(code)
}

func TestScenarios(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:                 ".",
		RequireExplicitExec: true,
		Setup: func(env *testscript.Env) error {
			env.Setenv("PATH", programs+string(filepath.ListSeparator)+env.Getenv("PATH"))
			examples, err := filepath.Abs("../../examples")
			env.Setenv("EXAMPLES", examples)
			return err
		},
		Cmds: map[string]func(ts *testscript.TestScript, neg bool, args []string){
			"cluster":    cluster,
			"eventually": eventually,
		},
	})
}
