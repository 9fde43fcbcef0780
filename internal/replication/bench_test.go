package replication

import (
	"context"
	"fmt"
	"testing"
	"time"
)

// BenchmarkTake measures the execution of a replicated request, from Execute to its outcome, in groups connected over loopback.
// The attempt itself takes no time. "without" is the same attempt without replicas.
func BenchmarkTake(b *testing.B) {
	served := Outcome{Kind: Served, Body: make([]byte, 200)}
	run := func(ctx context.Context, _ *Record, _ []Intent, w *Work) Outcome {
		if w != nil && !w.Intend(ctx, Intent{Pool: "own", Server: "b"}) {
			return Outcome{Kind: Failed}
		}
		return served
	}
	b.Run("without", func(b *testing.B) {
		for range b.N {
			run(context.Background(), nil, nil, nil)
		}
	})
	for _, n := range []int{2, 3, 5} {
		b.Run(fmt.Sprint("group of ", n), func(b *testing.B) {
			owner := newTestGroup(b, n, run)["g0"].replicator
			body := make([]byte, 400)
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				record := Record{Key: Key{"note", fmt.Sprint(i)}, ID: fmt.Sprint(i), Method: "POST", Target: "/note/x", Body: body, TimeLeft: time.Minute}
				if outcome, err := owner.Execute(context.Background(), record, false, 0); err != nil || outcome.Kind != Served {
					b.Fatalf("Execute returned %+v, %v", outcome, err)
				}
			}
		})
	}
}
