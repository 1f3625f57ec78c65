package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// Ports of all machines; each machine has a loopback address of its own.
const (
	portFrontend  = 8521
	portReadiness = 8523
	portControl   = 8526
	portInternal  = 7000
	metricsPort   = "9464"
)

// machine is a machine of the system with one process.
type machine struct {
	name, ip, zone string
	core           bool
	command        *exec.Cmd
	exited         chan struct{}
}

// system is a small deployment: cores with a disk and front ends.
type system struct {
	record   *record
	folder   string
	machines []*machine
	cores    []*machine
	fronts   []*machine
	client   *http.Client
}

var zones = []string{"obihiro", "asahikawa", "kitami"}

// startSystem starts the machines as the deploy file says and waits until the fronts are
// ready, which takes the operator's first desired state.
func startSystem(r *record, coreCount, frontCount int, firstState string) (*system, error) {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	s := &system{record: r, folder: folder, client: &http.Client{Timeout: 3 * time.Second}}
	network := fmt.Sprintf("127.%d.%d", 10+rand.Intn(200), 1+rand.Intn(250))
	for n := range coreCount + frontCount {
		m := &machine{ip: fmt.Sprintf("%s.%d", network, n+1), zone: zones[n%len(zones)], core: n < coreCount}
		if m.core {
			m.name = fmt.Sprintf("core-%d", n+1)
			s.cores = append(s.cores, m)
		} else {
			m.name = fmt.Sprintf("frontend-%d", n+1-coreCount)
			s.fronts = append(s.fronts, m)
		}
		s.machines = append(s.machines, m)
		for _, port := range []int{portFrontend, portReadiness, portControl, portInternal, portInternal + 1, 9464} {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s:%d", m.ip, port))
			if err != nil {
				return s, err
			}
			listener.Close()
		}
	}
	for _, m := range s.machines {
		if err := s.start(m, true); err != nil {
			return s, err
		}
	}
	if !await(10*time.Second, func() bool { return s.replaceConfig(firstState) == http.StatusOK }) {
		return s, errors.New("the first desired state was not acknowledged")
	}
	for _, m := range s.fronts {
		ready := func() bool {
			status, _ := s.call(http.MethodGet, fmt.Sprintf("%s:%d", m.ip, portReadiness), "/pinewinch/readiness", "", "", "")
			return status == http.StatusOK
		}
		if !await(10*time.Second, ready) {
			return s, fmt.Errorf("%s is not ready", m.name)
		}
	}
	return s, nil
}

func (s *system) settings(m *machine, first bool) string {
	var seeds []string
	for _, core := range s.cores[:3] {
		seeds = append(seeds, core.control())
	}
	text := fmt.Sprintf("nodeName=%s\nip=%s\nzone=%s\nregion=hokkaido\n", m.name, m.ip, m.zone)
	for _, zone := range zones {
		text += "zones." + zone + "=hokkaido\n"
	}
	text += fmt.Sprintf("internalPortRange=%d,%d\nseeds=%s\nbootstrap=%t\ncountTowardTolerance=%t\n", portInternal, portInternal+15, strings.Join(seeds, ","), first, m.core)
	if m.core {
		text += fmt.Sprintf("role=control\nmachineClass=core\nserves=control_plane\nlisten.control=%s\nlimits.cpuShare=0.8\nlimits.memoryMb=280\nlimits.fdLimit=4096\nlimits.diskMb=128\ndataDirectory=%s\n", m.control(), filepath.Join(s.folder, m.name))
	} else {
		text += fmt.Sprintf("role=front\nmachineClass=frontend\nserves=frontend\nlisten.frontend=%s\nlisten.readiness=%s:%d\nlimits.cpuShare=0.4\nlimits.memoryMb=284\nlimits.fdLimit=4100\nlimits.diskMb=0\n", m.frontend(), m.ip, portReadiness)
	}
	return text + `limits.cores=1
limits.linkMbps=1000.0
discovery=registry
entry=vip
heartbeatIntervalMs=1500
contracts=base,drain,config,cost,recover,sched,tenants,advice,upkeep,sharing
faultTolerance.machines=` + fmt.Sprint((len(s.cores)-1)/2) + `
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
bounds.checkpointIntervalS=1
bounds.restoreMs=100
bounds.noticeMs=4500
bounds.leaseMs=3000
bounds.thawMs=300
bounds.reclaimMs=2900
config_mode=highest
orders=push
`
}

