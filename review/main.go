package main

import (
	"fmt"
	"net/http"
	"os"
	"strings"
	"time"
)

const (
	held     = 0
	broken   = 1
	couldNot = 2
)

// trial is one run of a case.
type trial struct {
	*system
	cluster *cluster
	minions []*minion
	trouble bool
}

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
	key    = "d4a3hwrr6x73d3zji9n7"
)

type route struct {
	name, prefix string
	maxAttempts  int
}

// state returns a desired state.
func state(version int, routes ...route) string {
	var texts []string
	for _, r := range routes {
		texts = append(texts, fmt.Sprintf(`{"name":%q,"host":%q,"pathPrefix":%q,"kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":1,"service":"huvo11a","maxAttempts":%d,"slackFactor":3.0,"allowAnonymous":false}`, r.name, host, r.prefix, max(r.maxAttempts, 1)))
	}
	return fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"huvo11a","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"enforcesCapacity":true,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"kaje80","apiKeys":[%q],"priority":1,"guaranteedGpus":{"gpus":8}}]}`, version, strings.Join(texts, ","), key)
}

// addMinions starts minions and waits until the system may use them.
func (t *trial) addMinions(count int) error {
	for n := range count {
		m, err := startMinion(t.cluster, fmt.Sprintf("i-%08x", 0x7f3a0000+n), zones[n%len(zones)], fmt.Sprintf("r%d", n%2), "huvo11a", t.controls)
		if err != nil {
			return err
		}
		t.minions = append(t.minions, m)
	}
	time.Sleep(2 * time.Second)
	return nil
}

func (t *trial) controls() []string {
	var all []string
	for _, core := range t.cores {
		all = append(all, core.control())
	}
	return all
}

func (t *trial) submit(front *machine, path, body string) (int, string) {
	return t.clientCall(http.MethodPost, front, path, host, key, body)
}

func (t *trial) get(front *machine, path string) (int, string) {
	return t.clientCall(http.MethodGet, front, path, host, key, "")
}

func (t *trial) cancelJob(front *machine, path string) (int, string) {
	return t.clientCall(http.MethodDelete, front, path, host, key, "")
}

// awaitState waits until a job has a state.
func (t *trial) awaitState(path, state string, limit time.Duration) bool {
	return await(limit, func() bool {
		_, answer := t.call(http.MethodGet, t.fronts[0].frontend(), path, host, key, "")
		return strings.Contains(answer, `"`+state+`"`)
	})
}

var cases = map[string]func(t *trial) (int, string){}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(couldNot)
	}
	r, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNot)
	}
	run, ok := cases[os.Args[1]]
	if !ok {
		fmt.Fprintln(os.Stderr, "no such case")
		os.Exit(couldNot)
	}
	time.AfterFunc(115*time.Second, func() {
		// The processes that it started end with it (Pdeathsig).
		r.add("the case took too long")
		os.Exit(couldNot)
	})
	os.Exit(play(r, run))
}

func play(r *record, run func(t *trial) (int, string)) int {
	t := &trial{cluster: newCluster(r), trouble: os.Getenv("TROUBLE") != "0"}
	r.add("with the disruption: %t", t.trouble)
	s, err := startSystem(r, 5, 3, state(1, route{"r-7ejsmzz", prefix, 3}))
	defer func() {
		for _, m := range t.minions {
			m.end("the case is over")
		}
		if s != nil {
			s.close()
		}
	}()
	if err != nil {
		r.add("could not start: %v", err)
		return couldNot
	}
	t.system = s
	result, why := run(t)
	r.add("result %d: %s", result, why)
	fmt.Printf("result %d: %s\n", result, why)
	return result
}

// job returns the body of a submission.
func job(specification, steps string) string {
	return fmt.Sprintf(`{"specification":%q,"steps":%s}`, specification, steps)
}
