package testkit

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	standinv1 "github.com/carawayreel/carawayreel/internal/gen/standin/v1"
	"github.com/carawayreel/carawayreel/internal/gen/standin/v1/standinv1connect"

	"connectrpc.com/connect"

	"github.com/carawayreel/carawayreel/internal/auth"
	"github.com/carawayreel/carawayreel/internal/profile"
	"github.com/carawayreel/carawayreel/internal/transport"
)

const (
	readyTimeout = 20 * time.Second
	stopTimeout  = 30 * time.Second
	// portsPerDeployment exceeds the number of targets of any profile.
	portsPerDeployment = 120
)

// Setting is one key of a VM's settings file.
type Setting struct {
	Section, Key, Value string
}

// Options describes a deployment.
type Options struct {
	// Dir is the directory for settings files and logs.
	Dir string
	// Profile is the name of the profile and Seed the seed of its records; see
	// package profile.
	Profile string
	Seed    uint64
	// VMsPerDomain is the number of VMs in each failure domain.
	VMsPerDomain int
	// Settings are added to every VM's settings file.
	Settings []Setting
	// StandinArguments holds additional command-line arguments of the stand-in.
	StandinArguments []string
	// Key is the shared key of VMs and operators; empty for none.
	Key string
	// WithoutConfiguration skips loading the configuration and leaves the
	// platform's store empty.
	WithoutConfiguration bool
}

// Deployment is a stand-in and the VMs that use it. Each runs as a process.
type Deployment struct {
	Profile *profile.Profile
	Standin standinv1connect.AdminServiceClient
	VMs     []*VM

	options         Options
	ports           *portRange
	standinProcess  *Process
	platformAddress string
	http            *http.Client
}

// Start starts a deployment, loads its profile's configuration and waits until
// every VM is ready. The caller must call Close, even after an error.
func Start(ctx context.Context, options Options) (*Deployment, error) {
	d := &Deployment{options: options}
	if err := d.configureKey(); err != nil {
		return d, err
	}
	var err error
	if d.ports, err = reservePorts(portsPerDeployment); err != nil {
		return d, err
	}
	d.Profile, err = profile.New(options.Profile, d.ports.base, options.Seed)
	if err != nil {
		return d, err
	}
	if err := d.startStandin(d.ports.base); err != nil {
		return d, err
	}
	for _, vm := range d.VMs {
		if err := d.StartVM(vm); err != nil {
			return d, err
		}
	}
	if options.WithoutConfiguration {
		return d, nil
	}
	return d, d.ApplyConfiguration(ctx)
}

// configureKey writes the shared key, if there is one, to a file and makes the HTTP
// client sign requests with it as an operator.
func (d *Deployment) configureKey() error {
	client := transport.ClientOptions{Identity: auth.Identity{Subject: "testkit", Role: auth.RoleOperator}}
	if d.options.Key != "" {
		file := filepath.Join(d.options.Dir, "key")
		if err := os.WriteFile(file, []byte(d.options.Key), 0o600); err != nil {
			return errors.Wrap(err, "write key file")
		}
		key, err := auth.LoadKey(file)
		if err != nil {
			return err
		}
		client.Key = key
		d.options.Settings = append(d.options.Settings, Setting{"peers", "shared_key_file", file})
	}
	d.http = transport.NewClient(client)
	return nil
}

// startStandin assigns addresses, writes the settings of the VMs, starts the
// stand-in and registers the VMs with it.
func (d *Deployment) startStandin(basePort int) error {
	const standinAddresses, addressesPerVM = 2, 3
	domains := profile.Domains()
	addresses, err := FreeAddresses(standinAddresses + addressesPerVM*len(domains)*d.options.VMsPerDomain)
	if err != nil {
		return err
	}
	d.platformAddress = addresses[0]
	arguments := []string{
		"--profile", d.options.Profile, "--seed", fmt.Sprint(d.options.Seed),
		"--base-port", fmt.Sprint(basePort), "--listen", addresses[0], "--admin", addresses[1],
	}
	for i := range len(domains) * d.options.VMsPerDomain {
		domain := domains[i%len(domains)]
		vm := d.newVM(fmt.Sprintf("vm-%s-%d", domain, i/len(domains)+1), domain, addresses[standinAddresses+addressesPerVM*i:])
		d.VMs = append(d.VMs, vm)
		arguments = append(arguments, "--relay", domain+"="+vm.RelayAddress+"="+vm.PeerAddress)
	}
	for _, vm := range d.VMs {
		if err := d.writeSettings(vm, d.options.Settings); err != nil {
			return err
		}
	}
	d.standinProcess, err = startProcess(d.options.Dir, "standin", standinBinary, append(arguments, d.options.StandinArguments...)...)
	if err != nil {
		return err
	}
	d.Standin = standinv1connect.NewAdminServiceClient(d.http, "http://"+addresses[1])
	return d.registerVMs()
}

