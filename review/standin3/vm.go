package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Paths from the root of the repository. program is the one of the deploy file.
const (
	program      = "target/carawayreeld"
	templatePath = "deploy/vm.ini.tmpl"
)

// Ports of a machine, as in the pages' example of a settings file, and of the store and the searchers. All are moved
// if another process has one of them on all addresses.
var (
	controlPort  = 8224
	frontPort    = 8226
	readyPort    = 8227
	innerPort    = 7740
	storePort    = 8229
	searcherPort = 8624
)

// portStep is by how much the ports are moved.
const portStep = 40

func movePorts() {
	for _, port := range []*int{&controlPort, &frontPort, &readyPort, &innerPort, &storePort, &searcherPort} {
		*port += portStep
	}
}

// machine is a front machine, on a loopback address of its own.
type machine struct {
	name, zone, ip string
	settings       string
	dir            string

	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
}

func (m *machine) front() string { return fmt.Sprintf("%s:%d", m.ip, frontPort) }

// values returns the fields of the platform's settings file that the template uses.
func (d *deployment) values(m *machine) map[string]string {
	return map[string]string{
		"node": m.name, "zone": m.zone, "ip": m.ip, "limits.cpu_share": "0.4",
		"port_range.0":     fmt.Sprint(innerPort),
		"port_range.1":     fmt.Sprint(innerPort + 1),
		"listen.control":   fmt.Sprintf("%s:%d", m.ip, controlPort),
		"listen.front":     m.front(),
		"listen.ready":     fmt.Sprintf("%s:%d", m.ip, readyPort),
		"platform.address": d.store.address, "seeds": strings.Join(d.seeds(), ","),
		"bounds.grace_s": "6", "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "58",
		"bounds.budget_window_s": "10", "bounds.drain_ms": "3000",
	}
}

var placeholder = regexp.MustCompile(`\{\{([#/]?)([a-z_.0-9]+)\}\}`)

// render fills in the template of the deploy file. All sections have a value.
func render(template string, values map[string]string) (string, error) {
	var missing string
	text := placeholder.ReplaceAllStringFunc(template, func(found string) string {
		parts := placeholder.FindStringSubmatch(found)
		value, ok := values[parts[2]]
		if !ok {
			missing = found
		}
		if parts[1] != "" {
			return ""
		}
		return value
	})
	if missing != "" {
		return "", fmt.Errorf("the template uses %s", missing)
	}
	return text, nil
}

func (m *machine) start() error {
	log, err := os.OpenFile(filepath.Join(m.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	process := exec.Command(program, "run")
	process.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYREEL_CONFIG=" + m.settings}
	process.Stdout, process.Stderr = log, log
	process.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := process.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	m.mu.Lock()
	m.process, m.ended = process, ended
	m.mu.Unlock()
	go func() {
		_ = process.Wait()
		close(ended)
	}()
	return nil
}

func (m *machine) signal(s syscall.Signal) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.process != nil {
		_ = m.process.Process.Signal(s)
	}
}

// kill ends the process and waits for its end.
func (m *machine) kill() {
	m.signal(syscall.SIGKILL)
	m.mu.Lock()
	ended := m.ended
	m.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (m *machine) ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s:%d%s", m.ip, readyPort, wire("ready")))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// deployment is a store, machines and searchers.
type deployment struct {
	rec       *record
	network   string
	store     *store
	machines  []*machine
	searchers []*searcher
	dir       string
	seq       int
}

// newDeployment finds a free part of the loopback network and starts the store.
func newDeployment(rec *record) (*deployment, error) {
	dir, err := os.MkdirTemp("", "review-standin3-")
	if err != nil {
		return nil, err
	}
	d := &deployment{rec: rec, dir: dir}
	for i := range 200 {
		if i > 0 && i%20 == 0 {
			movePorts()
		}
		network := fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+i)%200, 1+(os.Getpid()/200+i)%250)
		if free(network) {
			d.network = network
			break
		}
	}
	if d.network == "" {
		return nil, fmt.Errorf("no free loopback addresses")
	}
	d.store = newStore(fmt.Sprintf("%s.250:%d", d.network, storePort))
	return d, d.store.open()
}

func free(network string) bool {
	for host, ports := range map[int][]int{
		250: {storePort}, 101: {searcherPort}, 1: {controlPort, frontPort, readyPort, innerPort, innerPort + 1},
	} {
		for _, port := range ports {
			listener, err := net.Listen("tcp", fmt.Sprintf("%s.%d:%d", network, host, port))
			if err != nil {
				return false
			}
			_ = listener.Close()
		}
	}
	return true
}

func (d *deployment) seeds() []string {
	var seeds []string
	for i := range 3 {
		seeds = append(seeds, fmt.Sprintf("%s.%d:%d", d.network, i+1, controlPort))
	}
	return seeds
}

// startMachines starts one machine for each zone that is named.
func (d *deployment) startMachines(zones ...string) error {
	template, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	for i, zone := range zones {
		m := &machine{name: fmt.Sprintf("front-%s-%d", zone, i+1), zone: zone, ip: fmt.Sprintf("%s.%d", d.network, i+1), dir: d.dir}
		m.settings = filepath.Join(d.dir, m.name+".ini")
		text, err := render(string(template), d.values(m))
		if err != nil {
			return err
		}
		if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
			return err
		}
		if err := m.start(); err != nil {
			return err
		}
		d.machines = append(d.machines, m)
	}
	return nil
}

func (d *deployment) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, m := range d.machines {
			if m.ready() {
				ready++
			}
		}
		if ready == len(d.machines) {
			return nil
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("%d of %d machines are ready", ready, len(d.machines))
		case <-time.After(50 * time.Millisecond):
		}
	}
}

// addSearcher starts a searcher and registers it as ready.
func (d *deployment) addSearcher(service, zone string, work time.Duration) (*searcher, error) {
	n := len(d.searchers) + 1
	s := &searcher{
		id: fmt.Sprintf("i-%s-%d", service, n), service: service, zone: zone, work: work,
		address: fmt.Sprintf("%s.%d:%d", d.network, 100+n, searcherPort), rec: d.rec,
	}
	if err := s.open(); err != nil {
		return nil, err
	}
	d.searchers = append(d.searchers, s)
	d.report(s, "ready")
	return s, nil
}

// report writes what a searcher says of itself.
func (d *deployment) report(s *searcher, state string) {
	d.seq++
	d.store.put("servers/"+s.id, s.entry(state, d.seq))
}

// close ends all processes.
func (d *deployment) close() {
	for _, m := range d.machines {
		m.kill()
	}
	for _, s := range d.searchers {
		s.end()
	}
	d.store.close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	} else {
		fmt.Println("logs:", d.dir)
	}
}
