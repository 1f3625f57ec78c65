//go:build review3

package lib3

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// System is a small deployment: real processes of the program on loopback addresses.
type System struct {
	W             *World
	Cores, Fronts int
	Net           string
	Dir           string
	ports         [4]int
	cmds          []*exec.Cmd
	client        *http.Client
	Host, Prefix  string
	Key           string
	Program       string
	More          string
	Tolerated     int
}

const bounds = `region=region
countTowardTolerance=%t
limits.cpuShare=0.8
limits.cores=1
limits.memoryMb=284
limits.fdLimit=4100
limits.linkMbps=1000.0
limits.diskMb=128
discovery=registry
entry=vip
contracts=base,drain,config,cost,recover,sched,tenants
heartbeatIntervalMs=1500
faultTolerance.machines=%d
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
bounds.checkpointIntervalS=2
bounds.restoreMs=600
bounds.noticeMs=4500
bounds.reclaimMs=2900
config_mode=highest
orders=push
cloudApi.address=
`

// NewSystem prepares a system on the loopback network 127.A.B.
func NewSystem(w *World, cores, fronts int) *System {
	dir, err := os.MkdirTemp("", "review3-")
	if err != nil {
		panic(err)
	}
	s := &System{W: w, Cores: cores, Fronts: fronts, Dir: dir, Host: "h.example", Prefix: "/p/", Key: "key-of-tenant-one",
		client: &http.Client{Timeout: 3 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, Program: "target/pinewinchd", Tolerated: (cores - 1) / 2}
	s.Net = fmt.Sprintf("127.%d.%d", 10+os.Getpid()%200, os.Getpid()/200%250)
	var listeners []net.Listener
	for at := range s.ports {
		l, err := net.Listen("tcp", s.Net+".1:0")
		if err != nil {
			panic(err)
		}
		listeners = append(listeners, l)
		s.ports[at] = l.Addr().(*net.TCPAddr).Port
	}
	for _, l := range listeners {
		l.Close()
	}
	s.cmds = make([]*exec.Cmd, cores+fronts)
	return s
}

// IP is the address of node n; cores come first.
func (s *System) IP(n int) string { return fmt.Sprintf("%s.%d", s.Net, n+1) }

// Control returns the control addresses of all cores.
func (s *System) Controls() (list []string) {
	for n := range s.Cores {
		list = append(list, fmt.Sprintf("%s:%d", s.IP(n), s.ports[1]))
	}
	return list
}

// Front returns the caller address of front n, counted from 0.
func (s *System) Front(n int) string { return fmt.Sprintf("%s:%d", s.IP(s.Cores+n), s.ports[2]) }

// StartNode starts the process of a node.
func (s *System) StartNode(n int, first bool) {
	var seeds []string
	for c := range min(s.Cores, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.IP(c), s.ports[1]))
	}
	text := fmt.Sprintf("nodeName=n%d\nip=%s\nzone=z1\nzones.z1=region\nseeds=%s\nbootstrap=%t\ninternalPortRange=%d,%d\n", n, s.IP(n), strings.Join(seeds, ","), first, s.ports[0], s.ports[0]+15)
	text += fmt.Sprintf(bounds, n < s.Cores, s.Tolerated) + s.More
	if n < s.Cores {
		data := filepath.Join(s.Dir, fmt.Sprintf("disk%d", n))
		os.MkdirAll(data, 0o700)
		text += fmt.Sprintf("role=control\nmachineClass=core\nserves=control_plane\ndataDirectory=%s\nlisten.control=%s:%d\n", data, s.IP(n), s.ports[1])
	} else {
		text += fmt.Sprintf("role=front\nmachineClass=frontend\nserves=frontend\nlisten.frontend=%s:%d\nlisten.readiness=%s:%d\n", s.IP(n), s.ports[2], s.IP(n), s.ports[3])
	}
	path := filepath.Join(s.Dir, fmt.Sprintf("n%d.conf", n))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		panic(err)
	}
	cmd := exec.Command(s.Program, "-platform", "-metrics-port", "9464")
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "PINEWINCH_BOOT=" + path}
	out, err := os.OpenFile(filepath.Join(s.Dir, fmt.Sprintf("n%d.log", n)), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		panic(err)
	}
	cmd.Stdout, cmd.Stderr = out, out
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		panic(err)
	}
	out.Close()
	s.cmds[n] = cmd
	s.W.Log("node %d starts, process %d", n, cmd.Process.Pid)
}

// Signal sends a signal to the process of a node.
func (s *System) Signal(n int, sig syscall.Signal) {
	s.W.Log("node %d gets %s", n, sig)
	s.cmds[n].Process.Signal(sig)
}

// Kill ends the process of a node and waits for it.
func (s *System) Kill(n int) {
	if s.cmds[n] == nil {
		return
	}
	s.W.Log("node %d is killed", n)
	s.cmds[n].Process.Kill()
	s.cmds[n].Wait()
	s.cmds[n] = nil
}

// Wait waits for the end of a node's process.
func (s *System) Wait(n int) { s.cmds[n].Wait(); s.cmds[n] = nil }

// PID returns the process of a node.
func (s *System) PID(n int) int { return s.cmds[n].Process.Pid }

// Close ends all processes.
func (s *System) Close() {
	for n := range s.cmds {
		s.Kill(n)
	}
	if os.Getenv("KEEP") == "" {
		os.RemoveAll(s.Dir)
	} else {
		s.W.Log("the processes' logs are kept in %s", s.Dir)
	}
}

