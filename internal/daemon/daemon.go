// Package daemon assembles the roles of one VM (control, target owner, coordinator,
// changes and gateway) into a supervised process and shuts them down in order.
package daemon

import (
	"context"
	"math"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/pkg/errors"
	"github.com/rs/zerolog"
	"github.com/thejerf/suture/v4"

	"github.com/carawayreel/carawayreel/internal/admission"
	"github.com/carawayreel/carawayreel/internal/advisory"
	"github.com/carawayreel/carawayreel/internal/allowance"
	"github.com/carawayreel/carawayreel/internal/auth"
	"github.com/carawayreel/carawayreel/internal/change"
	"github.com/carawayreel/carawayreel/internal/control"
	"github.com/carawayreel/carawayreel/internal/coordinator"
	"github.com/carawayreel/carawayreel/internal/decision"
	"github.com/carawayreel/carawayreel/internal/gateway"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/internal/owner"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/platformclient"
	"github.com/carawayreel/carawayreel/internal/quarantine"
	"github.com/carawayreel/carawayreel/internal/registry"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/server"
	"github.com/carawayreel/carawayreel/internal/settings"
	"github.com/carawayreel/carawayreel/internal/statement"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Daemon is the process of one VM.
type Daemon struct {
	settings     *pb.Settings
	logger       zerolog.Logger
	traces       traces
	quarantine   *quarantine.List
	targetHealth *health.Tracker
	advice       *advisory.Board
	admission    *admission.Controller
	allowances   *allowance.Service

	control      *control.Control
	owner        *owner.Owner
	coordinator  *coordinator.Coordinator
	changes      *change.Runner
	peers        *peer.Client
	callerServer *transport.Server
	peerServer   *transport.Server

	// members registers this VM in the store of the users' platform. It is nil
	// with the product's own platform.
	members *registry.Members
	// rollouts holds the orders in force at this VM and the evidence on them. rolloutStore is
	// where their status is written; nil with the product's own platform.
	rollouts     *rollout.Board
	rolloutStore rolloutStore
	// gateway serves routes. It is nil if the settings have no route address.
	gateway         *gateway.Gateway
	routeServer     *transport.Server
	gatherServer    *transport.Server
	readinessServer *transport.Server
}

// New builds the roles and binds the listen addresses of the settings.
func New(settings *pb.Settings, logger zerolog.Logger) (*Daemon, error) {
	d := &Daemon{settings: settings, logger: logger, traces: newTraces()}
	if err := limitMemory(settings.Vm); err != nil {
		// Without a limit the runtime collects garbage as usual.
		logger.Warn().Err(err).Msg("memory not limited")
	}
	key, err := loadKey(settings.Peers.SharedKeyFile)
	if err != nil {
		return nil, err
	}
	if err := d.openTraces(); err != nil {
		return nil, err
	}
	decisions := decision.NewLog(logger, settings.Log.DecisionSample)
	if err := d.buildRoles(key, decisions); err != nil {
		return nil, err
	}
	if err := d.listen(key, decisions); err != nil {
		return nil, err
	}
	return d, d.listenRoutes()
}

// loadKey reads the shared key. It returns nil for an empty path, which disables
// authentication.
func loadKey(path string) (*auth.Key, error) {
	if path == "" {
		return nil, nil
	}
	return auth.LoadKey(path)
}

// openTraces opens one trace file for each role that records a trace.
func (d *Daemon) openTraces() error {
	if d.settings.Log.TraceFile == "" {
		return nil
	}
	for _, file := range []*traceFile{&d.traces.control, &d.traces.owner, &d.traces.coordinator} {
		if err := file.open(d.settings.Log.TraceFile); err != nil {
			return err
		}
	}
	return nil
}

// buildRoles creates the roles and connects them. Control publishes the view that
// the other roles read. Subrequests and changes reach owners through the peer client,
// which handles calls to this VM in process.
func (d *Daemon) buildRoles(key *auth.Key, decisions *decision.Log) error {
	settings := d.settings
	self := selfVM(settings)
	client := transport.NewClient(transport.ClientOptions{
		SourceAddress: settings.Listen.SourceAddress, Key: key,
		Identity: auth.Identity{Subject: self.ID, Role: auth.RolePeer},
	})
	platformHTTP := transport.NewClient(transport.ClientOptions{
		SourceAddress: settings.Listen.SourceAddress, HTTP1: true,
	})
	store, list, source := d.newPlatform(platformHTTP)
	d.targetHealth = health.NewTracker()
	d.advice = advisory.NewBoard()
	rolloutMetrics := metrics.NewSet()
	metrics.RegisterSet(rolloutMetrics)
	d.rollouts = rollout.NewBoard(rollout.Origin{VM: self.ID, Incarnation: self.Incarnation}, d.logger, rolloutMetrics)
	d.admission = admission.New()
	d.quarantine = quarantine.New(quarantine.DefaultLimits())
	d.peers = peer.New(self.ID, client, peerLimits(settings))
	var err error
	d.control, err = control.New(control.Options{
		Settings: settings, Self: self, Store: store, Source: source, VMList: list,
		Peers: controlPeers{d.peers}, Quarantine: d.quarantine, TargetReports: d.targetHealth, TargetAdvice: d.advice, VersionEvidence: d.rollouts,
		ServicePressures: d.admission,
		OnPublish:        d.notifyGateway, Logger: d.logger, Trace: d.traces.control.writer(),
	})
	if err != nil {
		return errors.Wrap(err, "control")
	}
	metrics.RegisterSet(d.control.Metrics())
	allowanceMetrics := metrics.NewSet()
	metrics.RegisterSet(allowanceMetrics)
	d.allowances = allowance.New(allowance.Options{
		Views: d.control, Reporter: d.peers, Logger: d.logger, Metrics: allowanceMetrics,
	})
	d.owner = owner.New(owner.Options{
		Views: d.control, Limits: settings.Limits, Decisions: decisions, Logger: d.logger,
		SourceAddress: settings.Listen.SourceAddress, Quarantine: d.quarantine,
		Announcer: quarantineAnnouncer{views: d.control, peers: d.peers}, Trace: d.traces.owner.writer(),
	})
	d.peers.SetOwner(d.owner)
	d.coordinator = coordinator.New(coordinator.Options{
		Views: d.control, Dispatcher: dispatcher{d.peers}, Decisions: decisions, Limits: settings.Limits,
		Experiment: settings.Experiment, Quarantine: searchQuarantine{list: d.quarantine, views: d.control}, Logger: d.logger,
		TrialUnproven: true, Trace: d.traces.coordinator.writer(),
	})
	d.changes = change.New(change.Options{
		Views: d.control, Dispatcher: d.peers, Forwarder: d.peers,
		Claims: change.NewStoreClaims(claimStore{store}),
		Limits: settings.Limits, Decisions: decisions,
	})
	return nil
}

// newPlatform returns the clients of the platform that the settings select. The source
// is nil for the product's own platform, where control reads the configuration from the
// returned store.
func (d *Daemon) newPlatform(client *http.Client) (platformclient.Store, platformclient.VMList, control.Source) {
	configured := d.settings.Platform
	if configured.Protocol == settings.ProtocolUsers {
		store := d.newUserPlatform(client)
		return operatorManagedStore{}, store, store
	}
	timeout := time.Duration(configured.CallTimeoutMs) * time.Millisecond
	store := platformclient.NewClient(client, "http://"+configured.Address, timeout)
	return store, store, nil
}

// peerLimits returns the bounds of messages from other VMs.
func peerLimits(settings *pb.Settings) peer.Limits {
	return peer.Limits{
		ConfigurationBytes: settings.Peers.MaxConfigurationBytes, MessageBytes: settings.Limits.MaxRequestBytes,
	}
}

// selfVM describes this VM as it is advertised to the others.
func selfVM(settings *pb.Settings) view.VM {
	address := settings.Listen.AdvertisedPeerAddress
	if address == "" {
		address = settings.Listen.PeerAddress
	}
	return view.VM{
		ID:                  settings.Vm.Id,
		FailureDomain:       settings.Vm.FailureDomain,
		PeerAddress:         address,
		Incarnation:         uint64(time.Now().UnixNano()),
		State:               pb.MemberState_MEMBER_STATE_ALIVE,
		GatherPort:          gatherPort(settings.Listen.GatherAddress),
		ProcessorMillicores: uint32(math.Round(settings.Vm.ProcessorCores * millicoresPerCore)),
	}
}

// millicoresPerCore converts cores to the unit in which VMs advertise their processor.
const millicoresPerCore = 1000

// gatherPort returns the port of the address, or zero if there is none. The settings are
// checked when they are loaded.
func gatherPort(address string) uint32 {
	_, port, err := net.SplitHostPort(address)
	if err != nil {
		return 0
	}
	number, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return 0
	}
	return uint32(number)
}

