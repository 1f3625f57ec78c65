package scenarios

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/relay"
)

// fixture holds what one script has started.
type fixture struct {
	processes map[string]*process
	relays    []*relay.Relay
	// asked holds the statuses of the requests of each ask command, by its name.
	asked map[string]chan int
}

type fixtureKey struct{}

func fixtureOf(ts *testscript.TestScript) *fixture {
	return ts.Value(fixtureKey{}).(*fixture)
}

type process struct {
	command *exec.Cmd
	ended   chan struct{}
}

// inheritedEnv names the script's environment variables that a started process inherits.
var inheritedEnv = []string{"PATH", "HOME", "TMPDIR", "PINEWINCH_SERVER", "PINEWINCH_TOKEN"}

// start NAME PROGRAM ARGS... runs a program until the script ends or stops it;
// its output is in NAME.out and NAME.err. A name whose process has ended may
// be started again: the output is appended to the same files.
func start(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: start NAME PROGRAM ARGS...")
	}
	name := args[0]
	command := exec.Command(findProgram(ts, args[1]), args[2:]...)
	command.Dir = ts.MkAbs(".")
	for _, key := range inheritedEnv {
		command.Env = append(command.Env, key+"="+ts.Getenv(key))
	}
	command.Stdout = appendTo(ts, name+".out")
	command.Stderr = appendTo(ts, name+".err")
	ts.Check(command.Start())
	p := &process{command: command, ended: make(chan struct{})}
	go func() {
		_ = command.Wait()
		close(p.ended)
	}()
	fixtureOf(ts).processes[name] = p
	ts.Defer(func() {
		_ = command.Process.Kill()
		<-p.ended
	})
}

func findProgram(ts *testscript.TestScript, program string) string {
	for _, folder := range filepath.SplitList(ts.Getenv("PATH")) {
		path := filepath.Join(folder, program)
		if info, err := os.Stat(path); err == nil && !info.IsDir() {
			return path
		}
	}
	ts.Fatalf("no program %s", program)
	return ""
}

func appendTo(ts *testscript.TestScript, name string) *os.File {
	file, err := os.OpenFile(ts.MkAbs(name), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	ts.Check(err)
	ts.Defer(func() { file.Close() })
	return file
}

func startedProcess(ts *testscript.TestScript, name string) *process {
	p := fixtureOf(ts).processes[name]
	if p == nil {
		ts.Fatalf("no process %s was started", name)
	}
	return p
}

func (p *process) await(ts *testscript.TestScript, name string) {
	select {
	case <-p.ended:
	case <-time.After(waitTimeout):
		ts.Fatalf("%s did not end", name)
	}
}

func signal(ts *testscript.TestScript, name string, s syscall.Signal) {
	ts.Check(startedProcess(ts, name).command.Process.Signal(s))
}

// crash NAME... kills the processes, as a power failure does, and waits until they have
// ended.
func crash(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		signal(ts, name, syscall.SIGKILL)
	}
	for _, name := range names {
		startedProcess(ts, name).await(ts, name)
	}
}

// freeze NAME... suspends processes (SIGSTOP); thaw resumes them.
func freeze(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		signal(ts, name, syscall.SIGSTOP)
	}
}

func thaw(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		signal(ts, name, syscall.SIGCONT)
	}
}

// terminate NAME... sends SIGTERM to processes and does not wait until they have ended.
func terminate(ts *testscript.TestScript, _ bool, names []string) {
	for _, name := range names {
		signal(ts, name, syscall.SIGTERM)
	}
}

// ended NAME CODE waits until a process has ended and compares its exit code.
func ended(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 2 {
		ts.Fatalf("usage: ended NAME CODE")
	}
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	p := startedProcess(ts, args[0])
	p.await(ts, args[0])
	if code := p.command.ProcessState.ExitCode(); code != want {
		ts.Fatalf("%s ended with %d, not %d", args[0], code, want)
	}
}

// http METHOD URL [HEADER: VALUE]... [@FILE] sends one request and keeps the
// answer's status, header and body in http.out, for grep; ! http expects an error status.
func httpCommand(ts *testscript.TestScript, neg bool, args []string) {
	if len(args) < 2 {
		ts.Fatalf("usage: http METHOD URL [HEADER: VALUE]... [@FILE]")
	}
	var body io.Reader
	header := http.Header{}
	for _, arg := range args[2:] {
		if file, ok := strings.CutPrefix(arg, "@"); ok {
			body = strings.NewReader(ts.ReadFile(file))
			continue
		}
		name, value, _ := strings.Cut(arg, ": ")
		header.Add(name, value)
	}
	request, err := http.NewRequest(args[0], args[1], body)
	ts.Check(err)
	request.Header = header
	client := http.Client{Timeout: waitTimeout}
	response, err := client.Do(request)
	ts.Check(err)
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	ts.Check(err)
	var out strings.Builder
	fmt.Fprintf(&out, "status: %d\n", response.StatusCode)
	ts.Check(response.Header.Write(&out))
	out.Write(text)
	ts.Check(os.WriteFile(ts.MkAbs("http.out"), []byte(out.String()), 0o600))
	ts.Logf("%s", out.String())
	if failed := response.StatusCode >= http.StatusBadRequest; failed != neg {
		ts.Fatalf("%s %s answers %s", args[0], args[1], response.Status)
	}
}

// ready URL waits until the instance at URL is ready; with ! until it is not.
func ready(ts *testscript.TestScript, neg bool, args []string) {
	client := http.Client{Timeout: time.Second}
	deadline := time.Now().Add(waitTimeout)
	for {
		response, err := client.Get(args[0] + "/readyz")
		if err == nil {
			response.Body.Close()
		}
		if isReady := err == nil && response.StatusCode == http.StatusOK; isReady != neg {
			return
		}
		if time.Now().After(deadline) {
			for name := range fixtureOf(ts).processes {
				ts.Logf("[%s]\n%s", name, ts.ReadFile(name+".err"))
			}
			ts.Fatalf("%s: readiness never became %t", args[0], !neg)
		}
		time.Sleep(pollInterval)
	}
}

// cancelall FILE cancels the jobs in the output of "get -o json jobs", in one call of
// the tool.
func cancelAll(ts *testscript.TestScript, _ bool, args []string) {
	var jobs []api.Job
	ts.Check(json.Unmarshal([]byte(ts.ReadFile(args[0])), &jobs))
	command := []string{"cancel"}
	for _, job := range jobs {
		command = append(command, job.ID)
	}
	ts.Check(ts.Exec("pinewinch", command...))
}

// started FILE COUNT waits until a stand-in's record has at least that many lines.
func started(ts *testscript.TestScript, _ bool, args []string) {
	want, err := strconv.Atoi(args[1])
	ts.Check(err)
	deadline := time.Now().Add(waitTimeout)
	for {
		text, err := os.ReadFile(ts.MkAbs(args[0]))
		if err == nil && strings.Count(string(text), "\n") >= want {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s has fewer than %d lines:\n%s", args[0], want, text)
		}
		time.Sleep(pollInterval)
	}
}