func (d *Deployment) newVM(id, domain string, addresses []string) *VM {
	return &VM{
		ID:            id,
		FailureDomain: domain,
		CallerAddress: addresses[0],
		PeerAddress:   addresses[1],
		RelayAddress:  addresses[2],
		Caller:        carawayreelv1connect.NewCallerServiceClient(d.http, "http://"+addresses[0]),
		Admin:         carawayreelv1connect.NewAdminServiceClient(d.http, "http://"+addresses[0]),
	}
}

func (d *Deployment) writeSettings(vm *VM, extra []Setting) error {
	settings := append([]Setting{
		{"vm", "id", vm.ID},
		{"vm", "failure_domain", vm.FailureDomain},
		{"listen", "caller_address", vm.CallerAddress},
		{"listen", "peer_address", vm.PeerAddress},
		{"listen", "advertised_peer_address", vm.RelayAddress},
		{"listen", "source_address", profile.SourceAddress(vm.FailureDomain)},
		{"platform", "address", d.platformAddress},
		{"peers", "seeds", d.seeds()},
	}, extra...)
	sections := map[string][]string{}
	var order []string
	for _, s := range settings {
		if _, ok := sections[s.Section]; !ok {
			order = append(order, s.Section)
		}
		sections[s.Section] = append(sections[s.Section], s.Key+" = "+s.Value)
	}
	var text strings.Builder
	for _, section := range order {
		fmt.Fprintf(&text, "[%s]\n%s\n", section, strings.Join(sections[section], "\n"))
	}
	vm.settingsPath = filepath.Join(d.options.Dir, vm.ID+".ini")
	return errors.Wrap(os.WriteFile(vm.settingsPath, []byte(text.String()), 0o600), "write settings file")
}

// seeds returns the advertised peer addresses of all VMs, separated by commas.
func (d *Deployment) seeds() string {
	addresses := make([]string, len(d.VMs))
	for i, vm := range d.VMs {
		addresses[i] = vm.RelayAddress
	}
	return strings.Join(addresses, ",")
}

// registerVMs writes the platform's VM list, retrying until the stand-in responds.
func (d *Deployment) registerVMs() error {
	request := &standinv1.SetVmsRequest{}
	for _, vm := range d.VMs {
		request.Vms = append(request.Vms, &pb.ListedVm{
			Vm: vm.ID, FailureDomain: vm.FailureDomain, PeerAddress: vm.RelayAddress,
			State: pb.VmState_VM_STATE_LIVE,
		})
	}
	return Poll(context.Background(), readyTimeout, func() bool {
		_, err := d.Standin.SetVms(context.Background(), connect.NewRequest(request))
		return err == nil
	})
}

// ApplyConfiguration applies the profile's configuration and waits until every running VM is
// ready. A conflicting configuration in the store counts as applied.
func (d *Deployment) ApplyConfiguration(ctx context.Context) error {
	request := &pb.ApplyConfigurationRequest{Configuration: d.Profile.Configuration()}
	var last *pb.ApplyConfigurationResponse
	err := Poll(ctx, readyTimeout, func() bool {
		response, err := d.VMs[0].Admin.ApplyConfiguration(ctx, connect.NewRequest(request))
		if err != nil {
			return false
		}
		last = response.Msg
		return last.Status == pb.ApplyStatus_APPLY_STATUS_ACCEPTED || last.Status == pb.ApplyStatus_APPLY_STATUS_CONFLICT
	})
	if err != nil {
		return errors.Wrapf(err, "load configuration: %v", last)
	}
	return d.AwaitReady(ctx)
}

