package gateway_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/VictoriaMetrics/metrics"
	"github.com/rs/zerolog"

	"github.com/carawayreel/carawayreel/internal/backend"
	"github.com/carawayreel/carawayreel/internal/gateway"
	pb "github.com/carawayreel/carawayreel/internal/gen/carawayreel/v1"
	"github.com/carawayreel/carawayreel/internal/health"
	"github.com/carawayreel/carawayreel/platform"
)

// rawTarget starts a target that replies to each request with a 400-byte body, at
// minimal CPU cost, and returns its address.
func rawTarget(b *testing.B, id int) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	b.Cleanup(func() { _ = listener.Close() })
	reply := fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nX-Attempt-Id: bench\r\nX-Server-Seal: 3e1b.07.5a2.600.0.%08x\r\n"+
		"Keep-Alive: timeout=5\r\nContent-Type: application/octet-stream\r\nContent-Length: 400\r\n\r\n", id)
	reply = append(reply, make([]byte, 400)...)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				for {
					line, err := reader.ReadSlice('\n')
					if err != nil {
						return
					}
					if len(line) == 2 {
						_, _ = conn.Write(reply)
					}
				}
			}()
		}
	}()
	return listener.Addr().String()
}

// BenchmarkGather measures a request of a gathering route with as many shards as on a
// large deployment, including the targets' work.
func BenchmarkGather(b *testing.B) {
	const shards = 54
	c := &pb.Configuration{Revision: 1, RouteTable: &pb.RouteTable{Version: 1}}
	route := &pb.Route{Name: "g", Host: "h", Prefix: "/g/", Idempotent: true, TimeLimitMs: 800, LatencyGoalMs: 300, MaxTargets: 2, RowLimit: 20, LeastCoverage: 0.9}
	for i := range shards {
		service := fmt.Sprintf("s%d", i)
		route.Shards = append(route.Shards, service)
		c.Registrations = append(c.Registrations, &pb.Registration{
			Id: "t-" + service, Service: service, Address: rawTarget(b, i), FailureDomain: "a", Slots: 2,
			State: pb.RegistrationState_REGISTRATION_STATE_READY, StartedUnixMs: 1, Revision: 1,
		})
	}
	c.RouteTable.Routes = []*pb.Route{route}
	v := &views{}
	v.set(c)
	set := metrics.NewSet()
	g := gateway.New(gateway.Options{
		Views: v, Dialect: platform.Headers{}, Client: backend.NewClient(platform.Headers{}, "", set, backend.MetricPrefix),
		Targets: health.NewTracker(), Metrics: set, Logger: zerolog.Nop(),
		Settings: &pb.Settings{
			Routes: &pb.RouteSettings{ExtraLoadShare: 0.2, ExtraLoadSlack: 50, ExtraLoadWindowMs: 10000, MaxWaitingRequests: 100},
			Log:    &pb.LogSettings{LinesPerS: 100},
		},
	})
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodGet, "/g/x", http.NoBody)
		r.Host = "h"
		r.Header.Set("X-Attempt-Id", "bench")
		r.Header.Set("X-Deadline-Ms", "700")
		w := httptest.NewRecorder()
		g.ServeHTTP(w, r)
		if w.Code != http.StatusOK {
			b.Fatal(w.Code, w.Header())
		}
	}
}
