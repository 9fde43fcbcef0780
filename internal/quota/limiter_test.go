package quota

import (
	"fmt"
	"io"
	"log/slog"
	"testing"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// newTestLimiter is one that is alone, its own quota leader, with a clock that the test sets.
func newTestLimiter(t testing.TB, terms budget.Terms, now func() time.Duration) *Limiter {
	l := New(Options{Budget: Budget{Terms: terms, Candidates: []Candidate{{"a", "g"}}}, Self: peering.GatewayID{Partner: "a", Name: "g"},
		To: func(peering.GatewayID) *peering.Link { return nil }, Now: now, Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	t.Cleanup(l.Close)
	return l
}

// A limiter that is its own quota leader draws what the budget allows; a refusal says when to come back, and who comes then is taken.
func TestRetryAtAdvisedTimeIsAdmitted(t *testing.T) {
	begin := time.Now()
	b := terms(20, 3, budget.Partner{Name: "a", Weight: 1, Gateways: 1})
	b.Fallback = budget.Closed
	limiter := newTestLimiter(t, b, func() time.Duration { return time.Since(begin) })
	testpeer.Until(t, "the keeper", func() bool { return limiter.Status().IsLeader })
	taken := 0
	for i := 0; taken < 20; i++ {
		id := fmt.Sprint("c", i)
		token, retry := limiter.Draw(t.Context(), id, "")
		if token != 0 {
			continue
		}
		if retry <= 0 || retry > maxRetryAfter {
			t.Fatalf("come back after %v", retry)
		}
		if retry < maxRetryAfter {
			time.Sleep(retry)
			if token, _ = limiter.Draw(t.Context(), "again", id); token != 0 {
				taken++
			}
		}
	}
	if s := limiter.Status(); s.Returning == 0 {
		t.Errorf("%+v", s)
	}
}

// A draw that is taken back is another request's, for as long as its token is good and no longer, and never twice.
func TestUndoReturnsToken(t *testing.T) {
	now := time.Second
	limiter := &Limiter{options: Options{Budget: Budget{Terms: terms(10, 10, budget.Partner{Name: "a", Weight: 1, Gateways: 1})}, Now: func() time.Duration { return now }}, wake: make(chan struct{}, 1)}
	limiter.ctx, limiter.options.Budget.Fallback, limiter.waivedUntil = t.Context(), budget.Closed, time.Hour
	limiter.leases, limiter.available = []tokenLease{{1, 2 * time.Second}, {1, 3 * time.Second}}, 2
	draw := func() Token { token, _ := limiter.Draw(t.Context(), "x", ""); return token }
	first, second := draw(), draw()
	if first == 0 || second == 0 || draw() != 0 {
		t.Fatal("two tokens are not two draws")
	}
	limiter.Undo(second)
	limiter.Undo(first)
	if again := draw(); again != first {
		t.Errorf("the token that ends first is not used first: %v", again)
	}
	now = 3 * time.Second
	if draw() != 0 {
		t.Error("a token was used after its time")
	}
	limiter.Undo(first)
	limiter.Undo(0)
	if draw() != 0 || limiter.counts.Undone != 3 {
		t.Errorf("a draw was taken back after its time: %+v", limiter.counts)
	}
}

// BenchmarkDraw draws from a limiter that has tokens.
func BenchmarkDraw(b *testing.B) {
	t := terms(1e6, 1e6, budget.Partner{Name: "a", Weight: 1, Gateways: 1})
	begin := time.Now()
	limiter := &Limiter{options: Options{Budget: Budget{Terms: t}, Now: func() time.Duration { return time.Since(begin) }}, wake: make(chan struct{}, 1)}
	limiter.leases, limiter.available = []tokenLease{{1 << 60, time.Hour}}, 1<<60
	ctx := b.Context()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if t, _ := limiter.Draw(ctx, "x", ""); t == 0 {
			b.Fatal("refused")
		}
	}
}