// AwaitReady waits until every running VM is ready.
func (d *Deployment) AwaitReady(ctx context.Context) error {
	for _, vm := range d.VMs {
		if vm.process == nil || vm.process.Ended() {
			continue
		}
		if err := Poll(ctx, readyTimeout, func() bool { return d.Ready(vm) }); err != nil {
			return errors.Wrapf(err, "%s is not ready", vm.ID)
		}
	}
	return nil
}

// Ready reports whether the VM's readiness endpoint returns status 200 within a
// second.
func (d *Deployment) Ready(vm *VM) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+vm.CallerAddress+"/readyz", nil)
	if err != nil {
		return false
	}
	response, err := d.http.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// ReplaceSetting rewrites the VM's settings file with another value for a key. The
// value takes effect at the VM's next start.
func (d *Deployment) ReplaceSetting(vm *VM, replacement Setting) error {
	settings := make([]Setting, 0, len(d.options.Settings)+1)
	for _, s := range d.options.Settings {
		if s.Section != replacement.Section || s.Key != replacement.Key {
			settings = append(settings, s)
		}
	}
	return d.writeSettings(vm, append(settings, replacement))
}

// StartVM starts a VM's process, or restarts it after it has ended.
func (d *Deployment) StartVM(vm *VM) error {
	process, err := startProcess(d.options.Dir, vm.ID, daemonBinary, "run", vm.settingsPath)
	vm.process = process
	return err
}

// LogPath returns the path of the log file of a process: the ID of a VM, or "standin".
func (d *Deployment) LogPath(name string) string {
	return filepath.Join(d.options.Dir, name+".log")
}

// InDomain returns the VMs of a failure domain.
func (d *Deployment) InDomain(failureDomain string) []*VM {
	var vms []*VM
	for _, vm := range d.VMs {
		if vm.FailureDomain == failureDomain {
			vms = append(vms, vm)
		}
	}
	return vms
}

// Fault injects a fault into the selected targets.
func (d *Deployment) Fault(ctx context.Context, selector *standinv1.Selector, fault *standinv1.Fault) error {
	request := &standinv1.SetFaultRequest{Selector: selector, Fault: fault}
	recordEvent(d.options.Dir, "fault of targets: %v", request)
	_, err := d.Standin.SetFault(ctx, connect.NewRequest(request))
	return errors.Wrap(err, "set fault")
}

// StoreFault replaces the faults of the platform's store.
func (d *Deployment) StoreFault(ctx context.Context, request *standinv1.SetStoreFaultRequest) error {
	recordEvent(d.options.Dir, "fault of the store: %v", request)
	_, err := d.Standin.SetStoreFault(ctx, connect.NewRequest(request))
	return errors.Wrap(err, "set store fault")
}

// SetLink cuts the link between two failure domains, or between a failure domain and
// the platform. It heals the link if cut is false.
func (d *Deployment) SetLink(ctx context.Context, first, second string, cut bool) error {
	request := &standinv1.SetLinkRequest{First: first, Second: second, Cut: cut}
	recordEvent(d.options.Dir, "link: %v", request)
	_, err := d.Standin.SetLink(ctx, connect.NewRequest(request))
	return errors.Wrap(err, "set link")
}

// Counters returns the counters of the selected targets, the store and the relays.
func (d *Deployment) Counters(ctx context.Context, selector *standinv1.Selector) (*standinv1.GetCountersResponse, error) {
	response, err := d.Standin.GetCounters(ctx, connect.NewRequest(&standinv1.GetCountersRequest{Selector: selector}))
	if err != nil {
		return nil, errors.Wrap(err, "get counters")
	}
	return response.Msg, nil
}

// Close kills every process that is still running and releases the ports.
func (d *Deployment) Close() {
	for _, vm := range d.VMs {
		if vm.process != nil {
			vm.process.Kill()
		}
	}
	if d.standinProcess != nil {
		d.standinProcess.Kill()
	}
	d.ports.release()
}
