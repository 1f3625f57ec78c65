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

// host is a worker's place: the worker on it may crash and start again.
type host struct {
	name    string
	number  int
	servers []string
	mu      sync.Mutex
	// starts are all workers that ran here; the last is the one that does.
	starts []*standin.Worker
	cancel context.CancelFunc
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
	// Each worker begins with another instance.
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
	h.starts = append(h.starts, worker)
	h.cancel = cancel
}

// crash ends the worker and its tasks; its address refuses from then on.
func (h *host) crash() {
	h.newest().Crash()
	h.cancel()
}

func (h *host) newest() *standin.Worker {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.starts[len(h.starts)-1]
}

func (h *host) runs() []tasks.Run {
	h.mu.Lock()
	defer h.mu.Unlock()
	var runs []tasks.Run
	for _, worker := range h.starts {
		runs = append(runs, worker.Runs()...)
	}
	return runs
}
