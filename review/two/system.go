package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// machine is a machine of the system with its process.
type machine struct {
	name, ip, zone string
	core           bool
	mu             sync.Mutex
	command        *exec.Cmd
	exited         chan struct{}
	wanted         bool
	// ownEnds counts the ends of the process that nothing of the case has caused.
	ownEnds int
	first   bool
}

// system is a small deployment: five core machines and some entry machines, each with a
// loopback address of its own.
type system struct {
	w             *world
	folder        string
	program       string
	cores, fronts []*machine
	client        *http.Client

	peerPort, controlPort, frontPort, readyPort int
	zones                                       []string
	// named is the control address to which the minions were told last to check in; protected by
	// the mutex of the world.
	named     string
	heartbeat time.Duration
}

func cannotRun(format string, args ...any) {
	fmt.Fprintf(os.Stderr, "cannot run: "+format+"\n", args...)
	shutdown()
	os.Exit(2)
}

var (
	runningMu sync.Mutex
	running   []*machine
	tempDir   string
)

// shutdown ends all processes that were started.
func shutdown() {
	runningMu.Lock()
	defer runningMu.Unlock()
	for _, m := range running {
		m.kill()
	}
	if tempDir != "" {
		os.RemoveAll(tempDir)
	}
}

func newSystem(w *world, fronts int) *system {
	root := os.Getenv("ROOT")
	folder, err := os.MkdirTemp("", "review-two-")
	if err != nil {
		cannotRun("%v", err)
	}
	tempDir = folder
	s := &system{
		w: w, folder: folder, program: filepath.Join(root, "target", "pinewinchd"), zones: []string{"hall-gwent", "hall-dyfed", "hall-gwynedd"},
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}, heartbeat: 1500 * time.Millisecond,
	}
	if _, err := os.Stat(s.program); err != nil {
		cannotRun("%v", err)
	}
	net2, net3 := 64+rand.Intn(128), rand.Intn(250)
	for n := range 5 + fronts {
		m := &machine{ip: fmt.Sprintf("127.%d.%d.%d", net2, net3, n+10), zone: s.zones[n%3], core: n < 5, first: true}
		if m.core {
			m.name = fmt.Sprintf("core-%d", n+1)
			s.cores = append(s.cores, m)
		} else {
			m.name = fmt.Sprintf("frontend-%d", n-4)
			s.fronts = append(s.fronts, m)
		}
	}
	s.peerPort, s.controlPort, s.frontPort, s.readyPort = s.freePorts()
	return s
}

// freePorts picks ports that are free on the first address. The port after the first is used, too.
func (s *system) freePorts() (a, b, c, d int) {
	var ports []int
	for len(ports) < 4 {
		base := 20000 + rand.Intn(20000)
		ok := true
		for _, p := range []int{base, base + 1} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", s.cores[0].ip, p))
			if err != nil {
				ok = false
				break
			}
			l.Close()
		}
		for _, p := range ports {
			ok = ok && p != base && p != base+1 && p+1 != base
		}
		if ok {
			ports = append(ports, base)
		}
	}
	return ports[0], ports[1], ports[2], ports[3]
}

// leader returns the core machine to which the minions are told to check in.
func (s *system) leader() *machine {
	var named string
	s.w.locked(func() { named = s.named })
	for _, c := range s.cores {
		if s.control(c) == named {
			return c
		}
	}
	cannotRun("no check-in was answered with an address")
	return nil
}

// addCore starts a core machine at a new address, with an empty disk.
func (s *system) addCore(zone string) *machine {
	prefix := strings.TrimSuffix(s.cores[0].ip, "10")
	m := &machine{name: fmt.Sprintf("core-%d", len(s.cores)+1), ip: fmt.Sprintf("%s%d", prefix, 50+len(s.cores)), zone: zone, core: true}
	s.cores = append(s.cores, m)
	s.launch(m)
	s.w.locked(func() { s.w.note("%s is added in %s, with an empty disk", m.name, zone) })
	return m
}

func (s *system) control(m *machine) string { return fmt.Sprintf("%s:%d", m.ip, s.controlPort) }
func (s *system) front(m *machine) string   { return fmt.Sprintf("%s:%d", m.ip, s.frontPort) }

