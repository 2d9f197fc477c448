package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// bounds are those of the small deployments.
const (
	drain          = 3000 * time.Millisecond
	configApply    = 3000 * time.Millisecond
	stableWindow   = 4000 * time.Millisecond
	startupTimeout = 20 * time.Second
)

// Deployment is a store, searchers and the processes of the VMs.
type Deployment struct {
	Record    *Record
	Store     *Store
	VMs       []*VM
	Searchers []*Searcher
	dir       string
	seeds     []string

	// mu is held while a process is started, so that none is after Close.
	mu     sync.Mutex
	closed bool
}

// VM is one machine with one process of the project.
type VM struct {
	Name, Zone   string
	Front, Ready string
	// StoreGate is the VM's own way to the store.
	StoreGate *Gate
	settings  string
	command   *exec.Cmd
	exited    chan struct{}
}

// Gate passes a VM's calls on to the store, or leaves them without an answer while it is cut.
type Gate struct {
	store *Store
	cut   chan struct{}
	// watches counts the watches that may wait, if it is set.
	watches atomic.Pointer[atomic.Int64]
}

var errClosed = errors.New("the case has ended")

// newDeployment starts a store. Its VMs are started by Start.
func newDeployment(record *Record) (*Deployment, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	return &Deployment{Record: record, Store: newStore(), dir: dir}, nil
}

// Close ends the processes and removes the temporary folder.
func (d *Deployment) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, vm := range d.VMs {
		vm.Kill()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}

// AddSearcher starts a searcher and registers it as ready.
func (d *Deployment) AddSearcher(id, service, zone string) (*Searcher, error) {
	s, err := newSearcher(d, id, service, zone)
	if err != nil {
		return nil, err
	}
	s.Register("ready")
	d.Searchers = append(d.Searchers, s)
	return s, nil
}

// Configure writes the operator's configuration.
func (d *Deployment) Configure(version int, routes, services []map[string]any) uint64 {
	return d.Store.Put(wire.ConfigKey, map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	})
}

// route returns a route to one service, with the times of the small deployments.
func route(name, host, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": host, "prefix": prefix, wire.RouteType: kind, "timeout_ms": 5000, wire.TargetLatency: 500,
		"priority": 2, "service": service, "max_attempts": 2,
	}
}

func service(name string) map[string]any {
	return map[string]any{
		"name": name, "health_path": "/health", "max_conns": 39, "protocol": "h1", "tls": false, "warmup_s": 3.0, "cold_per_s": 0.0,
	}
}

// freePorts returns free loopback ports. They are closed again, so that the processes can
// listen on them.
func freePorts(n int) ([]int, error) {
	var ports []int
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = l.Close() }()
		ports = append(ports, l.Addr().(*net.TCPAddr).Port)
	}
	return ports, nil
}

// startAttempts bounds the attempts to start the VMs. Another process may take a port before the
// VM listens on it.
const startAttempts = 3

// Start starts one VM in each of the zones, all at the same time, and waits until all are ready.
func (d *Deployment) Start(zones ...string) error {
	var err error
	for range startAttempts {
		if err = d.startAll(zones); err == nil {
			return nil
		}
		d.Record.Say("start failed: %v", err)
		for _, vm := range d.VMs {
			vm.Kill()
		}
		d.VMs, d.seeds = nil, nil
	}
	return err
}

func (d *Deployment) startAll(zones []string) error {
	const portsPerVM = 5
	ports, err := freePorts(portsPerVM * len(zones))
	if err != nil {
		return err
	}
	address := func(vm, i int) string { return fmt.Sprintf("127.0.0.1:%d", ports[vm*portsPerVM+i]) }
	for i := range min(len(zones), 3) {
		d.seeds = append(d.seeds, address(i, 0))
	}
	inZone := map[string]int{}
	for i, zone := range zones {
		inZone[zone]++
		vm := &VM{
			Name: fmt.Sprintf("front-%s-%d", zone, inZone[zone]), Zone: zone, Front: address(i, 1), Ready: address(i, 2),
			StoreGate: &Gate{store: d.Store, cut: make(chan struct{})},
		}
		d.VMs = append(d.VMs, vm)
		if err := d.writeSettings(vm, address(i, 0), address(i, 3), address(i, 4)); err != nil {
			return err
		}
	}
	for _, vm := range d.VMs {
		if err := d.StartVM(vm); err != nil {
			return err
		}
	}
	return d.awaitReady()
}

