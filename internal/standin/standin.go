// Package standin provides fakes of what surrounds the system: the platform's
// key-value service and list of VMs, the targets of a profile, and relays
// between VMs that can be cut.
//
// One Standin serves all of them from one process, each target at its own
// port. Faults are switched while it runs through its administration service,
// which also returns counters of what the targets really ran.
package standin

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/gen/standin/v1/standinv1connect"
	"github.com/carawayreel/carawayreel/internal/profile"
)

// ErrListen is returned when an address cannot be listened on.
var ErrListen = errors.New("cannot listen")

// Options configures a Standin.
type Options struct {
	// Profile gives the targets and their records.
	Profile *profile.Profile
	// PlatformAddress serves the key-value service and the list of VMs.
	PlatformAddress string
	// AdminAddress serves the administration.
	AdminAddress string
	// Relays are the forwarded peer addresses.
	Relays []Relay

	// ServiceTime is the mean time of a piece of work on a warm target.
	ServiceTime time.Duration
	// SlowShare of the work takes SlowFactor times as long.
	SlowShare  float64
	SlowFactor float64
	// QueueLength bounds the work that waits for a slot of a target.
	QueueLength int
	// HeldSnapshots is the number of newest snapshots that a target holds.
	HeldSnapshots int
	// StartCold makes the targets start cold.
	StartCold bool
	// WarmRequests and WarmTime must both pass until a target is warm.
	WarmRequests int
	WarmTime     time.Duration
	// DownTime is how long a target is down after it fell over.
	DownTime time.Duration
	// ReportLag is how old the answers of health and load may be.
	ReportLag time.Duration
	// ListLag is how long the list of VMs hides a change.
	ListLag time.Duration
	// WritesPerSecond and ReadsPerSecond are the rates of the store.
	WritesPerSecond int
	ReadsPerSecond  int
	// FaultInterval is the mean time between faults drawn from the profile's
	// seed; zero for none.
	FaultInterval time.Duration
}

// DefaultOptions returns options for the profile, with the platform's rates of
// today. The addresses are left empty.
func DefaultOptions(p *profile.Profile) Options {
	return Options{
		Profile:         p,
		ServiceTime:     3 * time.Millisecond,
		SlowShare:       0.01,
		SlowFactor:      10,
		QueueLength:     2,
		HeldSnapshots:   profile.HeldVersions,
		WarmRequests:    20,
		WarmTime:        500 * time.Millisecond,
		DownTime:        2 * time.Second,
		ReportLag:       time.Second,
		ListLag:         2 * time.Second,
		WritesPerSecond: 400,
		ReadsPerSecond:  2000,
	}
}

// environment is what the targets share.
type environment struct {
	options    Options
	links      *links
	changes    *changeLog
	executions *executions
	silent     *log.Logger
	cache      sync.Map
}

// rowsKey names the rows of one partition in a snapshot version.
type rowsKey struct {
	front, service, partition string
	version                   uint64
}

// rows returns the rows of a partition; they must not be changed.
func (e *environment) rows(front, service, partition string, version uint64) []*pb.Row {
	key := rowsKey{front: front, service: service, partition: partition, version: version}
	if cached, found := e.cache.Load(key); found {
		return cached.([]*pb.Row)
	}
	rows := e.options.Profile.Rows(front, service, partition, version)
	e.cache.Store(key, rows)
	return rows
}

// Standin is a running set of fakes.
type Standin struct {
	options Options
	env     *environment
	store   *store
	vms     *vmList
	targets []*target
	relays  []*relay
	running sync.WaitGroup

	mu sync.Mutex
	// newest maps each front to its newest snapshot version.
	newest map[string]uint64
}

// New returns a Standin that listens on nothing yet.
func New(options Options) *Standin {
	env := &environment{
		options:    options,
		links:      newLinks(),
		changes:    newChangeLog(options.Profile),
		executions: newExecutions(),
		silent:     log.New(io.Discard, "", 0),
	}
	s := &Standin{
		options: options,
		env:     env,
		store:   newStore(options.WritesPerSecond, options.ReadsPerSecond),
		newest:  make(map[string]uint64),
	}
	s.vms = &vmList{store: s.store, lag: options.ListLag}
	for _, front := range options.Profile.Configuration().Fronts {
		s.addTargets(front)
	}
	for _, r := range options.Relays {
		s.relays = append(s.relays, &relay{Relay: r, links: env.links})
	}
	return s
}

func (s *Standin) addTargets(front *pb.Front) {
	s.newest[front.Name] = profile.NewestVersion
	now := time.Now()
	for _, service := range front.Services {
		for _, config := range service.Targets {
			t := newTarget(s.env, front.Name, service.Name, config)
			for _, snapshot := range front.Snapshots {
				t.hold(snapshot.Version, now)
			}
			s.targets = append(s.targets, t)
		}
	}
}

// Start listens on all addresses and serves until the context ends. It returns
// an ErrListen when an address is in use; nothing is served then.
func (s *Standin) Start(ctx context.Context) error {
	listeners := &listenerSet{}
	platform := listeners.add(s.options.PlatformAddress)
	admin := listeners.add(s.options.AdminAddress)
	targets := make([]net.Listener, len(s.targets))
	for i, t := range s.targets {
		targets[i] = listeners.add(t.config.Address)
	}
	relays := make([]net.Listener, len(s.relays))
	for i, r := range s.relays {
		relays[i] = listeners.add(r.ListenAddress)
	}
	if listeners.err != nil {
		listeners.close()
		return listeners.err
	}
	gated := &linkListener{Listener: platform, links: s.env.links, place: Platform}
	s.running.Go(func() { s.serveHTTP(ctx, gated, s.platformMux()) })
	s.running.Go(func() { s.serveHTTP(ctx, admin, s.adminMux()) })
	for i, t := range s.targets {
		running := t.startBoot(ctx)
		s.running.Go(func() { t.serve(ctx, targets[i], running) })
	}
	if s.options.FaultInterval > 0 {
		s.running.Go(func() { s.switchRandomFaults(ctx) })
	}
	for i, r := range s.relays {
		s.running.Go(func() { r.serve(ctx, relays[i]) })
	}
	return nil
}

// Wait returns when everything that Start began has ended.
func (s *Standin) Wait() {
	s.running.Wait()
}

func (s *Standin) platformMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(carawayreelv1connect.NewKeyValueServiceHandler(s.store, uncompressed()))
	mux.Handle(carawayreelv1connect.NewVmListServiceHandler(s.vms, uncompressed()))
	return mux
}

func (s *Standin) adminMux() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(standinv1connect.NewAdminServiceHandler(&adminHandler{standin: s}))
	return mux
}

func (s *Standin) serveHTTP(ctx context.Context, listener net.Listener, handler http.Handler) {
	protocols := &http.Protocols{}
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	server := &http.Server{
		Handler:           handler,
		Protocols:         protocols,
		ReadHeaderTimeout: time.Minute,
		BaseContext:       func(net.Listener) context.Context { return ctx },
		ErrorLog:          s.env.silent,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(listener)
}

// listenerSet listens on addresses until one fails.
type listenerSet struct {
	listeners []net.Listener
	err       error
}

func (l *listenerSet) add(address string) net.Listener {
	if l.err != nil {
		return nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		l.err = errors.Wrap(ErrListen, err.Error())
		return nil
	}
	l.listeners = append(l.listeners, listener)
	return listener
}

func (l *listenerSet) close() {
	for _, listener := range l.listeners {
		_ = listener.Close()
	}
}