// settings writes the settings file of a machine, as the platform does.
func (s *system) settings(m *machine) string {
	var t strings.Builder
	var seeds []string
	for _, c := range s.cores[:3] {
		seeds = append(seeds, s.control(c))
	}
	class, role, share, memory, fds := "frontend", "front", "0.4", 284, 4100
	if m.core {
		class, role, share, memory, fds = "core", "control", "0.8", 280, 4096
	}
	fmt.Fprintf(&t, "nodeName=%s\nrole=%s\nmachineClass=%s\nip=%s\nzone=%s\nregion=cymru\n", m.name, role, class, m.ip, m.zone)
	for _, z := range s.zones {
		fmt.Fprintf(&t, "zones.%s=cymru\n", z)
	}
	if m.core {
		data := filepath.Join(s.folder, "data-"+m.name)
		if err := os.MkdirAll(data, 0o755); err != nil {
			cannotRun("%v", err)
		}
		fmt.Fprintf(&t, "serves=control_plane\nlisten.control=%s\ndataDirectory=%s\ncountTowardTolerance=true\nlimits.diskMb=128\n", s.control(m), data)
	} else {
		fmt.Fprintf(&t, "serves=frontend\nlisten.frontend=%s\nlisten.readiness=%s:%d\ncountTowardTolerance=false\nlimits.diskMb=0\n", s.front(m), m.ip, s.readyPort)
	}
	fmt.Fprintf(&t, "internalPortRange=%d,%d\nseeds=%s\nbootstrap=%t\n", s.peerPort, s.peerPort+1, strings.Join(seeds, ","), m.first)
	fmt.Fprintf(&t, "limits.cpuShare=%s\nlimits.cores=1\nlimits.memoryMb=%d\nlimits.fdLimit=%d\nlimits.linkMbps=1000.0\n", share, memory, fds)
	fmt.Fprintf(&t, "discovery=registry\nentry=vip\nheartbeatIntervalMs=%d\n", s.heartbeat.Milliseconds())
	t.WriteString(`contracts=base,drain,config,cost,recover,sched,tenants,advice,upkeep,sharing
faultTolerance.machines=2
faultTolerance.zones=0
faultTolerance.regions=0
bounds.seedLagS=3
bounds.addressReuseS=2
bounds.contactWindowMs=3000
bounds.ackTimeoutMs=4000
bounds.catchUpS=4
bounds.drainMs=2000
bounds.graceS=6
bounds.lossSlackMs=200
bounds.configApplyMs=2000
bounds.rollbackSlackMs=250
bounds.outerBoundMs=5000
bounds.strictRevocation=false
bounds.revokeMs=5000
bounds.recoveryS=12
bounds.maxHoldMs=10000
bounds.stopTimeoutMs=400
bounds.gangTimeoutMs=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remoteFactor=3
bounds.checkpointIntervalS=2
bounds.restoreMs=600
bounds.noticeMs=4500
bounds.migrationS=1.5
bounds.maintenanceS=2
bounds.requireFencing=false
bounds.leaseMs=3000
bounds.thawMs=300
bounds.pacingMs=100
bounds.interferenceMs=4000
bounds.reclaimMs=2900
config_mode=highest
orders=push
cloudApi.ratePerS=60.0
cloudApi.duties=
cloudApi.dutyPerS=60.0
`)
	path := filepath.Join(s.folder, m.name+".conf")
	if err := os.WriteFile(path, []byte(t.String()), 0o644); err != nil {
		cannotRun("%v", err)
	}
	return path
}

// launch starts the process of a machine. One that ends by itself is started again.
func (s *system) launch(m *machine) {
	path := s.settings(m)
	m.first = false
	c := exec.Command(s.program, "-platform", "-metrics-port", "9464")
	c.Dir = os.Getenv("ROOT")
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + s.folder, "PINEWINCH_BOOT=" + path}
	log, err := os.OpenFile(filepath.Join(s.logFolder(), m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		cannotRun("%v", err)
	}
	c.Stdout, c.Stderr = log, log
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		cannotRun("%v", err)
	}
	m.mu.Lock()
	m.command, m.wanted, m.exited = c, true, make(chan struct{})
	exited := m.exited
	m.mu.Unlock()
	runningMu.Lock()
	running = append(running, m)
	runningMu.Unlock()
	go func() {
		_ = c.Wait()
		log.Close()
		close(exited)
		m.mu.Lock()
		own := m.wanted && m.command == c
		if own {
			m.ownEnds++
		}
		m.mu.Unlock()
		if own {
			s.w.note("%s: the process has ended by itself: %v", m.name, c.ProcessState)
			time.Sleep(300 * time.Millisecond)
			s.launch(m)
		}
	}()
}

func (s *system) logFolder() string {
	if dir := os.Getenv("LOGS"); dir != "" {
		return dir
	}
	return s.folder
}

// kill ends the process of a machine at once.
func (m *machine) kill() {
	m.mu.Lock()
	m.wanted = false
	c, exited := m.command, m.exited
	m.mu.Unlock()
	if c == nil {
		return
	}
	_ = c.Process.Signal(syscall.SIGKILL)
	<-exited
}

func (m *machine) signal(sig os.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	_ = m.command.Process.Signal(sig)
}