func (m *machine) control() string  { return fmt.Sprintf("%s:%d", m.ip, portControl) }
func (m *machine) frontend() string { return fmt.Sprintf("%s:%d", m.ip, portFrontend) }

// start starts the machine's process with the command of the deploy file.
func (s *system) start(m *machine, first bool) error {
	path := filepath.Join(s.folder, m.name+".conf")
	if err := os.WriteFile(path, []byte(s.settings(m, first)), 0o600); err != nil {
		return err
	}
	if m.core {
		if err := os.MkdirAll(filepath.Join(s.folder, m.name), 0o700); err != nil {
			return err
		}
	}
	log, err := os.OpenFile(filepath.Join(s.folder, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command("target/pinewinchd", "-platform", "-metrics-port", metricsPort)
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PINEWINCH_BOOT=" + path}
	command.Stdout, command.Stderr = log, log
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	m.command, m.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(m.exited)
	s.record.add("%s (%s) started, pid %d", m.name, m.ip, command.Process.Pid)
	return nil
}

// signal sends a signal to the machine's process.
func (s *system) signal(m *machine, signal syscall.Signal) {
	s.record.add("%s gets %v", m.name, signal)
	_ = m.command.Process.Signal(signal)
}

// kill kills the machine's process and waits for its end.
func (s *system) kill(m *machine) {
	s.signal(m, syscall.SIGKILL)
	<-m.exited
}

// close ends all processes.
func (s *system) close() {
	for _, m := range s.machines {
		if m.command != nil {
			_ = m.command.Process.Signal(syscall.SIGCONT)
			_ = m.command.Process.Kill()
			<-m.exited
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("kept:", s.folder)
	}
}

// call sends a request; status is 0 if no complete answer came within the client's time.
func (s *system) call(method, address, path, host, key, body string) (status int, answer string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Close = true
	if host != "" {
		request.Host = host
		request.Header.Set("X-Deadline-Ms", "3000")
	}
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	if body != "" {
		request.Header.Set("Content-Type", "application/json")
	}
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, err.Error()
	}
	return response.StatusCode, string(bytes.TrimSpace(text))
}

// clientCall is a recorded call of a requester at a front.
func (s *system) clientCall(method string, front *machine, path, host, key, body string) (int, string) {
	s.record.add("client: %s %s%s at %s", method, host, path, front.name)
	status, answer := s.call(method, front.frontend(), path, host, key, body)
	s.record.add("client: %s %s%s at %s answered %d %s", method, host, path, front.name, status, answer)
	return status, answer
}

// replaceConfig sends a desired state to one core after the other until one answers below
// 500, as the operator does.
func (s *system) replaceConfig(text string) int {
	for _, core := range s.cores {
		status, answer := s.call(http.MethodPost, core.control(), "/pinewinch/config/replace", "", "", text)
		s.record.add("operator: config/replace at %s answered %d %s", core.name, status, answer)
		if status != 0 && status < 500 {
			return status
		}
	}
	return 0
}

// leader returns the core that minions are told to report to.
func (s *system) leader() *machine {
	beat := `{"service":"none","address":"127.0.0.1:1","zone":"obihiro","version":"v1","slots":1,"state":"draining","coldRemainingMs":0,"capacity":{"cpu":1,"memMb":1,"gpus":0},"labels":["z"],"clockMs":1,"sequence":1}`
	for _, core := range s.cores {
		status, answer := s.call(http.MethodPost, core.control(), "/pinewinch/instances/i-probe/heartbeat", "", "", beat)
		var reply struct {
			Address string `json:"heartbeatAddress"`
		}
		if status != http.StatusOK || json.Unmarshal([]byte(answer), &reply) != nil {
			continue
		}
		for _, leader := range s.cores {
			if leader.control() == reply.Address {
				return leader
			}
		}
	}
	return nil
}

// await polls a condition until it holds or the time is over.
func await(limit time.Duration, holds func() bool) bool {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if holds() {
			return true
		}
	}
	return false
}
