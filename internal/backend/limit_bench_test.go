package backend_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/testkit"
)

// BenchmarkEndlessReply measures the processor time until an endless reply is cut off. It
// includes that of the server, which runs in the same process.
func BenchmarkEndlessReply(b *testing.B) {
	for name, reply := range testkit.EndlessReplies() {
		b.Run(name, func(b *testing.B) {
			s, err := testkit.StartEndlessServer(reply)
			require.NoError(b, err)
			defer s.Close()
			client, target := newClient(), &backend.Target{ID: "t", Address: s.Address(), Connections: 1}
			before := processorTime(b)
			for b.Loop() {
				_, err := client.Send(context.Background(), target, newRequest("1"), time.Minute)
				require.ErrorIs(b, err, backend.ErrLost)
			}
			used := processorTime(b) - before
			b.ReportMetric(float64(used.Microseconds())/float64(b.N)/1000, "cpu-ms/op")
		})
	}
}

// processorTime returns the processor time that this process has used.
func processorTime(tb testing.TB) time.Duration {
	tb.Helper()
	var usage unix.Rusage
	require.NoError(tb, unix.Getrusage(unix.RUSAGE_SELF, &usage))
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
