package balancer

import (
	"context"
	"testing"
	"time"

	"go.uber.org/zap"

	"sabletally/internal/deployment"
	"sabletally/internal/discovery"
	"sabletally/internal/lab/bench"
	"sabletally/policy"
)

// BenchmarkSetup measures the cost of a session, from its client's dial to its end, with 64 sessions at a time and the balancer, clients and
// servers in one process. `testbed throughput` measures the maximum rate of sessions.
func BenchmarkSetup(b *testing.B) {
	var known discovery.List
	for i := range 8 {
		s, err := bench.NewServer()
		if err != nil {
			b.Fatal(err)
		}
		defer s.Close()
		known.Endpoints = append(known.Endpoints, discovery.Endpoint{UID: string(rune('a' + i)), Address: s.Addr(), Weight: 1})
	}
	known.Complete = true
	dep := &deployment.Settings{
		Policy: &policy.Config{Balancers: 1, MaxAttempts: 4, OverloadMultiple: 3, OverloadWindow: time.Second, SlowStartFloor: 1, SlowStartWindow: time.Second,
			Classes: []policy.Class{{SetupObjective: 10 * time.Second, PriorityWeight: 1}}},
		Classes: map[string]int{"feed": 0}, Deadlines: []time.Duration{time.Minute},
	}
	l, err := New(zap.NewNop(), dep, 7, known, 8192)
	if err != nil {
		b.Fatal(err)
	}
	ctx, stop := context.WithCancel(context.Background())
	defer stop()
	go l.Run(ctx.Done())
	listener, err := Listen("127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	serve(l, listener)
	target := bench.NewTarget(listener.Addr().String())
	b.ReportAllocs()
	b.ResetTimer()
	if s := bench.SetupBatch(target, 64, b.N); s.Failed > 0 {
		b.Fatalf("%d sessions failed", s.Failed)
	}
}