// startAll starts all machines and sends the first desired state.
func (s *system) startAll(desired string) {
	for _, m := range append(append([]*machine{}, s.cores...), s.fronts...) {
		s.launch(m)
	}
	deadline := time.Now().Add(20 * time.Second)
	for !s.replace(desired) {
		if time.Now().After(deadline) {
			cannotRun("the first desired state is not confirmed")
		}
		time.Sleep(200 * time.Millisecond)
	}
	for _, f := range s.fronts {
		for {
			status, _ := s.call("GET", fmt.Sprintf("%s:%d", f.ip, s.readyPort), "", "/pinewinch/readiness", "", "", time.Second)
			if status == 200 {
				break
			}
			if time.Now().After(deadline) {
				cannotRun("%s is not ready", f.name)
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	s.w.note("the system is ready")
}

// replace sends a desired state to the cores in turn until one answers it, and reports
// whether it was confirmed.
func (s *system) replace(text string) bool {
	for _, c := range s.cores {
		status, _ := s.call("POST", s.control(c), "", "/pinewinch/config/replace", "", text, time.Second)
		if status != 0 && status < 500 {
			s.w.note("desired state sent to %s: %d", c.name, status)
			return status/100 == 2
		}
	}
	return false
}

// call sends one request. The status is 0 without an answer.
func (s *system) call(method, address, host, path, key, body string, timeout time.Duration) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	if host != "" {
		request.Host = host
	}
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(timeout.Milliseconds()))
	client := *s.client
	client.Timeout = timeout
	response, err := client.Do(request)
	if err != nil {
		return 0, ""
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, ""
	}
	return response.StatusCode, string(text)
}

const serviceHost = "nony24.example"

// desired returns a desired state with one route to one service, of one tenant.
func desired(version int, enforces bool) string {
	body := map[string]any{
		"version": version,
		"routes": []any{
			map[string]any{"name": "r-1", "host": serviceHost, "pathPrefix": "/lohu930/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 1000, "priority": 1, "service": "huvo11a", "maxAttempts": 3, "slackFactor": 3.0, "allowAnonymous": false},
			map[string]any{"name": "r-2", "host": serviceHost, "pathPrefix": "/pule252/", "kind": "unsafe", "timeoutMs": 3000, "targetLatencyMs": 250, "priority": 0, "service": "huvo11a", "maxAttempts": 4, "slackFactor": 1.5, "allowAnonymous": false},
		},
		"services": []any{map[string]any{"name": "huvo11a", "healthPath": "/health", "maxConnections": 64, "protocol": "h1", "tls": false, "enforcesCapacity": enforces, "standby": false}},
		"limits":   map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 262144, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
		"tenants":  []any{map[string]any{"name": "kaje80", "apiKeys": []string{"d4a3hwrr6x73d3zji9n7"}, "priority": 1, "guaranteedGpus": map[string]int{"gpus": 8}}},
	}
	text, _ := json.Marshal(body)
	return string(text)
}

const tenantKey = "d4a3hwrr6x73d3zji9n7"

// jobBody returns the body of a job.
func (j *job) body() string {
	body := map[string]any{"specification": j.spec, "steps": j.steps}
	if j.repetitions > 0 {
		body["firstRunMs"], body["intervalMs"], body["repetitions"] = j.firstRunMs, j.intervalMs, j.repetitions
	}
	text, _ := json.Marshal(body)
	return string(text)
}

func newJob(prefix, spec string, steps ...step) *job {
	return &job{id: fmt.Sprintf("%016x", rand.Uint64()), prefix: prefix, key: tenantKey, spec: spec, steps: steps, service: "huvo11a"}
}

// submit hands a job in, with retries at the other entry machines. It returns the last status.
func (s *system) submit(j *job) int {
	s.w.locked(func() { s.w.jobs[j.id] = j })
	status := 0
	for try := range 5 {
		f := s.fronts[try%len(s.fronts)]
		var text string
		status, text = s.call("POST", s.front(f), serviceHost, j.prefix+j.id, j.key, j.body(), 3*time.Second)
		s.w.locked(func() { s.w.note("POST %s%s at %s: %d %s", j.prefix, j.id, f.name, status, strings.TrimSpace(text)) })
		if status/100 == 2 || status == 400 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// state returns the state of a job as an entry machine shows it, or the status of the answer.
func (s *system) state(j *job, at int) string {
	f := s.fronts[at%len(s.fronts)]
	status, text := s.call("GET", s.front(f), serviceHost, j.prefix+j.id, j.key, "", 3*time.Second)
	var body struct {
		State string `json:"state"`
	}
	if status == 200 && json.Unmarshal([]byte(text), &body) == nil {
		return body.State
	}
	return fmt.Sprint(status)
}

// addMinions starts minions with 8 GPUs each, in racks of four.
func (s *system) addMinions(count int) {
	for n := range count {
		m := &minion{
			w: s.w, sys: s, name: fmt.Sprintf("m%d", n+1), zone: s.zones[n%3], service: "huvo11a", rack: fmt.Sprintf("r1-%d", n/4), kind: "a",
			cpu: 32000, mem: 128 << 10, gpus: 8, address: fmt.Sprintf("%s%d:0", strings.TrimSuffix(s.cores[0].ip, "10"), 100+n),
			stopTime: 400 * time.Millisecond, beatInterval: s.heartbeat,
		}
		s.w.minions = append(s.w.minions, m)
		m.start()
	}
}
