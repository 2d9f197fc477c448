package allowance_test

import (
	"context"
	"testing"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/allowance"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/organisation"
	"github.com/carawayreel/carawayreel/internal/view"
)

type fixedView struct{ *view.View }

func (v fixedView) Current() *view.View { return v.View }

// reporters hands reports to the service of the VM.
type reporters map[string]*allowance.Service

func (r reporters) ReportUsage(_ context.Context, vm view.VM, report *pb.ReportUsageRequest) (*pb.ReportUsageResponse, error) {
	return r[vm.ID].ReportUsage(report), nil
}

// The runtime must take members and organisations from the view and carry reports and answers, or
// every VM would fall back on an equal share.
func TestServicesReportToTheAccountant(t *testing.T) {
	const rate = 1000
	routes := &pb.RouteTable{Version: 1, Organisations: []*pb.Organisation{{Name: "org", RequestsPerS: rate, Burst: rate}}}
	vms := []view.VM{
		{ID: "a", State: pb.MemberState_MEMBER_STATE_ALIVE, Incarnation: 1}, {ID: "b", State: pb.MemberState_MEMBER_STATE_ALIVE, Incarnation: 1},
	}
	services := reporters{}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	for _, vm := range vms {
		current := view.Build(view.Input{Self: vm, VMs: vms, Configuration: &pb.Configuration{RouteTable: routes}}, nil)
		services[vm.ID] = allowance.New(allowance.Options{
			Views: fixedView{current}, Reporter: services, Logger: zerolog.Nop(), Metrics: metrics.NewSet(),
		})
	}
	for _, service := range services {
		go func() { _ = service.Serve(ctx) }()
	}
	o := &organisation.Organisation{Name: "org", RequestsPerSecond: rate, Burst: rate}
	for _, service := range services {
		require.Eventually(t, func() bool {
			basis := service.Admit(o, time.Now()).Basis
			return basis == allowance.Free || basis == allowance.Granted
		}, time.Minute, 10*time.Millisecond)
	}
}
