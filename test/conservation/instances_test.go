package conservation

import (
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/command"
	"pinewinch.example/pinewinch/internal/standin/loopback"
	"pinewinch.example/pinewinch/test/process"
)

// startInstances starts the instances, the first of which are voters, and applies the
// declarations of the services; stop is the content of their [stop] section.
func startInstances(t testing.TB, count int, stop string) []*process.Instance {
	folder := t.TempDir()
	addresses, err := loopback.Reserve(2 * count)
	is.New(t).NoErr(err)
	var peers strings.Builder
	for n := range count {
		fmt.Fprintf(&peers, "i%d = %s\n", n+1, addresses[count+n])
	}
	var instances []*process.Instance
	for n := range count {
		i := &process.Instance{Name: fmt.Sprintf("i%d", n+1), URL: "http://" + addresses[n].String()}
		i.Config = filepath.Join(folder, i.Name+".ini")
		data := ""
		if n < voters {
			data = filepath.Join(folder, i.Name)
			is.New(t).NoErr(os.Mkdir(data, 0o700))
		}
		text := fmt.Sprintf("[instance]\nname = %s\ndata_centre = dc%d\nlisten_http = %s\nlisten_peer = %s\ndata_folder = %s\n[peers]\n%s"+
			"[control]\nvoters = %s\n[upstreams]\nannounce_every = 200ms\n[stop]\n%s"+
			"%s",
			i.Name, n%3+1, addresses[n], addresses[count+n], data, peers.String(), voterNames(count), stop, process.TokenSections())
		is.New(t).NoErr(os.WriteFile(i.Config, []byte(text), 0o600))
		i.Start(t)
		t.Cleanup(func() { i.Stop(syscall.SIGKILL) })
		instances = append(instances, i)
	}
	for _, i := range instances {
		process.Await(t, i.Name, i.Ready)
	}
	declare(t, folder, instances[0].URL)
	return instances
}

func voterNames(count int) string {
	names := make([]string, min(voters, count))
	for n := range names {
		names[n] = fmt.Sprintf("i%d", n+1)
	}
	return strings.Join(names, ", ")
}

func declare(t testing.TB, folder, server string) {
	file := filepath.Join(folder, "declared.ini")
	text := "[customer crews]\n[customer planners]\n[service report]\nidempotent = yes\ntimeout = 3s\n[service cut-order]\ntimeout = 3s\n[service held-order]\ntimeout = 1m\n"
	is.New(t).NoErr(os.WriteFile(file, []byte(text), 0o600))
	var out, errs strings.Builder
	code := command.Run([]string{"apply", "-wait", "-server", server, "-token", process.OperatorToken, file}, &out, &errs)
	if code != 0 {
		t.Fatalf("apply: %s", errs.String())
	}
}

// faultCounts counts the faults injected into the instances.
type faultCounts struct{ kills, drains, freezes int }

// injectFaults kills, drains and suspends random instances, one at a time, until stop is
// closed.
func injectFaults(t testing.TB, instances []*process.Instance, random *rand.Rand, stop <-chan struct{}) (done faultCounts) {
	for {
		select {
		case <-stop:
			return done
		case <-time.After(time.Duration(200+random.IntN(400)) * time.Millisecond):
		}
		i := instances[random.IntN(len(instances))]
		switch random.IntN(5) {
		case 0:
			i.Freeze(time.Duration(random.IntN(3000)) * time.Millisecond)
			done.freezes++
			continue
		case 1, 2:
			i.Stop(syscall.SIGTERM)
			done.drains++
		default:
			i.Stop(syscall.SIGKILL)
			done.kills++
		}
		time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
		i.Start(t)
		if !process.Eventually(i.Ready) {
			t.Errorf("%s is not ready again", i.Name)
			return done
		}
	}
}
