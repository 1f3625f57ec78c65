package gangs

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"pinewinch.example/pinewinch/internal/protocol/api"
	"pinewinch.example/pinewinch/internal/standin"
	"pinewinch.example/pinewinch/internal/standin/tasks"
)

const (
	workerCount  = 8
	rackSize     = 4
	dataCentres  = 2
	accelerators = 8
)

// host is a machine that runs a worker, which may crash and be restarted.
type host struct {
	name    string
	number  int
	servers []string
	mu      sync.Mutex
	// workers holds all incarnations of the worker; the last one is the current one.
	workers []*standin.Worker
	cancel  context.CancelFunc
}

func startHosts(t *testing.T, servers []string) []*host {
	var hosts []*host
	for n := range workerCount {
		h := &host{name: fmt.Sprintf("w%d", n+1), number: n, servers: servers}
		h.start(t)
		hosts = append(hosts, h)
	}
	return hosts
}

func (h *host) start(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	// Workers begin at different instances.
	servers := append(append([]string{}, h.servers[h.number%len(h.servers):]...), h.servers[:h.number%len(h.servers)]...)
	worker := standin.NewWorker(standin.WorkerOptions{
		Announcement: api.Announcement{
			ID: h.name, Address: listener.Addr().String(), Incarnation: time.Now().UnixNano(),
			DataCentre: "dc1", Rack: fmt.Sprintf("r%d", h.number/rackSize+1),
			Cores: 160, MemoryMB: 64 << 10, Accelerators: accelerators,
		},
		Servers: servers,
		Tasks:   tasks.Options{Speed: 1, KeepRuns: true, CheckpointEvery: 200 * time.Millisecond},
	})
	ctx, cancel := context.WithCancel(t.Context())
	context.AfterFunc(ctx, func() { listener.Close() })
	go func() { _ = http.Serve(listener, worker.Handler()) }()
	go worker.Run(ctx)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.workers = append(h.workers, worker)
	h.cancel = cancel
}

// crash ends the worker and its tasks; its address refuses connections from then on.
func (h *host) crash() {
	h.current().Crash()
	h.cancel()
}

func (h *host) current() *standin.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.workers[len(h.workers)-1]
}

func (h *host) runs() []tasks.Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	var runs []tasks.Run
	for _, worker := range h.workers {
		runs = append(runs, worker.Runs()...)
	}
	return runs
}
