package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// host is an entry process.
type host struct {
	name, ip     string
	front, ready int
	settings     string
	log          *os.File
	command      *exec.Cmd
	ended        chan struct{}
}

const settingsTemplate = `nodeName: %q
role: "entry"
machineClass: "frontend"
serves: ["frontend"]
ip: %q
zone: %q
region: "r"
zones: {za: "r"}
listen: {front: "%[2]s:%[4]d", ready: "%[2]s:%[5]d", control: "%[2]s:%[8]d"}
internalPorts: [%[6]d, %[7]d]
seeds: %[9]s
bootstrap: true
limits: {cpuShare: 0.4, cores: 1, memoryMb: 284, maxFds: 4100, linkMbps: 1000.0, diskMb: 0}
discovery: "platform"
entry: "vip"
heartbeatMs: 1200
bounds:
  seedLagS: 3
  reuseAfterS: 2
  contactMs: 4000
  ackMs: 5000
  catchUpS: 4
  drainMs: 2500
  graceS: 8
  lostMs: 200
  configMs: 2500
  rollbackSlackMs: 250
  outerMs: 6000
  strictRevoke: false
  revokeMs: 5000
  retryBudgetRatio: 0.2
  budgetWindowS: 10
  budgetSlack: 54
  quotaWindowS: 8
  quotaOver: 0.1
  quotaSlack: 110000
  requireFence: true
  leaseMs: 3000
  thawMs: 300
  windowS: 5
  usageOff: 0.05
  usageLateS: 10
  recoverS: 12
  passMs: 250
  retryAfterS: 9.1
platform: {address: %[10]q, form: "kv", writesPerS: 400, readsPerS: 2000, historyS: 20, valueBytes: 1048576, ttlMinMs: 1000}
cloud: {address: %[11]q, ratePerS: 50.0, duties: ["metering"], dutyPerS: 50.0}
`

// freePorts returns ports that are free at all the given addresses.
func freePorts(ips []string, count int) ([]int, error) {
	var ports []int
	var open []net.Listener
	defer func() {
		for _, l := range open {
			l.Close()
		}
	}()
	for len(ports) < count {
		first, err := net.Listen("tcp", ips[0]+":0")
		if err != nil {
			return nil, err
		}
		open = append(open, first)
		port, free := first.Addr().(*net.TCPAddr).Port, true
		for _, ip := range ips[1:] {
			l, err := net.Listen("tcp", fmt.Sprintf("%s:%d", ip, port))
			if err != nil {
				free = false
				break
			}
			open = append(open, l)
		}
		if free {
			ports = append(ports, port)
		}
	}
	return ports, nil
}

// newHosts prepares count hosts at loopback addresses of their own.
func newHosts(count int, dir, storeAddress, cloudAddress string) ([]*host, error) {
	var ips []string
	seeds := "["
	for i := range count {
		ips = append(ips, fmt.Sprintf("127.0.0.%d", i+1))
	}
	ports, err := freePorts(ips, 5)
	if err != nil {
		return nil, err
	}
	for i, ip := range ips {
		if i > 0 {
			seeds += ", "
		}
		seeds += fmt.Sprintf("\"%s:%d\"", ip, ports[4])
	}
	seeds += "]"
	var hosts []*host
	for i, ip := range ips {
		h := &host{name: fmt.Sprintf("frontend-za-%d", i+1), ip: ip, front: ports[0], ready: ports[1]}
		text := fmt.Sprintf(settingsTemplate, h.name, ip, "za", ports[0], ports[1], min(ports[2], ports[3]), max(ports[2], ports[3]), ports[4], seeds, storeAddress, cloudAddress)
		h.settings = filepath.Join(dir, h.name+".yaml")
		if err := os.WriteFile(h.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
		if h.log, err = os.Create(filepath.Join(dir, h.name+".log")); err != nil {
			return nil, err
		}
		hosts = append(hosts, h)
	}
	return hosts, nil
}

func (h *host) address() string { return fmt.Sprintf("%s:%d", h.ip, h.front) }

// start starts the process with the command of the deploy file.
func (h *host) start(run func(func() error)) error {
	h.command = exec.Command("target/dandelionlift", "entry")
	h.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "DANDELIONLIFT_NODE_FILE=" + h.settings}
	h.command.Stdout, h.command.Stderr = h.log, h.log
	if err := h.command.Start(); err != nil {
		return err
	}
	started.add(h.command.Process)
	h.ended = make(chan struct{})
	command, ended := h.command, h.ended
	run(func() error {
		defer close(ended)
		// A killed process ends with an error.
		_ = command.Wait()
		return nil
	})
	return nil
}

// signal sends a signal to the process.
func (h *host) signal(s syscall.Signal) error { return h.command.Process.Signal(s) }

// kill ends the process and waits for its end.
func (h *host) kill() {
	// An error means that it has ended.
	_ = h.command.Process.Kill()
	<-h.ended
}

// waitReady waits until the host reports itself ready.
func (h *host) waitReady(limit time.Duration) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get(fmt.Sprintf("http://%s:%d/api/ready", h.ip, h.ready))
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready after %v", h.name, limit)
}

// processes are the processes that were started.
type processes struct {
	mu   sync.Mutex
	list []*os.Process
}

var started processes

func (p *processes) add(process *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.list = append(p.list, process)
}

// kill ends all processes.
func (p *processes) kill() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, process := range p.list {
		// An error means that it has ended.
		_ = process.Kill()
	}
}