// writeSettings writes the VM's settings file. Its addresses are those for other VMs and the
// first two of its range of ports.
func (d *Deployment) writeSettings(vm *VM, control, first, second string) error {
	store, err := listen(vm.StoreGate)
	if err != nil {
		return err
	}
	vm.settings = filepath.Join(d.dir, vm.Name+".ini")
	return fillTemplate("deploy/vm.ini.tmpl", vm.settings, map[string]string{
		"node": vm.Name, "zone": vm.Zone, "ip": "127.0.0.1", "limits.cpu_share": "0.4",
		"limits.memory_mb": "184", "limits.max_fds": "4100",
		"port_range.0": portOf(first), "port_range.1": portOf(second),
		"listen.control": control, "listen.front": vm.Front, "listen.ready": vm.Ready,
		"platform.address": store, "seeds": strings.Join(d.seeds, ","), "bounds.grace_s": "6", "bounds.drain_ms": "3000",
		"bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "54", "bounds.budget_window_s": "10",
	})
}

func portOf(address string) string {
	_, port, _ := net.SplitHostPort(address)
	return port
}

var placeholder = regexp.MustCompile(`\{\{([#/]?)([a-z_.0-9]+)\}\}`)

// fillTemplate fills in the project's template of the settings, as the platform does. Each
// section of the template is of a value that is present.
func fillTemplate(from, to string, values map[string]string) error {
	text, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	var missing []string
	filled := placeholder.ReplaceAllFunc(text, func(found []byte) []byte {
		parts := placeholder.FindSubmatch(found)
		value, ok := values[string(parts[2])]
		if !ok {
			missing = append(missing, string(parts[2]))
		}
		if len(parts[1]) > 0 {
			return nil
		}
		return []byte(value)
	})
	if len(missing) > 0 {
		return fmt.Errorf("settings without a value: %v", missing)
	}
	return os.WriteFile(to, filled, 0o600)
}

// StartVM starts the VM's process with the command of the deploy file.
func (d *Deployment) StartVM(vm *VM) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.closed {
		return errClosed
	}
	log, err := os.OpenFile(filepath.Join(d.dir, vm.Name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/carawayreeld", "run")
	command.Stdout, command.Stderr = log, log
	command.Env = []string{"CARAWAYREEL_CONFIG=" + vm.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + d.dir, "LANG=C"}
	command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := command.Start(); err != nil {
		return err
	}
	vm.command, vm.exited = command, make(chan struct{})
	go func(exited chan struct{}) {
		_ = command.Wait()
		close(exited)
	}(vm.exited)
	d.Record.Line("%s started", vm.Name)
	return nil
}

// Signal sends a signal to the VM's process.
func (vm *VM) Signal(s syscall.Signal) {
	if vm.command != nil {
		_ = vm.command.Process.Signal(s)
	}
}

func (vm *VM) hasExited() bool {
	select {
	case <-vm.exited:
		return true
	default:
		return false
	}
}

// Kill kills the VM's process and waits for its end.
func (vm *VM) Kill() {
	if vm.command == nil {
		return
	}
	vm.Signal(syscall.SIGKILL)
	<-vm.exited
}

func (d *Deployment) awaitReady() error {
	for end := time.Now().Add(startupTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, vm := range d.VMs {
			if vm.hasExited() {
				return fmt.Errorf("%s ended", vm.Name)
			}
			if vm.IsReady() {
				ready++
			}
		}
		if ready == len(d.VMs) {
			d.Record.Say("%d VMs are ready", ready)
			return nil
		}
	}
	return errors.New("the VMs did not become ready")
}

// IsReady asks the VM as the balancer does.
func (vm *VM) IsReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + vm.Ready + wire.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// Cut leaves the VM's calls to the store without an answer from now on.
func (g *Gate) Cut() { close(g.cut) }

// ServeHTTP implements http.Handler.
func (g *Gate) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if count := g.watches.Load(); count != nil && strings.HasSuffix(r.URL.Path, "watch") && r.FormValue("wait_ms") != "0" {
		count.Add(1)
	}
	select {
	case <-g.cut:
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
		return
	default:
	}
	ctx, cancel := context.WithCancel(r.Context())
	defer cancel()
	answered := &bufferedAnswer{header: http.Header{}, status: http.StatusOK}
	done := make(chan struct{})
	go func() {
		g.store.ServeHTTP(answered, r.WithContext(ctx))
		close(done)
	}()
	select {
	case <-done:
	case <-g.cut:
		<-r.Context().Done()
		cancel()
		<-done
		return
	}
	for name, values := range answered.header {
		w.Header()[name] = values
	}
	w.WriteHeader(answered.status)
	_, _ = w.Write(answered.body.Bytes())
}

// bufferedAnswer keeps an answer until it is known whether it may pass.
type bufferedAnswer struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (a *bufferedAnswer) Header() http.Header         { return a.header }
func (a *bufferedAnswer) WriteHeader(status int)      { a.status = status }
func (a *bufferedAnswer) Write(p []byte) (int, error) { return a.body.Write(p) }
