// Package process runs instances of pinewinch as separate processes for tests. Each
// process executes the test binary itself, so that the race detector covers it too.
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

// logSuffix is appended to the path of the settings to name the instance's log file.
const logSuffix = ".log"

const (
	waitTimeout  = 2 * time.Minute
	pollInterval = 20 * time.Millisecond
)

// OperatorToken is the operator token that the tests use.
const OperatorToken = "operator-secret"

// Tokens are the customers' tokens that the tests use, by customer.
var Tokens = map[string]string{"crews": "crews-secret", "planners": "planners-secret"}

// TokenSections returns the settings sections with the hashes of the tokens.
func TokenSections() string {
	return fmt.Sprintf("[customers]\ncrews = %s\nplanners = %s\n[operators]\noperator = %s\n",
		hashOf(Tokens["crews"]), hashOf(Tokens["planners"]), hashOf(OperatorToken))
}

func hashOf(token string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(token))) }

// Main runs the tests, or an instance if the process was started as one.
func Main(m *testing.M) int {
	if os.Getenv(roleVariable) != "" {
		if faults := os.Getenv(faultsVariable); faults != "" {
			return runWithFaults(faults)
		}
		return app.Main(os.Args[1:])
	}
	return m.Run()
}

// Instance is one process that a test can kill, suspend and restart.
type Instance struct {
	Name string
	// Config is the path of its settings; its log is written to the same folder.
	Config string
	URL    string
	// Program is the path of the program to run; empty for the test binary itself.
	Program string
	// Command is the latest process, and Exited is closed when it has ended.
	Command *exec.Cmd
	Exited  chan struct{}
}

// Start starts or restarts the process.
func (i *Instance) Start(t testing.TB) { i.StartWith(t, []string{"-config", i.Config}) }

// StartWith starts the process with the arguments and additional environment variables.
func (i *Instance) StartWith(t testing.TB, args []string, environment ...string) {
	log, err := os.OpenFile(i.Config+logSuffix, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.New(t).NoErr(err)
	defer log.Close()
	program := i.Program
	if program == "" {
		program = os.Args[0]
	}
	i.Command = exec.Command(program, args...)
	i.Command.Env = append(append(os.Environ(), roleVariable+"=pinewinchd"), environment...)
	i.Command.Stdout, i.Command.Stderr = log, log
	is.New(t).NoErr(i.Command.Start())
	i.Exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(i.Command, i.Exited)
}

// KeepLog copies the log, which holds the output of all processes in order of their
// starts, to a folder.
func (i *Instance) KeepLog(t testing.TB, folder string) {
	text, err := os.ReadFile(i.Config + logSuffix)
	is.New(t).NoErr(err)
	is.New(t).NoErr(os.MkdirAll(folder, 0o700))
	is.New(t).NoErr(os.WriteFile(filepath.Join(folder, i.Name+logSuffix), text, 0o600))
}

// Signal sends a signal; it has no effect on a process that has ended.
func (i *Instance) Signal(signal syscall.Signal) { _ = i.Command.Process.Signal(signal) }

// Stop sends a signal and waits until the process has ended.
func (i *Instance) Stop(signal syscall.Signal) {
	i.Signal(signal)
	<-i.Exited
}

// Freeze suspends the process for the given time.
func (i *Instance) Freeze(length time.Duration) {
	i.Signal(syscall.SIGSTOP)
	time.Sleep(length)
	i.Signal(syscall.SIGCONT)
}

// Ready queries the readiness of the instance as a load balancer does.
func (i *Instance) Ready() bool {
	response, err := http.Get(i.URL + api.PathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Eventually polls until done returns true and reports whether that happened within
// waitTimeout. The limit is generous so that a slow machine affects the duration of a
// test and not its result.
func Eventually(done func() bool) bool {
	for deadline := time.Now().Add(waitTimeout); !done(); time.Sleep(pollInterval) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

// Await polls until done returns true, and fails the test after waitTimeout.
func Await(t testing.TB, what string, done func() bool) {
	t.Helper()
	if !Eventually(done) {
		t.Fatalf("%s never came", what)
	}
}
