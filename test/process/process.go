// Package process runs instances of pinewinch as processes of their own for
// tests: each is the test binary itself, so the race detector watches it too.
package process

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/app"
	"pinewinch.example/pinewinch/internal/protocol/api"
)

// roleVariable makes the test binary run as an instance.
const roleVariable = "PINEWINCH_TEST_ROLE"

// logSuffix is that of a log beside its settings.
const logSuffix = ".log"

const (
	patience  = 2 * time.Minute
	pollEvery = 20 * time.Millisecond
)

// OperatorToken is the operators' token of the tests.
const OperatorToken = "operator-secret"

// Tokens are the customers' tokens of the tests.
var Tokens = map[string]string{"crews": "crews-secret", "planners": "planners-secret"}

// TokenSections are the settings that go with the tokens.
func TokenSections() string {
	return fmt.Sprintf("[customers]\ncrews = %s\nplanners = %s\n[operators]\noperator = %s\n",
		hashOf(Tokens["crews"]), hashOf(Tokens["planners"]), hashOf(OperatorToken))
}

func hashOf(token string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(token))) }

// Main runs the tests, or an instance where the process was started as one.
func Main(m *testing.M) int {
	if os.Getenv(roleVariable) != "" {
		return app.Main(os.Args[1:])
	}
	return m.Run()
}

// Instance is one process that is killed, frozen and started again.
type Instance struct {
	Name string
	// Config is the path of its settings; its log is written beside them.
	Config string
	URL    string
	// Command is the newest process, and Exited is closed at its end.
	Command *exec.Cmd
	Exited  chan struct{}
}

// Start starts the process, the first time or again.
func (i *Instance) Start(t testing.TB) { i.StartWith(t, []string{"-config", i.Config}) }

// StartWith starts it with other arguments and more of an environment.
func (i *Instance) StartWith(t testing.TB, args []string, environment ...string) {
	log, err := os.OpenFile(i.Config+logSuffix, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.New(t).NoErr(err)
	defer log.Close()
	i.Command = exec.Command(os.Args[0], args...)
	i.Command.Env = append(append(os.Environ(), roleVariable+"=pinewinchd"), environment...)
	i.Command.Stdout, i.Command.Stderr = log, log
	is.New(t).NoErr(i.Command.Start())
	i.Exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(i.Command, i.Exited)
}

// KeepLog copies the log, each process's after the one before it, to a folder.
func (i *Instance) KeepLog(t testing.TB, folder string) {
	text, err := os.ReadFile(i.Config + logSuffix)
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.MkdirAll(folder, 0o700))
	is.New(t).NoErr(os.WriteFile(filepath.Join(folder, i.Name+logSuffix), text, 0o600))
}

// Signal sends a signal; a process that has ended takes none.
func (i *Instance) Signal(signal syscall.Signal) { _ = i.Command.Process.Signal(signal) }

// Stop sends a signal and waits for the end.
func (i *Instance) Stop(signal syscall.Signal) {
	i.Signal(signal)
	<-i.Exited
}

// Freeze stops the process for a while in whatever it is doing.
func (i *Instance) Freeze(length time.Duration) {
	i.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	i.Signal(syscall.SIGCONT)
}

// Ready asks the instance as the balancer does.
func (i *Instance) Ready() bool {
	response, err := http.Get(i.URL + api.PathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Reached waits for what is bound to come, so that a slow machine changes the
// time of a run and not its verdict.
func Reached(done func() bool) bool {
	for deadline := time.Now().Add(patience); !done(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// Await ends the test where what it waits for never comes.
func Await(t testing.TB, what string, done func() bool) {
	t.Helper()
	if !Reached(done) {
		t.Fatalf("%s never came", what)
	}
}
