package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"
)

const (
	operatorToken = "operator-secret"
	patience      = 30 * time.Second
	pause         = 50 * time.Millisecond
)

// cluster N writes the settings i1.ini to iN.ini of N instances on reserved
// ports and sets HTTP1 to HTTPN, SERVERS and the operator's environment.
func cluster(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	ports := reservePorts(ts, 2*count)
	var peers, servers strings.Builder
	for i := range count {
		fmt.Fprintf(&peers, "i%d = 127.0.0.1:%d\n", i+1, ports[count+i])
		ts.Setenv(fmt.Sprintf("HTTP%d", i+1), fmt.Sprintf("http://127.0.0.1:%d", ports[i]))
		fmt.Fprintf(&servers, ",http://127.0.0.1:%d", ports[i])
	}
	ts.Setenv("SERVERS", servers.String()[1:])
	ts.Setenv("PINEWINCH_SERVER", fmt.Sprintf("http://127.0.0.1:%d", ports[0]))
	ts.Setenv("PINEWINCH_TOKEN", operatorToken)
	voters := []string{"i1", "i2", "i3"}[:min(count, 3)]
	for i := range count {
		folder := ts.MkAbs(fmt.Sprintf("data%d", i+1))
		ts.Check(os.MkdirAll(folder, 0o700))
		text := fmt.Sprintf(`[instance]
name = i%d
data_centre = dc1
listen_http = 127.0.0.1:%d
listen_peer = 127.0.0.1:%d
data_folder = %s
[peers]
%s[control]
voters = %s
[upstreams]
announce_every = 200ms
lease = 2s
[customers]
crews = %s
planners = %s
[operators]
operator = %s
`, i+1, ports[i], ports[count+i], folder, peers.String(), strings.Join(voters, ", "), hashOf("crews-secret"), hashOf("planners-secret"), hashOf(operatorToken))
		ts.Check(os.WriteFile(ts.MkAbs(fmt.Sprintf("i%d.ini", i+1)), []byte(text), 0o600))
	}
}

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(hash[:])
}

func reservePorts(ts *testscript.TestScript, count int) []int {
	var ports []int
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		ts.Check(err)
		defer listener.Close()
		ports = append(ports, listener.Addr().(*net.TCPAddr).Port)
	}
	return ports
}

// eventually PATTERN PROGRAM ARGS... runs the program until it succeeds with
// output that matches; it waits for what is bound to come, so that a slow
// machine changes the time of a run and not its verdict.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(patience)
	for {
		err := ts.Exec(args[1], args[2:]...)
		output := ts.ReadFile("stdout")
		if err == nil && pattern.MatchString(output) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("%s never came; last output:\n%s", args[0], output)
		}
		time.Sleep(pause)
	}
}