// listen binds the caller and peer addresses. Connections are not served before Run.
func (d *Daemon) listen(key *auth.Key, decisions *decision.Log) error {
	middleware := auth.NewMiddleware(key, d.logger)
	admin := server.NewAdmin(server.AdminOptions{
		Control: d.control, Owner: d.owner, Peers: d.peers, Records: d.changes,
		Budget: d.coordinator, Quarantine: d.quarantine, Rollouts: d.rollouts, Decisions: decisions,
	})
	roles := server.Roles{
		Searcher: d.coordinator, Changes: d.changes, Owner: d.owner, Control: d.control,
		Quarantine: d.quarantine, Admin: admin, Allowances: d.allowances,
	}
	admin.SetExecutor(statement.New(statement.Options{
		Caller: server.NewCaller(roles), Admin: admin, Author: d.settings.Vm.Id, Now: time.Now,
	}))
	limits := d.settings.Limits
	var err error
	d.callerServer, err = transport.Listen(d.settings.Listen.CallerAddress,
		server.CallerHandler(roles, middleware, limits.MaxRequestBytes, d.logger))
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	d.peerServer, err = transport.Listen(d.settings.Listen.PeerAddress,
		server.PeerHandler(roles, middleware, peerLimits(d.settings), d.logger))
	return errors.Wrap(err, "peer address")
}

