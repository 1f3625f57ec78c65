package scenarios

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net/netip"
	"os"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/standin/loopback"
)

const (
	operatorToken = "operator-secret"
	waitTimeout   = 30 * time.Second
	pollInterval  = 50 * time.Millisecond
	// maxVoters is the maximum number of initial voters of a cluster.
	maxVoters = 3
)

// cluster N [relayed] [FILE] writes the settings i1.ini to iN.ini of N
// instances on reserved addresses and sets HTTP1 to HTTPN, SERVERS and the
// operator's environment. The first three are voters and have a data folder.
// With relayed every peer link goes through a relay that cut and heal control;
// without it, connections to a dead instance are refused at once. FILE is appended to
// the settings of each, which end with [upstreams]; $NAME in it is the instance's name.
func cluster(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	relayed, extra := false, ""
	for _, arg := range args[1:] {
		if arg == "relayed" {
			relayed = true
			continue
		}
		extra = ts.ReadFile(arg)
	}
	addresses, err := loopback.Reserve(2 * count)
	ts.Check(err)
	web, peer := addresses[:count], addresses[count:]
	var servers []string
	for i, address := range web {
		servers = append(servers, "http://"+address.String())
		ts.Setenv(fmt.Sprintf("HTTP%d", i+1), servers[i])
		ts.Setenv(fmt.Sprintf("HTTPS%d", i+1), "https://"+address.String())
	}
	ts.Setenv("SERVERS", strings.Join(servers, ","))
	ts.Setenv("PINEWINCH_SERVER", servers[0])
	ts.Setenv("PINEWINCH_TOKEN", operatorToken)
	for i := range count {
		text := instanceSettings(ts, i, web[i], peer[i], count)
		text += peersSection(ts, i, peer, relayed) + upstreamsSection + strings.ReplaceAll(extra, "$NAME", nameOf(i))
		ts.Check(os.WriteFile(ts.MkAbs(nameOf(i)+".ini"), []byte(text), 0o600))
	}
}

// upstreamsSection is the last section, so that FILE may begin with more of its keys.
const upstreamsSection = `[upstreams]
announce_every = 500ms
lease = 5s
`

func nameOf(i int) string { return fmt.Sprintf("i%d", i+1) }

func instanceSettings(ts *testscript.TestScript, i int, web, peer netip.AddrPort, count int) string {
	folder := ""
	if i < maxVoters {
		path := ts.MkAbs(fmt.Sprintf("data%d", i+1))
		ts.Check(os.MkdirAll(path, 0o700))
		folder = "data_folder = " + path + "\n"
	}
	var voters []string
	for v := range min(count, maxVoters) {
		voters = append(voters, nameOf(v))
	}
	return fmt.Sprintf(`[instance]
name = %s
data_centre = dc1
listen_http = %s
listen_peer = %s
%s[control]
voters = %s
[customers]
crews = %s
planners = %s
[operators]
operator = %s
`, nameOf(i), web, peer, folder, strings.Join(voters, ", "), hashOf("crews-secret"), hashOf("planners-secret"), hashOf(operatorToken))
}

func peersSection(ts *testscript.TestScript, self int, peer []netip.AddrPort, relayed bool) string {
	var text strings.Builder
	text.WriteString("[peers]\n")
	for i := range peer {
		address := peer[i].String()
		if relayed && i != self {
			r := startRelay(ts, nameOf(self), nameOf(i), address)
			f := fixtureOf(ts)
			f.relays = append(f.relays, r)
			address = r.Address()
		}
		fmt.Fprintf(&text, "%s = %s\n", nameOf(i), address)
	}
	return text.String()
}

func hashOf(token string) string {
	hash := sha256.Sum256([]byte(token))
	return "sha256:" + hex.EncodeToString(hash[:])
}

// eventually PATTERN PROGRAM ARGS... runs the program repeatedly until it succeeds with
// output that matches, or until waitTimeout, which is generous so that a slow machine
// affects the duration of a test and not its result. With ! it waits for an output that
// does not match.
func eventually(ts *testscript.TestScript, neg bool, args []string) {
	pattern := regexp.MustCompile(args[0])
	deadline := time.Now().Add(waitTimeout)
	for {
		err := ts.Exec(args[1], args[2:]...)
		output := ts.ReadFile("stdout")
		if err == nil && pattern.MatchString(output) != neg {
			return
		}
		if time.Now().After(deadline) {
			ts.Fatalf("timed out waiting for %s; last output:\n%s", args[0], output)
		}
		time.Sleep(pollInterval)
	}
}
