package gateway

import (
	"testing"

	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
)

// The slack of extra requests is shared by all VMs, of which gatherers have most.
func TestSlackOfAllVMsTogetherIsTheConfiguredOne(t *testing.T) {
	const vms, gatherers, slack = 295, 9, 630
	settings := &pb.RouteSettings{ExtraLoadShare: 0.2, ExtraLoadSlack: slack, ExtraLoadWindowMs: 10000}
	small := (&compiledTable{vms: vms, gatherers: gatherers}).limits(settings).Slack
	large := (&compiledTable{vms: vms, gatherers: gatherers, gathers: true}).limits(settings).Slack
	require.InDelta(t, slack, small*(vms-gatherers)+large*gatherers, 1e-6)
	require.Greater(t, large, 30*small)
	alone := (&compiledTable{vms: vms}).limits(settings).Slack
	require.InDelta(t, slack, alone*vms, 1e-6)
}
