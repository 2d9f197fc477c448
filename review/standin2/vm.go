package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// vm is one front machine: a process of the deploy file's role with the settings of its template.
type vm struct {
	name, zone                          string
	front, ready, control, port0, port1 string
	settings                            string
	command                             *exec.Cmd
	ended                               chan struct{}
}

// deployment is the front machines with the store that they use.
type deployment struct {
	root, dir string
	store     *store
	vms       []*vm
	template  string
	// extra is added to sections of the settings file, by the section's name: what the platform
	// tells a process through the operating system.
	extra map[string]string
}

func newDeployment() *deployment {
	root := os.Getenv("ROOT")
	text, err := os.ReadFile(filepath.Join(root, "deploy/vm.ini.tmpl"))
	must(err)
	dir, err := os.MkdirTemp("", "review")
	must(err)
	current = &deployment{root: root, dir: dir, store: startStore(), template: string(text), extra: map[string]string{}}
	return current
}

// nextPort is the next port to try. The ports lie below those that the system gives to connections.
var nextPort = 12000 + os.Getpid()%600*30

// freeAddress returns an address with a free port.
func freeAddress() string {
	for {
		nextPort++
		address := fmt.Sprintf("127.0.0.1:%d", nextPort)
		if listener, err := net.Listen("tcp", address); err == nil {
			_ = listener.Close()
			return address
		}
	}
}

func (d *deployment) addVM(zone string) *vm {
	v := &vm{
		name: fmt.Sprintf("front-%s-%d", zone, len(d.vms)+1), zone: zone,
		front: freeAddress(), ready: freeAddress(), control: freeAddress(), port0: freeAddress(), port1: freeAddress(),
	}
	v.settings = filepath.Join(d.dir, v.name+".ini")
	d.vms = append(d.vms, v)
	return v
}

// fill fills the template in, as far as deploy/vm.ini.tmpl uses it.
func (d *deployment) fill(v *vm) string {
	var seeds []string
	for _, other := range d.vms[:min(3, len(d.vms))] {
		seeds = append(seeds, other.control)
	}
	_, port0, _ := net.SplitHostPort(v.port0)
	_, port1, _ := net.SplitHostPort(v.port1)
	values := map[string]string{
		"node": v.name, "zone": v.zone, "limits.cpu_share": "0.4", "ip": "127.0.0.1", "port_range.0": port0, "port_range.1": port1,
		"listen.control": v.control, "listen.front": v.front, "listen.ready": v.ready, "platform.address": d.store.address,
		"seeds": strings.Join(seeds, ","), "bounds.retry_budget_ratio": "0.2", "bounds.retry_budget_slack": "54", "bounds.drain_ms": "3000",
		"bounds.grace_s": "6", "bounds.budget_window_s": "10",
	}
	section := regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	text := section.ReplaceAllStringFunc(d.template, func(match string) string {
		parts := section.FindStringSubmatch(match)
		return strings.ReplaceAll(parts[2], "{{.}}", values[parts[1]])
	})
	text = regexp.MustCompile(`\{\{([a-z0-9_.]+)\}\}`).ReplaceAllStringFunc(text, func(match string) string {
		name := strings.Trim(match, "{}")
		// A section's own value stands as {{name}} too.
		return values[name]
	})
	for name, lines := range d.extra {
		if strings.Contains(text, "["+name+"]\n") {
			text = strings.Replace(text, "["+name+"]\n", "["+name+"]\n"+lines+"\n", 1)
		} else {
			text += "\n[" + name + "]\n" + lines + "\n"
		}
	}
	return text
}

// start starts the VM's process with the command of the deploy file.
func (d *deployment) start(v *vm) {
	must(os.WriteFile(v.settings, []byte(d.fill(v)), 0o600))
	log, err := os.OpenFile(filepath.Join(d.dir, v.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	v.command = exec.Command("target/carawayreeld", "run")
	v.command.Dir = d.root
	v.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CARAWAYREEL_CONFIG=" + v.settings}
	v.command.Stdout, v.command.Stderr = log, log
	v.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(v.command.Start())
	v.ended = make(chan struct{})
	go func(c *exec.Cmd, ended chan struct{}) { _ = c.Wait(); _ = log.Close(); close(ended) }(v.command, v.ended)
}

func (d *deployment) startAll() {
	for _, v := range d.vms {
		d.start(v)
	}
}

// awaitReady waits until all VMs report that they are ready.
func (d *deployment) awaitReady(timeout time.Duration) bool {
	for _, v := range d.vms {
		if !v.awaitReady(timeout) {
			return false
		}
	}
	return true
}

func (v *vm) awaitReady(timeout time.Duration) bool {
	for deadline := time.Now().Add(timeout); !v.isReady(); time.Sleep(100 * time.Millisecond) {
		if time.Now().After(deadline) {
			return false
		}
	}
	return true
}

func (v *vm) isReady() bool {
	client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Get("http://" + v.ready + wire["ready"])
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (v *vm) signal(s syscall.Signal) { _ = v.command.Process.Signal(s) }

func (v *vm) hasEnded() bool {
	select {
	case <-v.ended:
		return true
	default:
		return false
	}
}

// memory returns the process's resident memory and its peak, in MB.
func (v *vm) memory() (now, peak int) {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", v.command.Process.Pid))
	if err != nil {
		return 0, 0
	}
	field := func(name string) int {
		for _, line := range strings.Split(string(text), "\n") {
			if strings.HasPrefix(line, name+":") {
				kilobytes, _ := strconv.Atoi(strings.Fields(line)[1])
				return kilobytes >> 10
			}
		}
		return 0
	}
	return field("VmRSS"), field("VmHWM")
}

// close ends all processes and removes the temporary folder.
func (d *deployment) close() {
	for _, v := range d.vms {
		if v.command != nil && !v.hasEnded() {
			v.signal(syscall.SIGKILL)
			<-v.ended
		}
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(d.dir)
	}
}
