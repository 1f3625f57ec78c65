package gangs

import (
	"crypto/sha256"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/command"
	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin/loopback"
	"pinewinch.example/pinewinch/internal/standin/relay"
)

// roleVariable makes the test binary run as an instance.
const roleVariable = "PINEWINCH_TEST_ROLE"

const (
	operatorToken = "operator-secret"
	voters        = 3
	followers     = 2
	patience      = time.Minute
	pollEvery     = 20 * time.Millisecond
)

var tokens = map[string]string{"crews": "crews-secret", "planners": "planners-secret"}

// instance is one process that is killed, frozen and started again.
type instance struct {
	name, config, url string
	command           *exec.Cmd
	exited            chan struct{}
}

func (i *instance) start(t testing.TB) {
	log, err := os.OpenFile(i.config+".log", os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	is.New(t).NoErr(err)
	defer log.Close()
	i.command = exec.Command(os.Args[0], "-config", i.config)
	i.command.Env = append(os.Environ(), roleVariable+"=pinewinchd")
	i.command.Stderr = log
	is.New(t).NoErr(i.command.Start())
	i.exited = make(chan struct{})
	go func(command *exec.Cmd, exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(i.command, i.exited)
}

func (i *instance) signal(signal syscall.Signal) { _ = i.command.Process.Signal(signal) }

func (i *instance) kill() {
	i.signal(syscall.SIGKILL)
	<-i.exited
}

func (i *instance) ready() bool {
	response, err := http.Get(i.url + api.PathReady)
	if err != nil {
		return false
	}
	response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func await(t testing.TB, what string, done func() bool) {
	for deadline := time.Now().Add(patience); !done(); time.Sleep(pollEvery) {
		if time.Now().After(deadline) {
			t.Fatalf("%s never came", what)
		}
	}
}

// cluster is the instances, each link between two of them through a relay.
type cluster struct {
	folder    string
	instances []*instance
	relays    []*relay.Relay
	stranded  atomic.Pointer[string]
}

func startCluster(t testing.TB) *cluster {
	c := &cluster{folder: t.TempDir()}
	count := voters + followers
	addresses, err := loopback.Reserve(2 * count)
	is.New(t).NoErr(err)
	for n := range count {
		i := &instance{name: nameOf(n), url: "http://" + addresses[n].String()}
		i.config = filepath.Join(c.folder, i.name+".ini")
		text := c.settings(t, n, addresses[n], addresses[count:])
		is.New(t).NoErr(os.WriteFile(i.config, []byte(text), 0o600))
		i.start(t)
		t.Cleanup(i.kill)
		c.instances = append(c.instances, i)
	}
	for _, i := range c.instances {
		await(t, i.name, i.ready)
	}
	return c
}

func nameOf(n int) string { return fmt.Sprintf("i%d", n+1) }

func (c *cluster) settings(t testing.TB, n int, web netip.AddrPort, peer []netip.AddrPort) string {
	data := ""
	if n < voters {
		data = filepath.Join(c.folder, nameOf(n))
		is.New(t).NoErr(os.Mkdir(data, 0o700))
	}
	return fmt.Sprintf("[instance]\nname = %s\ndata_centre = dc%d\nlisten_http = %s\nlisten_peer = %s\ndata_folder = %s\n[peers]\n%s"+
		"[control]\nvoters = i1, i2, i3\nfreshness_bound = %s\n[upstreams]\nannounce_every = %s\nlease = %s\n"+
		"[customers]\ncrews = %s\nplanners = %s\n[operators]\noperator = %s\n",
		nameOf(n), n%dataCentres+1, web, peer[n], data, c.peers(t, n, peer), config.FreshnessBound, config.AnnounceEvery, config.Lease,
		hashOf(tokens["crews"]), hashOf(tokens["planners"]), hashOf(operatorToken))
}

func (c *cluster) peers(t testing.TB, self int, peer []netip.AddrPort) string {
	var text strings.Builder
	for n, address := range peer {
		reached := address.String()
		if n != self {
			r, err := relay.Start(nameOf(self), nameOf(n), reached)
			is.New(t).NoErr(err)
			t.Cleanup(r.Close)
			c.relays = append(c.relays, r)
			reached = r.Address()
		}
		fmt.Fprintf(&text, "%s = %s\n", nameOf(n), reached)
	}
	return text.String()
}

func hashOf(token string) string { return fmt.Sprintf("sha256:%x", sha256.Sum256([]byte(token))) }

// set lets what goes between two instances pass, or holds it; with an empty
// second it is between the first and all others. Links of a stranded instance
// stay as they are.
func (c *cluster) set(a, b string, open bool) {
	for _, r := range c.relays {
		if r.Touches(a) && (b == "" || r.Touches(b)) && !r.Touches(c.strandedNow()) {
			r.Set(open)
		}
	}
}

// strand cuts an instance off from all others until rescue.
func (c *cluster) strand(name string) {
	c.set(name, "", false)
	c.stranded.Store(&name)
}

func (c *cluster) rescue() {
	name := c.strandedNow()
	c.stranded.Store(nil)
	c.set(name, "", true)
}

func (c *cluster) strandedNow() string {
	if name := c.stranded.Load(); name != nil {
		return *name
	}
	return ""
}

func (c *cluster) urls() []string {
	var urls []string
	for _, i := range c.instances {
		urls = append(urls, i.url)
	}
	return urls
}

// apply brings declarations into force, through any instance that can.
func (c *cluster) apply(t testing.TB, text string) {
	file := filepath.Join(c.folder, "declared.ini")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	var errs strings.Builder
	await(t, "apply", func() bool {
		var out strings.Builder
		errs.Reset()
		args := []string{"apply", "-server", strings.Join(c.urls(), ","), "-token", operatorToken, file}
		if command.Run(args, &out, &errs) == 0 {
			return true
		}
		t.Log(errs.String())
		return false
	})
}
