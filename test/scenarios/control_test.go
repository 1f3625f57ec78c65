package scenarios

import (
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/protocol/failure"
)

var (
	kills = flag.Int("kills", 3, "leaders that the kill scenario kills")
	races = flag.Int("races", 30, "races of two operators with one revision")
)

// operator applies declarations in its own client session.
type operator struct {
	name     string
	servers  []string
	client   http.Client
	sequence uint64
	attempts int
}

func newOperator(ts *testscript.TestScript, name string) *operator {
	return &operator{
		name:    name,
		servers: strings.Split(ts.Getenv("SERVERS"), ","),
		client:  http.Client{Timeout: 3 * time.Second},
	}
}

// acknowledged is one acknowledged change: the key it added and its revision.
type acknowledged struct {
	key      string
	revision uint64
	at       time.Time
}

// apply adds one customer against an expected revision and repeats the same
// change, at one instance after another, until its outcome is known.
func (o *operator) apply(expected uint64) (acknowledged, failure.Code, uint64) {
	o.sequence++
	key := fmt.Sprintf("%s-%d", o.name, o.sequence)
	item, _ := json.Marshal(map[string]any{"key": "customer/" + key, "customer": map[string]any{"name": key, "weight": 1}})
	body, _ := json.Marshal(api.ApplyRequest{
		ExpectedRevision: expected, Set: [][]byte{item}, Client: o.name, Sequence: o.sequence,
	})
	for {
		reply, refused := api.ApplyReply{}, api.ErrorBody{}
		switch o.call(http.MethodPost, api.PathDeclarations, body, &reply, &refused) {
		case http.StatusOK:
			return acknowledged{key: "customer/" + key, revision: reply.Revision, at: time.Now()}, "", reply.Revision
		case http.StatusConflict:
			return acknowledged{}, refused.Code, refused.Revision
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call sends a request to the next instance; it returns the status, or 0 without a valid
// answer.
func (o *operator) call(method, path string, body []byte, reply, refused any) int {
	o.attempts++
	request, err := http.NewRequest(method, o.servers[o.attempts%len(o.servers)]+path, bytes.NewReader(body))
	if err != nil {
		return 0
	}
	request.Header.Set("Authorization", "Bearer "+operatorToken)
	response, err := o.client.Do(request)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	into := reply
	if response.StatusCode != http.StatusOK {
		into = refused
	}
	if json.NewDecoder(response.Body).Decode(into) != nil {
		return 0
	}
	return response.StatusCode
}

// leader waits until an instance reports a leader and returns its name.
func (o *operator) leader(ts *testscript.TestScript) string {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		status := api.Status{}
		if o.call(http.MethodGet, api.PathStatus, nil, &status, &api.ErrorBody{}) == http.StatusOK && status.Leader != "" {
			return status.Leader
		}
	}
	ts.Fatalf("no leader")
	return ""
}

// ackLog collects the changes that were acknowledged to the writers.
type ackLog struct {
	mu      sync.Mutex
	entries []acknowledged
}

func (d *ackLog) add(a acknowledged) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, a)
}

// waitAfter waits for an acknowledgement later than moment and returns the time between.
func (d *ackLog) waitAfter(ts *testscript.TestScript, moment time.Time) time.Duration {
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if at, ok := d.after(moment); ok {
			return at.Sub(moment)
		}
	}
	ts.Fatalf("no change was acknowledged")
	return 0
}

