package daemon

import (
	"cmp"
	"context"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/control"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/rollout"
	"github.com/carawayreel/carawayreel/internal/view"
)

const (
	// rolloutStepInterval is the interval between two steps of the deciders: a fifth of the
	// window whose replies they compare.
	rolloutStepInterval = 100 * time.Millisecond
	// readBackInterval is the minimum time between two reads of a status after a write whose
	// answer was lost, so that a store in trouble gets few calls.
	readBackInterval = 300 * time.Millisecond
	// failureLogInterval is the minimum time between two log lines of failed calls for an
	// order, as a store that is down fails several a second.
	failureLogInterval = 5 * time.Second
)

// rolloutStore reads and writes the status of orders. Errors of a write leave open whether it
// took effect.
type rolloutStore interface {
	WriteRolloutStatus(ctx context.Context, status *pb.Rollout) (stored *pb.Rollout, written bool, err error)
	ReadRolloutStatus(ctx context.Context, service string) (*pb.Rollout, error)
}

// rolloutControl is the part of the control role that deciders use.
type rolloutControl interface {
	view.Source
	WatchesStore() bool
}

// rolloutRunner runs the deciders of this VM: one for each order while the VM watches the
// store. One goroutine uses them.
type rolloutRunner struct {
	control  rolloutControl
	store    rolloutStore
	board    *rollout.Board
	watchers int
	logger   zerolog.Logger
	deciders map[string]*runningDecider
	results  chan rolloutResult
}

// runningDecider is a decider with its call to the store.
type runningDecider struct {
	*rollout.Decider
	calling bool
	readAt  time.Time
	// failureLoggedAt is when a failed call was last logged.
	failureLoggedAt time.Time
}

// rolloutResult is the result of a call to the store.
type rolloutResult struct {
	decider *runningDecider
	service string
	stored  *pb.Rollout
	written bool
	wrote   rollout.Status
	err     error
}

func newRolloutRunner(d *Daemon) *rolloutRunner {
	return &rolloutRunner{
		control: d.control, store: d.rolloutStore, board: d.rollouts,
		watchers: int(d.settings.Platform.WatchersPerFailureDomain), logger: d.logger,
		deciders: map[string]*runningDecider{}, results: make(chan rolloutResult),
	}
}

// Serve runs the deciders until the context ends.
func (r *rolloutRunner) Serve(ctx context.Context) error {
	ticker := time.NewTicker(rolloutStepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case result := <-r.results:
			r.ended(result, time.Now())
		case <-ticker.C:
			r.step(ctx, time.Now())
		}
	}
}

// step lets the decider of each running order decide.
func (r *rolloutRunner) step(ctx context.Context, now time.Time) {
	current := r.control.Current()
	rollouts := current.Configuration.GetRollouts()
	if len(rollouts) == 0 && len(r.deciders) == 0 {
		return
	}
	ordered := map[string]bool{}
	if r.control.WatchesStore() && !current.Paused && !current.Stopping {
		for _, configured := range rollouts {
			if configured.RampMs > 0 {
				ordered[configured.Service] = true
				r.stepOrder(ctx, current, configured, now)
			}
		}
	}
	for service := range r.deciders {
		if !ordered[service] {
			delete(r.deciders, service)
		}
	}
}

func (r *rolloutRunner) stepOrder(ctx context.Context, current *view.View, configured *pb.Rollout, now time.Time) {
	d := r.deciders[configured.Service]
	if d == nil || d.Order() != rollout.OrderOf(configured) {
		d = &runningDecider{Decider: rollout.NewDecider(rollout.OrderOf(configured), now)}
		r.deciders[configured.Service] = d
	}
	if evidence, ok := r.board.Evidence(configured.Service, configured.OrderRevision); ok {
		d.SeenBefore(now.Sub(evidence.SeenAt), now)
		for _, c := range evidence.Counts {
			d.Evidence(c.Origin, c.Group, c.Counts)
		}
	}
	if configured.State == pb.RolloutState_ROLLOUT_STATE_COMPLETED && configured.StatusOrderRevision != configured.OrderRevision {
		d.SetInUse()
	}
	d.SetRank(r.rank(current, configured.Service))
	d.Observe(rollout.StatusOf(configured), targetsOf(current.Configuration, configured), now)
	if d.calling {
		d.Advance(now)
		return
	}
	switch action, status := d.Next(now); action {
	case rollout.Write:
		d.calling = true
		go r.write(ctx, d, configured.Service, status)
	case rollout.ReadBack:
		if now.Sub(d.readAt) >= readBackInterval {
			d.calling, d.readAt = true, now
			go r.readBack(ctx, d, configured.Service)
		}
	case rollout.Nothing:
	}
}

