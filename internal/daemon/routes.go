package daemon

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/delegation"
	"github.com/carawayreel/carawayreel/internal/gateway"
	"github.com/carawayreel/carawayreel/internal/intake"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/platform"
)

const (
	// routeDrainDelay is how long the load balancer may keep sending new callers
	// to a VM that is not ready: two checks one second apart, plus latency.
	routeDrainDelay = 2500 * time.Millisecond
	// targetDescriptorShare is the part of the VM's descriptors for connections to targets of routes.
	// Callers have half of them by default, and an eighth of that while connections are closing; the
	// rest is for VMs, the platform and operators.
	targetDescriptorShare = 0.35
)

// listenRoutes binds the addresses for routes and for the load balancer's readiness
// check, if the settings contain them.
func (d *Daemon) listenRoutes() error {
	listen := d.settings.Listen
	if listen.RouteAddress != "" {
		set := metrics.NewSet()
		metrics.RegisterSet(set)
		memory, err := memoryBytes(d.settings.Vm)
		if err != nil {
			return err
		}
		targets := backend.NewClient(platform.Headers{}, listen.SourceAddress, set, backend.MetricPrefix)
		gatherers := backend.NewClient(delegation.Dialect{Dialect: platform.Headers{}}, listen.SourceAddress, set, delegation.MetricPrefix)
		for _, client := range []*backend.Client{targets, gatherers} {
			client.FitReplies(memory)
		}
		descriptors, err := maxDescriptors(d.settings.Vm)
		if err != nil {
			return errors.Wrap(err, "descriptors of the VM")
		}
		targets.LimitConnections(int64(targetDescriptorShare * float64(descriptors)))
		d.gateway = gateway.New(gateway.Options{
			Views: d.control, Dialect: platform.Headers{}, Settings: d.settings, Logger: d.logger, Metrics: set,
			Targets: d.targetHealth, Advice: d.advice, Rollouts: d.rollouts, Admission: d.admission, Guard: quarantine.NewGuard(d.quarantine),
			Allowances: d.allowances,
			Announcer:  contentAnnouncer{views: d.control, peers: d.peers, list: d.quarantine, logger: d.logger},
			Client:     targets, Gatherers: gatherers,
		})
		gate := d.newGate(memory, descriptors, set)
		server, err := transport.ListenHTTP1(listen.RouteAddress, d.gateway, gate.Apply)
		if err != nil {
			return errors.Wrap(err, "route address")
		}
		d.routeServer = server
		if listen.GatherAddress != "" {
			// Callers of other VMs are no less hostile.
			server, err := transport.ListenHTTP1(listen.GatherAddress, d.gateway.GatherHandler(), gate.ApplyToVMs)
			if err != nil {
				return errors.Wrap(err, "gather address")
			}
			d.gatherServer = server
		}
	}
	if listen.ReadyAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := d.control.ReadyForRoutes()
		if ready && d.gateway != nil && !d.gateway.ReachesTargets(time.Now()) {
			ready, reason = false, "failure domains with the targets of routes are cut off"
		}
		if !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	server, err := transport.ListenHTTP1(listen.ReadyAddress, mux)
	d.readinessServer = server
	return errors.Wrap(err, "ready address")
}

// newGate returns the gate that bounds what callers of routes take of this VM, which has the given
// memory in bytes and descriptors.
func (d *Daemon) newGate(memory, descriptors int64, set *metrics.Set) *intake.Gate {
	d.logger.Info().Int64("memory_bytes", memory).Int64("descriptors", descriptors).Msg("bounds of callers by the VM's size")
	return intake.NewGate(intake.Options{
		Memory: memory, Descriptors: descriptors, Settings: d.settings.Intake,
		CallerLimits: d.gateway.CallerLimits, Logger: d.logger, Metrics: set,
	})
}

// notifyGateway tells the gateway that a new configuration was published.
func (d *Daemon) notifyGateway() {
	if d.gateway != nil {
		d.gateway.Notify()
	}
}
