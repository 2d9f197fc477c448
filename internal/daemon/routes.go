package daemon

import (
	"net/http"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/gateway"
	"github.com/carawayreel/carawayreel/internal/transport"
	users "github.com/carawayreel/carawayreel/platform"
)

const (
	// balancerTakesOut is how long the balancer may go on sending new callers
	// to a VM that is not ready: two checks a second apart, and the way there.
	balancerTakesOut = 2500 * time.Millisecond
)

// listenRoutes binds the addresses for callers of routes and for the balancer's
// check, where the settings name them.
func (d *Daemon) listenRoutes() error {
	listen := d.settings.Listen
	if listen.RouteAddress != "" {
		set := metrics.NewSet()
		metrics.RegisterSet(set)
		d.gateway = gateway.New(gateway.Options{
			Views: d.control, Dialect: users.Headers{}, Settings: d.settings, Logger: d.logger, Metrics: set,
			Targets: d.targets,
			Client:  backend.NewClient(users.Headers{}, listen.SourceAddress, set),
		})
		server, err := transport.ListenHTTP1(listen.RouteAddress, d.gateway)
		if err != nil {
			return errors.Wrap(err, "route address")
		}
		d.routes = server
	}
	if listen.ReadyAddress == "" {
		return nil
	}
	mux := http.NewServeMux()
	mux.HandleFunc(users.ReadyPath, func(w http.ResponseWriter, _ *http.Request) {
		ready, reason := d.control.Ready()
		if ready && d.gateway != nil && !d.gateway.Reaches(time.Now()) {
			ready, reason = false, "failure domains with the targets of routes are cut off"
		}
		if !ready {
			http.Error(w, reason, http.StatusServiceUnavailable)
		}
	})
	server, err := transport.ListenHTTP1(listen.ReadyAddress, mux)
	d.readiness = server
	return errors.Wrap(err, "ready address")
}

// published tells the gateway of a configuration in force.
func (d *Daemon) published() {
	if d.gateway != nil {
		d.gateway.Notify()
	}
}