func (r *rolloutRunner) write(ctx context.Context, d *runningDecider, service string, status rollout.Status) {
	stored, written, err := r.store.WriteRolloutStatus(ctx, status.Message(service))
	r.report(ctx, rolloutResult{decider: d, service: service, stored: stored, written: written, wrote: status, err: err})
}

func (r *rolloutRunner) readBack(ctx context.Context, d *runningDecider, service string) {
	stored, err := r.store.ReadRolloutStatus(ctx, service)
	r.report(ctx, rolloutResult{decider: d, service: service, stored: stored, err: err})
}

func (r *rolloutRunner) report(ctx context.Context, result rolloutResult) {
	select {
	case r.results <- result:
	case <-ctx.Done():
	}
}

// ended takes the result of a call to the store. After an error, the decider reads the status
// back.
func (r *rolloutRunner) ended(result rolloutResult, now time.Time) {
	d := result.decider
	d.calling = false
	order := d.Order()
	event := r.logger.Info()
	switch {
	case result.err == nil:
		d.Stored(rollout.StatusOf(result.stored), now)
	case now.Sub(d.failureLoggedAt) < failureLogInterval:
		return
	default:
		d.failureLoggedAt = now
		event = r.logger.Warn().Err(result.err)
	}
	event = event.Str("service", result.service).Str("version", order.Version).Uint64("order", order.Revision).
		Uint64("status", result.stored.GetStatusRevision()).Stringer("state", result.stored.GetState()).
		Float64("share", result.stored.GetShare())
	switch {
	case result.wrote.Reason == "":
		event.Msg("status of a roll-out read back")
	case result.err != nil:
		event.Str("reason", result.wrote.Reason).Msg("status of a roll-out not written, or its answer was lost")
	case !result.written:
		event.Str("reason", result.wrote.Reason).Msg("status of a roll-out not written: another VM was first")
	default:
		event.Str("reason", result.wrote.Reason).Dur("elapsed", result.wrote.Elapsed).
			Interface("evidence", result.wrote.Evidence).Interface("counts", d.Totals()).
			Msg("status of a roll-out written")
	}
}

// rank returns this VM's place among those that may decide on the service's order: the VMs
// that watch the store, in an order that all VMs derive.
func (r *rolloutRunner) rank(current *view.View, service string) int {
	domains := map[string]bool{}
	for vm := range current.VMs {
		domains[vm.FailureDomain] = true
	}
	candidates := make([]string, 0, len(domains)*r.watchers)
	for domain := range domains {
		vms := current.DomainVMs(domain)
		names := make([]string, 0, len(vms))
		for _, vm := range vms {
			names = append(names, vm.ID)
		}
		candidates = append(candidates, control.Watchers(names, r.watchers)...)
	}
	self := current.Self.ID
	if !slices.Contains(candidates, self) {
		// A standby that watches in place of others comes last.
		return len(candidates)
	}
	slices.SortFunc(candidates, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(service+"\x00"+a), xxhash.Sum64String(service+"\x00"+b)), cmp.Compare(a, b))
	})
	return slices.Index(candidates, self)
}

// targetsOf returns the numbers of targets of a service that may receive requests.
func targetsOf(c *pb.Configuration, r *pb.Rollout) rollout.Targets {
	takenOut := map[string]bool{}
	for _, domain := range c.GetFailureDomains() {
		takenOut[domain.Name] = domain.State == pb.ServingState_SERVING_STATE_TAKEN_OUT
	}
	var targets rollout.Targets
	for _, registration := range c.GetRegistrations() {
		switch {
		case registration.Service != r.Service || takenOut[registration.FailureDomain] ||
			registration.State != pb.RegistrationState_REGISTRATION_STATE_READY:
		case registration.SoftwareVersion == r.Version:
			targets.Ordered++
		case !slices.Contains(r.RefusedVersions, registration.SoftwareVersion):
			targets.Others++
			targets.OtherVersions = append(targets.OtherVersions, registration.SoftwareVersion)
		}
	}
	slices.Sort(targets.OtherVersions)
	targets.OtherVersions = slices.Compact(targets.OtherVersions)
	return targets
}
