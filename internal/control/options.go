package control

import (
	"context"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/configstore"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/platformclient"
	"github.com/carawayreel/carawayreel/internal/view"
)

// Causes of errors from Peers.
var (
	// ErrDenied means that the other VM rejected this VM's authentication.
	ErrDenied = errors.New("authentication refused")
	// ErrTooLarge means that a message exceeds the bound of messages between VMs.
	ErrTooLarge = errors.New("message too large")
)

// Peers makes calls to other VMs. Implementations must be safe for concurrent use.
type Peers interface {
	Heartbeat(ctx context.Context, address string, r *pb.HeartbeatRequest) (*pb.HeartbeatResponse, error)
	FetchConfiguration(ctx context.Context, address string, r *pb.FetchConfigurationRequest) (*pb.FetchConfigurationResponse, error)
	OfferConfiguration(ctx context.Context, address string, r *pb.OfferConfigurationRequest) (*pb.OfferConfigurationResponse, error)
}

// Quarantine exchanges quarantine entries for request contents with other VMs. Implementations must be safe
// for concurrent use.
type Quarantine interface {
	// Updates returns the entries to send to other VMs.
	Updates(now time.Time) []*pb.QuarantineEntry
	Merge(entries []*pb.QuarantineEntry, now time.Time)
}

// Source is where configurations are read from. Implementations must be safe for concurrent use.
type Source interface {
	// Watch waits until the version of the configuration exceeds after, or until wait has elapsed. known is
	// the configuration in force, from which an implementation can take the parts that did not change.
	Watch(ctx context.Context, after uint64, wait time.Duration, known *pb.Configuration) (configstore.WatchResult, error)
}

// TargetAdvice exchanges what targets ask of their callers with the other VMs. The data passes through control only
// and does not affect its decisions.
type TargetAdvice interface {
	// Updates returns the advice to send in heartbeats.
	Updates(now time.Time) []*pb.TargetAdvice
	Merge(advice []*pb.TargetAdvice, now time.Time)
}

// ServicePressures exchanges the pressure of services with the other VMs. Implementations must be safe for
// concurrent use.
type ServicePressures interface {
	// Updates returns this VM's pressures to send in heartbeats.
	Updates(now time.Time) []*pb.ServicePressure
	Merge(from string, pressures []*pb.ServicePressure, now time.Time)
}

// TargetReports exchanges reports of slow and failing targets with the other VMs of the failure domain, which use
// the same targets. Implementations must be safe for concurrent use.
type TargetReports interface {
	// Updates returns the reports to send to other VMs.
	Updates(now time.Time) []*pb.TargetReport
	Merge(from string, reports []*pb.TargetReport, now time.Time)
}

// Options configures a Control.
type Options struct {
	Settings *pb.Settings
	// Self is this VM. Its incarnation must be higher than that of any earlier process with the same VM
	// name.
	Self  view.VM
	Store platformclient.Store
	// Source is where configurations are read from. If nil, they are read from Store, to which Apply and
	// SetServingState write.
	Source        Source
	VMList        platformclient.VMList
	Peers         Peers
	Quarantine    Quarantine    // may be nil
	TargetReports TargetReports // may be nil
	TargetAdvice  TargetAdvice  // may be nil
	// VersionEvidence may be nil.
	VersionEvidence VersionEvidence
	// ServicePressures may be nil.
	ServicePressures ServicePressures
	// OnPublish is called after a configuration was put in force. It must not block. May be nil.
	OnPublish func()
	Logger    zerolog.Logger
	// Trace receives events and decisions as JSON lines for replay. May be nil.
	Trace io.Writer
}
