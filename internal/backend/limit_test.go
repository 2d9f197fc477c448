package backend_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// maxAcceptedBytes bounds what a client may accept of an endless reply: the largest body
// in its least compact encoding and the socket buffers of both sides.
const maxAcceptedBytes = 48 << 20

func TestReplyWithoutEndIsCutOff(t *testing.T) {
	for name, reply := range testkit.EndlessReplies() {
		t.Run(name, func(t *testing.T) {
			s, err := testkit.StartEndlessServer(reply)
			require.NoError(t, err)
			defer s.Close()
			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()
			target := &backend.Target{ID: "t", Address: s.Address(), Connections: 1}
			_, err = newClient().Send(ctx, target, newRequest("1"), 10*time.Second)
			require.ErrorIs(t, err, backend.ErrLost)
			require.NoError(t, ctx.Err(), "the reply is cut off before its deadline")
			require.Eventually(t, func() bool { return s.ClosedByClient() == 1 }, 5*time.Second, time.Millisecond)
			require.Less(t, s.Sent(), int64(maxAcceptedBytes))
		})
	}
}

// Targets that send large bodies without end at the same time must not fill the memory.
func TestRepliesWithoutEndShareABoundOfMemory(t *testing.T) {
	s, err := testkit.StartEndlessServer(testkit.EndlessReplies()["body without length"])
	require.NoError(t, err)
	defer s.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	const targets = 20
	c := newClient()
	errs := make(chan error, targets)
	for i := range targets {
		go func() {
			target := &backend.Target{ID: strconv.Itoa(i), Address: s.Address(), Connections: 1}
			_, err := c.Send(ctx, target, newRequest("1"), 20*time.Second)
			errs <- err
		}()
	}
	for range targets {
		require.ErrorIs(t, <-errs, backend.ErrLost)
	}
	require.NoError(t, ctx.Err())
	require.Less(t, s.Sent(), int64(targets*maxAcceptedBytes/2))
}