// Document returns a desired state.
func (s *System) Document(version int, guards bool, attempts int) string {
	return fmt.Sprintf(`{"version":%d,"routes":[{"name":"r-1","host":%q,"pathPrefix":%q,"kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":0,"service":"svc","maxAttempts":%d,"slackFactor":3.0,"allowAnonymous":false},{"name":"r-2","host":%q,"pathPrefix":"/low/","kind":"unsafe","timeoutMs":3000,"targetLatencyMs":1000,"priority":2,"service":"svc","maxAttempts":%d,"slackFactor":3.0,"allowAnonymous":false}],"services":[{"name":"svc","healthPath":"/health","maxConnections":64,"protocol":"h1","tls":false,"enforcesCapacity":%t,"standby":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000},"tenants":[{"name":"t-1","apiKeys":[%q],"priority":1,"guaranteedGpus":{"gpus":8}}]}`,
		version, s.Host, s.Prefix, attempts, s.Host, attempts, guards, s.Key)
}

// Call sends one request and returns status (0 for none) and body.
func (s *System) Call(method, address, path, key, body string) (int, string) {
	request, err := http.NewRequest(method, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return 0, ""
	}
	request.Host = s.Host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	if key != "" {
		request.Header.Set("X-Api-Key", key)
	}
	response, err := s.client.Do(request)
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

// Put sends a desired state until it is acknowledged or refused.
func (s *System) Put(text string, within time.Duration) int {
	until, n := time.Now().Add(within), 0
	for time.Now().Before(until) {
		status, _ := s.Call("POST", s.Controls()[n%s.Cores], "/pinewinch/config/replace", "", text)
		n++
		if status/100 == 2 || status == 400 || status == 409 || status == 412 || status == 413 || status == 422 {
			return status
		}
		time.Sleep(100 * time.Millisecond)
	}
	return 0
}

// Begin starts all nodes and sends the first desired state.
func (s *System) Begin(document string) bool {
	for n := range s.Cores + s.Fronts {
		s.StartNode(n, true)
	}
	if status := s.Put(document, 20*time.Second); status != 200 {
		s.W.Log("the first desired state got %d", status)
		return false
	}
	for f := range s.Fronts {
		until := time.Now().Add(10 * time.Second)
		for {
			if status, _ := s.Call("GET", fmt.Sprintf("%s:%d", s.IP(s.Cores+f), s.ports[3]), "/pinewinch/readiness", "", ""); status == 200 {
				break
			}
			if time.Now().After(until) {
				return false
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	return true
}

// Submit hands a job in, with retries, and reports whether it was accepted.
func (s *System) Submit(job *Job, prefix string, tries int) bool {
	if job.Specification == "" {
		job.Specification = "spec of " + job.ID
	}
	s.W.mu.Lock()
	s.W.Jobs[job.ID] = job
	front := s.W.Rand.Intn(s.Fronts)
	s.W.mu.Unlock()
	text, _ := json.Marshal(job)
	for try := range tries {
		status, _ := s.Call("POST", s.Front((front+try)%s.Fronts), prefix+job.ID, s.Key, string(text))
		s.W.Log("POST %s%s -> %d", prefix, job.ID, status)
		if status/100 == 2 {
			s.W.mu.Lock()
			job.Accepted = time.Now()
			s.W.mu.Unlock()
			return true
		}
		time.Sleep(300 * time.Millisecond)
	}
	return false
}

// State asks for the state of a job.
func (s *System) State(job *Job, prefix string, front int) (int, string) {
	status, body := s.Call("GET", s.Front(front%s.Fronts), prefix+job.ID, s.Key, "")
	var reply struct {
		State string `json:"state"`
	}
	json.Unmarshal([]byte(body), &reply)
	if status == 200 && reply.State == "completed" {
		if done, missing := s.W.AllDone(job); !done {
			s.W.Break("MIXED: %s is shown as completed while %s has not ended so", job.ID, missing)
		}
		s.W.mu.Lock()
		job.State = "completed"
		s.W.mu.Unlock()
	}
	return status, reply.State
}

// Cancel sends a DELETE until it is answered.
func (s *System) Cancel(job *Job, prefix string) bool {
	s.W.mu.Lock()
	job.CancelSent = time.Now()
	s.W.mu.Unlock()
	for try := range 10 {
		status, _ := s.Call("DELETE", s.Front(try%s.Fronts), prefix+job.ID, s.Key, "")
		s.W.Log("DELETE %s%s -> %d", prefix, job.ID, status)
		if status/100 == 2 || status == 410 {
			s.W.mu.Lock()
			job.Cancelled = time.Now()
			s.W.mu.Unlock()
			return true
		}
		time.Sleep(200 * time.Millisecond)
	}
	return false
}

// Leader returns the core that leads, or -1: that to which check-ins are sent.
func (s *System) Leader() int {
	for n := range s.Cores {
		_, body := s.Call("POST", s.Controls()[n], "/pinewinch/instances/i-probe/heartbeat", "", `{"service":"svc","address":"127.0.0.1:9","zone":"z1","state":"draining","slots":1,"capacity":{"cpu":1,"memMb":1,"gpus":0},"labels":["none","none"],"sequence":1}`)
		for leader := range s.Cores {
			if strings.Contains(body, s.Controls()[leader]) {
				return leader
			}
		}
	}
	return -1
}

// RSS returns the resident memory of a node's process in MB.
func (s *System) RSS(n int) int {
	if s.cmds[n] == nil {
		return 0
	}
	text, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", s.PID(n)))
	for _, line := range strings.Split(string(text), "\n") {
		if strings.HasPrefix(line, "VmRSS:") {
			var kb int
			fmt.Sscanf(strings.TrimPrefix(line, "VmRSS:"), "%d", &kb)
			return kb / 1024
		}
	}
	return 0
}