func (d *ackLog) after(moment time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.entries {
		if a.at.After(moment) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// killleaders kills the leader repeatedly while operators apply changes concurrently,
// then compares the acknowledged changes with the state of every instance.
func killLeaders(ts *testscript.TestScript, _ bool, _ []string) {
	acks, stop := &ackLog{}, make(chan struct{})
	var writers sync.WaitGroup
	for i := range 4 {
		writer := newOperator(ts, fmt.Sprintf("writer%d", i))
		writers.Go(func() {
			for revision := uint64(0); ; {
				select {
				case <-stop:
					return
				default:
				}
				change, code, newest := writer.apply(revision)
				if code == "" {
					acks.add(change)
				}
				revision = newest
			}
		})
	}
	watcher := newOperator(ts, "watcher")
	var gaps []time.Duration
	for range *kills {
		acks.waitAfter(ts, time.Now())
		leader := watcher.leader(ts)
		// The delay varies, so that each kill occurs at another point of the writes.
		time.Sleep(time.Duration(len(gaps)*7%50) * time.Millisecond)
		killed := time.Now()
		crash(ts, false, []string{leader})
		gaps = append(gaps, acks.waitAfter(ts, killed.Add(10*time.Millisecond)))
		start(ts, false, []string{leader, "pinewinchd", "-config", leader + ".ini"})
		ready(ts, false, []string{ts.Getenv("HTTP" + leader[1:])})
	}
	close(stop)
	writers.Wait()
	slices.Sort(gaps)
	ts.Logf("%d kills, %d changes acknowledged; without a leader: median %s, worst %s",
		*kills, len(acks.entries), gaps[len(gaps)/2], gaps[len(gaps)-1])
	checkDeclarations(ts, acks.entries)
}

// checkDeclarations checks on every instance that each acknowledged change is present, that
// no revision was assigned twice, and that there are as many keys as revisions: no change
// was lost or applied twice.
func checkDeclarations(ts *testscript.TestScript, acks []acknowledged) {
	revisions := map[uint64]string{}
	var newest uint64
	for _, change := range acks {
		if other := revisions[change.revision]; other != "" {
			ts.Fatalf("revision %d was given to %s and %s", change.revision, other, change.key)
		}
		revisions[change.revision] = change.key
		newest = max(newest, change.revision)
	}
	for _, server := range strings.Split(ts.Getenv("SERVERS"), ",") {
		keys, revision := declarations(ts, server, newest)
		if uint64(len(keys)) != revision {
			ts.Fatalf("%s has %d keys at revision %d", server, len(keys), revision)
		}
		for _, change := range acks {
			if !keys[change.key] {
				ts.Fatalf("%s lost %s, acknowledged as revision %d", server, change.key, change.revision)
			}
		}
	}
}

// declarations waits until an instance has the revision newest and returns its keys and
// its revision.
func declarations(ts *testscript.TestScript, server string, newest uint64) (map[string]bool, uint64) {
	reader := newOperator(ts, "reader")
	reader.servers = []string{server}
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(pollInterval) {
		reply := api.Declarations{}
		status := reader.call(http.MethodGet, api.PathDeclarations, nil, &reply, &api.ErrorBody{})
		if status != http.StatusOK || reply.Revision < newest {
			continue
		}
		list := struct{ Items []struct{ Key string } }{}
		ts.Check(json.Unmarshal(reply.Items, &list))
		keys := map[string]bool{}
		for _, item := range list.Items {
			keys[item.Key] = true
		}
		return keys, reply.Revision
	}
	ts.Fatalf("%s never had revision %d", server, newest)
	return nil, 0
}

// raceOperators makes two operators apply against the same revision, each at a different
// instance, and expects one success and one conflict each time.
func raceOperators(ts *testscript.TestScript, _ bool, _ []string) {
	first, second := newOperator(ts, "first"), newOperator(ts, "second")
	second.attempts = 1
	revision := uint64(0)
	for round := range *races {
		codes := make([]failure.Code, 2)
		newest := make([]uint64, 2)
		var both sync.WaitGroup
		for i, o := range []*operator{first, second} {
			both.Go(func() { _, codes[i], newest[i] = o.apply(revision) })
		}
		both.Wait()
		slices.Sort(codes)
		if codes[0] != "" || codes[1] != failure.Conflict {
			ts.Fatalf("round %d at revision %d: %q", round, revision, codes)
		}
		if newest[0] != newest[1] || newest[0] != revision+1 {
			ts.Fatalf("round %d: revisions %d after %d", round, newest, revision)
		}
		revision++
	}
}

// changeAndCrash applies N changes, kills all instances at once, restarts them and
// expects every change on every instance.
func changeAndCrash(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	writer := newOperator(ts, "writer")
	var acks []acknowledged
	for revision := range count {
		change, code, _ := writer.apply(uint64(revision))
		if code != "" {
			ts.Fatalf("change against revision %d: %s", revision, code)
		}
		acks = append(acks, change)
	}
	instances := []string{"i1", "i2", "i3"}
	crash(ts, false, instances)
	for _, instance := range instances {
		start(ts, false, []string{instance, "pinewinchd", "-config", instance + ".ini"})
	}
	checkDeclarations(ts, acks)
}
