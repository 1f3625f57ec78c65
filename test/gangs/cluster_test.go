package gangs

import (
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/command"
	"pinewinch.example/pinewinch/internal/standin/loopback"
	"pinewinch.example/pinewinch/internal/standin/relay"
	"pinewinch.example/pinewinch/test/process"
)

const (
	voters        = 3
	followers     = 2
	settleTimeout = time.Minute
	pollInterval  = 20 * time.Millisecond
)

// cluster is a set of instances in which each link between two instances goes through a
// relay.
type cluster struct {
	folder    string
	instances []*process.Instance
	relays    []*relay.Relay
	isolated  atomic.Pointer[string]
}

func startCluster(t testing.TB) *cluster {
	c := &cluster{folder: t.TempDir()}
	if *logs != "" {
		t.Cleanup(func() {
			for _, i := range c.instances {
				i.KeepLog(t, *logs)
			}
		})
	}
	count := voters + followers
	addresses, err := loopback.Reserve(2 * count)
	is.New(t).NoErr(err)
	for n := range count {
		i := &process.Instance{Name: nameOf(n), URL: "http://" + addresses[n].String()}
		i.Config = filepath.Join(c.folder, i.Name+".ini")
		text := c.settings(t, n, addresses[n], addresses[count:])
		is.New(t).NoErr(os.WriteFile(i.Config, []byte(text), 0o600))
		i.Start(t)
		t.Cleanup(func() { i.Stop(syscall.SIGKILL) })
		c.instances = append(c.instances, i)
	}
	for _, i := range c.instances {
		process.Await(t, i.Name, i.Ready)
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
		"%s",
		nameOf(n), n%dataCentres+1, web, peer[n], data, c.peers(t, n, peer), config.FreshnessBound, config.AnnounceEvery, config.Lease,
		process.TokenSections())
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

// setLinks opens or blocks the links between two instances, or between the first and all
// others if the second is empty. Links of an isolated instance are not changed.
func (c *cluster) setLinks(a, b string, open bool) {
	for _, r := range c.relays {
		if r.Connects(a) && (b == "" || r.Connects(b)) && !r.Connects(c.isolatedName()) {
			r.SetOpen(open)
		}
	}
}

// isolate partitions an instance from all others until reconnect.
func (c *cluster) isolate(name string) {
	c.setLinks(name, "", false)
	c.isolated.Store(&name)
}

func (c *cluster) reconnect() {
	name := c.isolatedName()
	c.isolated.Store(nil)
	c.setLinks(name, "", true)
}

func (c *cluster) isolatedName() string {
	if name := c.isolated.Load(); name != nil {
		return *name
	}
	return ""
}

func (c *cluster) urls() []string {
	var urls []string
	for _, i := range c.instances {
		urls = append(urls, i.URL)
	}
	return urls
}

// apply applies declarations through any instance that accepts them.
func (c *cluster) apply(t testing.TB, text string) {
	file := filepath.Join(c.folder, "declared.ini")
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	var errs strings.Builder
	process.Await(t, "apply", func() bool {
		var out strings.Builder
		errs.Reset()
		args := []string{"apply", "-server", strings.Join(c.urls(), ","), "-token", process.OperatorToken, file}
		if command.Run(args, &out, &errs) == 0 {
			return true
		}
		t.Log(errs.String())
		return false
	})
}
