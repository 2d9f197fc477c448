package testkit

import (
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/standin/users"
	"github.com/carawayreel/carawayreel/platform"
)

// SmallestVMMegabytes is the memory of the smallest VMs of the users' sites.
const SmallestVMMegabytes = 184

// UsersVM is a VM process that uses the fake of the users' platform in package users.
// ProcessorCores is what the VM advertises, and SettingsPath the path of its settings file.
type UsersVM struct {
	ID, Domain                 string
	RouteAddress, ReadyAddress string
	CallerAddress, PeerAddress string
	GatherAddress              string
	ProcessorCores             float64
	SettingsPath               string
	process                    *Process
}

// UsersDeployment is a fake of the users' platform, which runs in this process, and
// the VM processes that use it.
type UsersDeployment struct {
	Store   *users.Store
	Targets map[string]*users.Target
	VMs     []*UsersVM
	dir     string
	server  *httptest.Server
	ports   *portRange
}

// StartUsersDeployment starts a deployment with an empty store and one VM in each of the
// failure domains. A failure domain that is named several times gets as many VMs.
func StartUsersDeployment(dir string, domains ...string) (*UsersDeployment, error) {
	return StartUsersDeploymentWithProcessors(dir, make([]float64, len(domains)), domains...)
}

// StartUsersDeploymentWithProcessors is StartUsersDeployment with the processor cores that
// each VM advertises.
func StartUsersDeploymentWithProcessors(dir string, cores []float64, domains ...string) (*UsersDeployment, error) {
	d := &UsersDeployment{Store: users.NewStore(), Targets: map[string]*users.Target{}, dir: dir}
	d.Store.SetEra(1)
	d.server = httptest.NewServer(d.Store)
	const addressesPerVM = 5
	ports, err := reservePorts(portsPerDeployment)
	if err != nil {
		return nil, err
	}
	d.ports = ports
	perDomain := map[string]int{}
	for i, domain := range domains {
		id := "vm-" + domain
		if perDomain[domain]++; perDomain[domain] > 1 {
			id = fmt.Sprintf("%s-%d", id, perDomain[domain])
		}
		var addresses [addressesPerVM]string
		for j := range addresses {
			addresses[j] = fmt.Sprintf("127.0.0.1:%d", ports.base+i*addressesPerVM+j)
		}
		d.VMs = append(d.VMs, &UsersVM{
			ID: id, Domain: domain, RouteAddress: addresses[0], ReadyAddress: addresses[1],
			CallerAddress: addresses[2], PeerAddress: addresses[3], GatherAddress: addresses[4],
			ProcessorCores: cores[i], SettingsPath: filepath.Join(dir, id+".ini"),
		})
	}
	for _, vm := range d.VMs {
		if err := d.WriteSettings(vm, ""); err != nil {
			return nil, err
		}
		if err := d.StartVM(vm); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// WriteSettings writes a VM's settings file and appends the extra lines.
func (d *UsersDeployment) WriteSettings(vm *UsersVM, extra string) error {
	text := fmt.Sprintf(`[vm]
id = %s
failure_domain = %s
processor_cores = %g
memory_mb = %d
[listen]
caller_address = %s
peer_address = %s
route_address = %s
ready_address = %s
gather_address = %s
[platform]
protocol = users
address = %s
[peers]
seeds = %s
[limits]
stop_timeout_ms = 6000
[log]
decision_sample = 1
%s
`, vm.ID, vm.Domain, vm.ProcessorCores, SmallestVMMegabytes, vm.CallerAddress, vm.PeerAddress, vm.RouteAddress, vm.ReadyAddress, vm.GatherAddress,
		strings.TrimPrefix(d.server.URL, "http://"), d.VMs[0].PeerAddress, extra)
	return errors.Wrap(os.WriteFile(vm.SettingsPath, []byte(text), 0o600), "write settings file")
}

// StartVM starts the VM's process, or restarts it after it has ended.
func (d *UsersDeployment) StartVM(vm *UsersVM) error {
	process, err := startProcess(d.dir, vm.ID, daemonBinary, "run", vm.SettingsPath)
	vm.process = process
	return err
}

// Process returns the VM's process.
func (vm *UsersVM) Process() *Process { return vm.process }

// AddTarget starts a target and registers it as ready.
func (d *UsersDeployment) AddTarget(id, service, domain string, records []byte) *users.Target {
	return d.AddTargetVersion(id, service, domain, "v1", records)
}

// AddTargetVersion is AddTarget with the version of the target's software.
func (d *UsersDeployment) AddTargetVersion(id, service, domain, version string, records []byte) *users.Target {
	target := users.NewTarget(id, service, domain, records)
	target.Version = version
	d.Targets[id] = target
	d.Store.Register(target, users.Ready, 1)
	return target
}

// Ready reports whether the VM's readiness endpoint returns status 200, in which
// case the load balancer would send callers to it.
func (vm *UsersVM) Ready() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + vm.ReadyAddress + platform.ReadyPath)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// AwaitReady waits until all VMs are ready.
func (d *UsersDeployment) AwaitReady(ctx context.Context) error {
	const timeout = 20 * time.Second
	return Poll(ctx, timeout, func() bool {
		for _, vm := range d.VMs {
			if !vm.Ready() {
				return false
			}
		}
		return true
	})
}

// Log returns the contents of a VM's log file, or the error of reading it.
func (d *UsersDeployment) Log(vm *UsersVM) string {
	text, err := os.ReadFile(filepath.Join(d.dir, vm.ID+".log"))
	if err != nil {
		return err.Error()
	}
	return string(text)
}

// Close kills all VM processes, closes the targets and the store, and releases the
// ports.
func (d *UsersDeployment) Close() {
	for _, vm := range d.VMs {
		if vm.process != nil {
			vm.process.Kill()
		}
	}
	for _, target := range d.Targets {
		target.Server.CloseClientConnections()
		target.Server.Close()
	}
	d.server.CloseClientConnections()
	d.server.Close()
	d.ports.release()
}
