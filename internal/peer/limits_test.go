package peer_test

import (
	"context"
	"strings"
	"testing"

	"connectrpc.com/connect"
	"github.com/stretchr/testify/require"

	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1/carawayreelv1connect"
	"github.com/carawayreel/carawayreel/internal/peer"
	"github.com/carawayreel/carawayreel/internal/transport"
	"github.com/carawayreel/carawayreel/internal/view"
)

// holder has a configuration with a comment of the given length.
type holder struct {
	carawayreelv1connect.UnimplementedPeerServiceHandler
	commentBytes int
}

func (h holder) delta() *pb.ConfigurationDelta {
	return &pb.ConfigurationDelta{Root: &pb.ConfigurationRoot{Comment: strings.Repeat("a", h.commentBytes)}}
}

func (h holder) FetchConfiguration(context.Context, *connect.Request[pb.FetchConfigurationRequest]) (*connect.Response[pb.FetchConfigurationResponse], error) {
	return connect.NewResponse(&pb.FetchConfigurationResponse{Delta: h.delta()}), nil
}

func (h holder) OfferConfiguration(context.Context, *connect.Request[pb.OfferConfigurationRequest]) (*connect.Response[pb.OfferConfigurationResponse], error) {
	return connect.NewResponse(&pb.OfferConfigurationResponse{Revision: 1}), nil
}

func (h holder) Announce(context.Context, *connect.Request[pb.AnnounceRequest]) (*connect.Response[pb.AnnounceResponse], error) {
	return connect.NewResponse(&pb.AnnounceResponse{}), nil
}

// Guards against a configuration that is refused as other messages of its size are, and against
// a refusal for the size that can't be told from a lost call.
func TestConfigurationsHaveTheirOwnBound(t *testing.T) {
	limits := peer.Limits{ConfigurationBytes: 8 << 10, MessageBytes: 1 << 10}
	for commentBytes, want := range map[int]error{4 << 10: nil, 16 << 10: peer.ErrTooLarge} {
		h := holder{commentBytes: commentBytes}
		_, handler := carawayreelv1connect.NewPeerServiceHandler(h, limits.HandlerOption())
		server, err := transport.Listen("127.0.0.1:0", handler)
		require.NoError(t, err)
		go func() { _ = server.Serve(t.Context()) }()
		client := peer.New("self", transport.NewClient(transport.ClientOptions{}), limits)
		vm := view.VM{ID: "other", PeerAddress: server.Address()}
		_, err = client.FetchConfiguration(t.Context(), server.Address(), &pb.FetchConfigurationRequest{})
		require.ErrorIs(t, err, want)
		_, err = client.OfferConfiguration(t.Context(), server.Address(), &pb.OfferConfigurationRequest{Delta: h.delta()})
		require.ErrorIs(t, err, want)
		large := &pb.QuarantineEntry{Targets: []string{strings.Repeat("a", commentBytes)}}
		require.ErrorIs(t, client.Announce(t.Context(), vm, []*pb.QuarantineEntry{large}), peer.ErrTooLarge)
	}
}
