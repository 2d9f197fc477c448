package e2e_test

import (
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/auth"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/testkit"
	"github.com/carawayreel/carawayreel/internal/transport"
)

const (
	sharedKey = "a shared key of the test"
	otherKey  = "another key of sixteen bytes"
)

func authenticatedClient(t *testing.T, secret string, role auth.Role) *http.Client {
	t.Helper()
	key, err := auth.NewKey([]byte(secret))
	require.NoError(t, err)
	return transport.NewClient(transport.ClientOptions{Key: key, Identity: auth.Identity{Subject: "test", Role: role}})
}

// Access is limited by role: callers, operators and peers. Requests with a wrong
// key, malformed messages and old revisions are rejected and change nothing; a
// wrong key is also logged.
func TestWrongKeysAndOldRevisionsAreRejected(t *testing.T) {
	d := start(t, testkit.Options{Profile: "demo", VMsPerDomain: 1, Key: sharedKey})
	vm := d.VMs[0]
	require.Equal(t, pb.Outcome_OUTCOME_SUCCESS, search(t, vm, "archive", prefix("name", "V")).Outcome)

	t.Run("a caller may search but not operate", func(t *testing.T) {
		client := authenticatedClient(t, sharedKey, auth.RoleCaller)
		caller := carawayreelv1connect.NewCallerServiceClient(client, "http://"+vm.CallerAddress)
		_, err := caller.IssueToken(t.Context(), connect.NewRequest(&pb.IssueTokenRequest{}))
		require.NoError(t, err)
		admin := carawayreelv1connect.NewAdminServiceClient(client, "http://"+vm.CallerAddress)
		_, err = admin.SetServingState(t.Context(), connect.NewRequest(&pb.SetServingStateRequest{
			FailureDomain: "a", State: pb.ServingState_SERVING_STATE_TAKEN_OUT,
		}))
		require.Equal(t, connect.CodePermissionDenied, connect.CodeOf(err))
	})

	t.Run("an operator is no peer, and a wrong key is nobody", func(t *testing.T) {
		offer := connect.NewRequest(&pb.OfferConfigurationRequest{Delta: &pb.ConfigurationDelta{Revision: 99}})
		operator := carawayreelv1connect.NewPeerServiceClient(authenticatedClient(t, sharedKey, auth.RoleOperator), "http://"+vm.PeerAddress)
		_, err := operator.OfferConfiguration(t.Context(), offer)
		require.Equal(t, connect.CodePermissionDenied, connect.CodeOf(err))
		untrusted := carawayreelv1connect.NewPeerServiceClient(authenticatedClient(t, otherKey, auth.RolePeer), "http://"+vm.PeerAddress)
		_, err = untrusted.OfferConfiguration(t.Context(), offer)
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err))
	})

	t.Run("an old revision is not applied again", func(t *testing.T) {
		first, err := vm.Admin.GetConfiguration(t.Context(), connect.NewRequest(&pb.GetConfigurationRequest{}))
		require.NoError(t, err)
		accepted := apply(t, vm, rowLimitChange(t, vm, 77))
		require.Equal(t, pb.ApplyStatus_APPLY_STATUS_ACCEPTED, accepted.Status)
		_, err = vm.Admin.PushConfiguration(t.Context(), connect.NewRequest(&pb.PushConfigurationRequest{Configuration: first.Msg.Configuration}))
		require.Error(t, err)
		require.Equal(t, accepted.Revision, revision(t, vm))
		requireSameConfiguration(t, d)
	})

	t.Run("a malformed message is refused", func(t *testing.T) {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodPost,
			"http://"+vm.PeerAddress+carawayreelv1connect.PeerServiceOfferConfigurationProcedure, strings.NewReader("\xff\xfe"))
		require.NoError(t, err)
		request.Header.Set("Content-Type", "application/proto")
		response, err := authenticatedClient(t, sharedKey, auth.RolePeer).Do(request)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())
		require.Equal(t, http.StatusBadRequest, response.StatusCode)
		requireSameConfiguration(t, d)
	})

	t.Run("a VM with another key stays alone", func(t *testing.T) {
		untrusted := d.VMs[2]
		untrusted.Kill()
		file := filepath.Join(testDir(t), "otherkey")
		require.NoError(t, os.WriteFile(file, []byte(otherKey), 0o600))
		require.NoError(t, d.ReplaceSetting(untrusted, testkit.Setting{Section: "peers", Key: "shared_key_file", Value: file}))
		require.NoError(t, d.StartVM(untrusted))
		require.NoError(t, testkit.Poll(t.Context(), 10*time.Second, func() bool { return !seesAlive(t, vm, untrusted.ID) }))
		own, err := untrusted.Admin.GetStatus(t.Context(), connect.NewRequest(&pb.GetStatusRequest{}))
		require.Equal(t, connect.CodeUnauthenticated, connect.CodeOf(err), "%v", own)
		require.False(t, d.Ready(untrusted))
		log, err := os.ReadFile(d.LogPath(vm.ID))
		require.NoError(t, err)
		require.Contains(t, string(log), "request refused by authentication")
	})
}

// seesAlive reports whether a VM's membership state lists the peer as alive.
func seesAlive(t *testing.T, vm *testkit.VM, peer string) bool {
	t.Helper()
	status, err := vm.Admin.GetStatus(t.Context(), connect.NewRequest(&pb.GetStatusRequest{}))
	require.NoError(t, err)
	for _, member := range status.Msg.Members {
		if member.Vm == peer {
			return member.State == pb.MemberState_MEMBER_STATE_ALIVE
		}
	}
	return false
}