// Run serves until stop is done and then performs a planned stop. It returns nil if
// every request completed. The extra services run under the same supervisor.
func (d *Daemon) Run(stop context.Context, extra ...suture.Service) error {
	services, cancel := context.WithCancel(context.Background())
	defer cancel()
	supervisor := suture.New(d.settings.Vm.Id, suture.Spec{EventHook: d.logEvent})
	for _, service := range []suture.Service{d.control, d.callerServer, d.peerServer} {
		supervisor.Add(service)
	}
	if d.settings.Platform.Protocol != settings.ProtocolUsers {
		// On the users' platform this VM owns no targets, and the owner's frequent checks
		// of the clock would only cost processor time.
		supervisor.Add(d.owner)
	}
	if d.members != nil {
		supervisor.Add(d.members)
	}
	if d.gateway != nil {
		supervisor.Add(d.gateway)
		supervisor.Add(d.allowances)
	}
	if d.rolloutStore != nil && d.gateway != nil {
		supervisor.Add(newRolloutRunner(d))
	}
	for _, service := range extra {
		supervisor.Add(service)
	}
	for _, server := range []*transport.Server{d.routeServer, d.gatherServer, d.readinessServer} {
		if server != nil {
			supervisor.Add(server)
		}
	}
	ended := supervisor.ServeBackground(services)
	d.logger.Info().
		Str("failure_domain", d.settings.Vm.FailureDomain).
		Str("callers", d.callerServer.Address()).
		Str("peers", d.peerServer.Address()).
		Msg("serving")
	select {
	case <-stop.Done():
	case err := <-ended:
		return errors.Wrap(err, "supervisor ended")
	}
	err := d.stop()
	cancel()
	if ended := <-ended; ended != nil && !errors.Is(ended, context.Canceled) {
		d.logger.Warn().Err(ended).Msg("supervisor ended")
	}
	d.traces.close()
	return err
}

func (d *Daemon) logEvent(event suture.Event) {
	d.logger.Error().Fields(event.Map()).Msg("supervised service")
}
