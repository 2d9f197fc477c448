// Package standin provides fakes of the system's environment: the platform's
// key-value service and VM list, the targets of a profile, and relays between
// VMs whose links can be cut.
//
// One Standin serves all of them from one process, each target on its own
// port. Its administration service injects faults at run time and returns
// counters of the work that the targets actually ran.
//
// A target is cold after a restart: it serves requests more slowly and crashes if
// it gets more of them at once than its cold limit. It becomes warm after it has
// completed some requests and some time has passed.
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

// ErrListen is returned when listening on an address fails.
var ErrListen = errors.New("cannot listen")

// Options configures a Standin.
type Options struct {
	// Profile defines the targets and their records.
	Profile *profile.Profile
	// PlatformAddress is the listen address of the key-value service and the VM list.
	PlatformAddress string
	// AdminAddress is the listen address of the administration service.
	AdminAddress string
	// Relays forward connections to the peer addresses of VMs.
	Relays []Relay

	// ServiceTime is the mean service time of a request on a warm target.
	ServiceTime time.Duration
	// SlowShare is the fraction of requests, from 0 to 1, whose service time
	// is multiplied by SlowFactor.
	SlowShare  float64
	SlowFactor float64
	// QueueLength is the maximum number of requests that wait for a slot of a
	// target; further ones are shed.
	QueueLength int
	// HeldSnapshots is the number of newest snapshots that a target holds.
	HeldSnapshots int
	// StartCold makes the targets cold on their first start, too.
	StartCold bool
	// WarmRequests is the number of requests that a cold target must complete,
	// and WarmTime the time that must pass, before it is warm. Both conditions
	// must be met.
	WarmRequests int
	WarmTime     time.Duration
	// DownTime is how long a target stays down after a crash caused by a cold
	// overload, or by a POISON fault without a duration.
	DownTime time.Duration
	// ReportLag is the maximum age of health and load reports.
	ReportLag time.Duration
	// ListLag is the delay before a change of the VM list becomes visible.
	ListLag time.Duration
	// WritesPerSecond and ReadsPerSecond are the rate limits of the store.
	WritesPerSecond int
	ReadsPerSecond  int
	// FaultInterval is the mean time between random faults, which are drawn
	// from the profile's seed; zero disables them.
	FaultInterval time.Duration
}

// DefaultOptions returns options for the profile, with the platform's current
// rate limits. The addresses are left empty.
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

// environment holds the state that all targets share.
type environment struct {
	options       Options
	links         *links
	changes       *changeLog
	executions    *executions
	discardLogger *log.Logger
	rowCache      sync.Map
}

// rowsKey is the cache key for the rows of one partition in a snapshot version.
type rowsKey struct {
	front, service, partition string
	version                   uint64
}

// rows returns the rows of a partition. The slice is cached and shared; callers
// must not modify it.
func (e *environment) rows(front, service, partition string, version uint64) []*pb.Row {
	key := rowsKey{front: front, service: service, partition: partition, version: version}
	if cached, found := e.rowCache.Load(key); found {
		return cached.([]*pb.Row)
	}
	rows := e.options.Profile.Rows(front, service, partition, version)
	e.rowCache.Store(key, rows)
	return rows
}

// Standin runs the fakes of the platform, the targets and the relays.
type Standin struct {
	options Options
	env     *environment
	store   *store
	vms     *vmList
	targets []*target
	relays  []*relay
	wg      sync.WaitGroup

	mu sync.Mutex
	// newestVersions maps each front to its newest snapshot version.
	newestVersions map[string]uint64
}

// New returns a Standin; Start makes it listen.
func New(options Options) *Standin {
	env := &environment{
		options:       options,
		links:         newLinks(),
		changes:       newChangeLog(options.Profile),
		executions:    newExecutions(),
		discardLogger: log.New(io.Discard, "", 0),
	}
	s := &Standin{
		options:        options,
		env:            env,
		store:          newStore(options.WritesPerSecond, options.ReadsPerSecond),
		newestVersions: make(map[string]uint64),
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
	s.newestVersions[front.Name] = profile.NewestVersion
	now := time.Now()
	for _, service := range front.Services {
		for _, config := range service.Targets {
			t := newTarget(s.env, front.Name, service.Name, config)
			for _, snapshot := range front.Snapshots {
				t.addSnapshot(snapshot.Version, now)
			}
			s.targets = append(s.targets, t)
		}
	}
}

// Start listens on all addresses and serves in the background until the context
// ends. If listening on any address fails, it closes the other listeners and
// returns ErrListen.
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
	platformListener := &linkListener{Listener: platform, links: s.env.links, endpoint: Platform}
	s.wg.Go(func() { s.serveHTTP(ctx, platformListener, s.platformMux()) })
	s.wg.Go(func() { s.serveHTTP(ctx, admin, s.adminMux()) })
	for i, t := range s.targets {
		b := t.startBoot(ctx)
		s.wg.Go(func() { t.serve(ctx, targets[i], b) })
	}
	if s.options.FaultInterval > 0 {
		s.wg.Go(func() { s.injectRandomFaults(ctx) })
	}
	for i, r := range s.relays {
		s.wg.Go(func() { r.serve(ctx, relays[i]) })
	}
	return nil
}

// Wait blocks until all goroutines that Start launched have ended.
func (s *Standin) Wait() {
	s.wg.Wait()
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
		ErrorLog:          s.env.discardLogger,
	}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	_ = server.Serve(listener)
}

// listenerSet opens listeners until one fails, and keeps the first error.
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
