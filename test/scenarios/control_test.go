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

// operator applies declarations under a client session of its own.
type operator struct {
	name     string
	servers  []string
	client   http.Client
	sequence uint64
	tries    int
}

func newOperator(ts *testscript.TestScript, name string) *operator {
	return &operator{
		name:    name,
		servers: strings.Split(ts.Getenv("SERVERS"), ","),
		client:  http.Client{Timeout: 3 * time.Second},
	}
}

// accepted is one acknowledged change: the key it added and its revision.
type accepted struct {
	key      string
	revision uint64
	at       time.Time
}

// apply adds one customer against an expected revision and repeats the same
// change, at one instance after another, until its outcome is known.
func (o *operator) apply(expected uint64) (accepted, failure.Code, uint64) {
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
			return accepted{key: "customer/" + key, revision: reply.Revision, at: time.Now()}, "", reply.Revision
		case http.StatusConflict:
			return accepted{}, refused.Code, refused.Revision
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// call asks the next instance; it gives 0 where no answer came.
func (o *operator) call(method, path string, body []byte, reply, refused any) int {
	o.tries++
	request, err := http.NewRequest(method, o.servers[o.tries%len(o.servers)]+path, bytes.NewReader(body))
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

// leader waits until an instance names one.
func (o *operator) leader(ts *testscript.TestScript) string {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pause) {
		status := api.Status{}
		if o.call(http.MethodGet, api.PathStatus, nil, &status, &api.ErrorBody{}) == http.StatusOK && status.Leader != "" {
			return status.Leader
		}
	}
	ts.Fatalf("no leader")
	return ""
}

// diary collects what writers were told.
type diary struct {
	mu      sync.Mutex
	entries []accepted
}

func (d *diary) add(a accepted) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.entries = append(d.entries, a)
}

// waitAfter waits for an acknowledgement later than a moment.
func (d *diary) waitAfter(ts *testscript.TestScript, moment time.Time) time.Duration {
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		if at, ok := d.after(moment); ok {
			return at.Sub(moment)
		}
	}
	ts.Fatalf("no change was acknowledged")
	return 0
}

func (d *diary) after(moment time.Time) (time.Time, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, a := range d.entries {
		if a.at.After(moment) {
			return a.at, true
		}
	}
	return time.Time{}, false
}

// killleaders kills the leader again and again while operators race to apply,
// then compares what they were told with what every instance has.
func killLeaders(ts *testscript.TestScript, _ bool, _ []string) {
	told, stop := &diary{}, make(chan struct{})
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
					told.add(change)
				}
				revision = newest
			}
		})
	}
	watcher := newOperator(ts, "watcher")
	var gaps []time.Duration
	for range *kills {
		told.waitAfter(ts, time.Now())
		leader := watcher.leader(ts)
		// The kill comes some way into the writes, elsewhere each time.
		time.Sleep(time.Duration(len(gaps)*7%50) * time.Millisecond)
		killed := time.Now()
		crash(ts, false, []string{leader})
		gaps = append(gaps, told.waitAfter(ts, killed.Add(10*time.Millisecond)))
		start(ts, false, []string{leader, "pinewinchd", "-config", leader + ".ini"})
		ready(ts, false, []string{ts.Getenv("HTTP" + leader[1:])})
	}
	close(stop)
	writers.Wait()
	slices.Sort(gaps)
	ts.Logf("%d kills, %d changes acknowledged; without a leader: median %s, worst %s",
		*kills, len(told.entries), gaps[len(gaps)/2], gaps[len(gaps)-1])
	compare(ts, told.entries)
}

// compare checks that each acknowledged change is there, that no revision was
// given twice, and that there are as many keys as revisions: none was lost and
// none applied twice.
func compare(ts *testscript.TestScript, told []accepted) {
	revisions := map[uint64]string{}
	var newest uint64
	for _, change := range told {
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
		for _, change := range told {
			if !keys[change.key] {
				ts.Fatalf("%s lost %s, acknowledged as revision %d", server, change.key, change.revision)
			}
		}
	}
}

// declarations waits until an instance has a revision and gives its keys.
func declarations(ts *testscript.TestScript, server string, newest uint64) (map[string]bool, uint64) {
	reader := newOperator(ts, "reader")
	reader.servers = []string{server}
	for deadline := time.Now().Add(patience); time.Now().Before(deadline); time.Sleep(pause) {
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

// raceOperators lets two operators apply against the same revision, each at
// another instance, and wants one winner and one typed conflict each time.
func raceOperators(ts *testscript.TestScript, _ bool, _ []string) {
	first, second := newOperator(ts, "first"), newOperator(ts, "second")
	second.tries = 1
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

// changeAndCrash applies N changes, kills every instance at once, starts them
// again and wants every change back everywhere.
func changeAndCrash(ts *testscript.TestScript, _ bool, args []string) {
	count, err := strconv.Atoi(args[0])
	ts.Check(err)
	writer := newOperator(ts, "writer")
	var told []accepted
	for revision := range count {
		change, code, _ := writer.apply(uint64(revision))
		if code != "" {
			ts.Fatalf("change against revision %d: %s", revision, code)
		}
		told = append(told, change)
	}
	instances := []string{"i1", "i2", "i3"}
	crash(ts, false, instances)
	for _, instance := range instances {
		start(ts, false, []string{instance, "pinewinchd", "-config", instance + ".ini"})
	}
	compare(ts, told)
}
