package quota

import (
	"fmt"
	"log/slog"
	"testing"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
	"damsontrestle/internal/testpeer"
)

// newTestLimiter returns a limiter that is the only candidate and takes its time from now. It is closed at the end of the test.
func newTestLimiter(t testing.TB, terms budget.Terms, now func() time.Duration) *Limiter {
	t.Helper()
	l := New(Options{
		Budget: Budget{Terms: terms, Candidates: []Candidate{{"a", "g"}}},
		Self:   peering.GatewayID{Partner: "a", Name: "g"},
		LinkTo: func(peering.GatewayID) *peering.Link { return nil },
		Now:    now,
		Log:    slog.New(slog.DiscardHandler),
	})
	t.Cleanup(l.Close)
	return l
}

// A rejected client is advised when to retry, and a retry at that time is admitted.
func TestRetryAtAdvisedTimeIsAdmitted(t *testing.T) {
	start := time.Now()
	b := terms(20, 3, budget.Partner{Name: "a", Weight: 1, Gateways: 1})
	b.Fallback = budget.Closed
	limiter := newTestLimiter(t, b, func() time.Duration { return time.Since(start) })
	testpeer.Until(t, "the limiter is the leader", func() bool { return limiter.Status().IsLeader })
	admitted := 0
	for i := 0; admitted < 20; i++ {
		id := fmt.Sprint("c", i)
		token, retry := limiter.Draw(t.Context(), id, "")
		if token != 0 {
			continue
		}
		if retry <= 0 || retry > maxRetryAfter {
			t.Fatalf("advised to retry after %v, want more than 0 and at most %v", retry, maxRetryAfter)
		}
		if retry < maxRetryAfter {
			time.Sleep(retry)
			if token, _ = limiter.Draw(t.Context(), "again", id); token != 0 {
				admitted++
			}
		}
	}
	if s := limiter.Status(); s.OnTimeRetries == 0 {
		t.Errorf("no draw of a retry at the advised time was counted: %+v", s)
	}
}

// The token of an undone draw can be drawn once more, until its lease expires.
func TestUndoReturnsToken(t *testing.T) {
	now := time.Second
	b := Budget{Terms: terms(10, 10, budget.Partner{Name: "a", Weight: 1, Gateways: 1})}
	b.Fallback = budget.Closed
	limiter := &Limiter{
		options:     Options{Budget: b, Now: func() time.Duration { return now }},
		ctx:         t.Context(),
		wake:        make(chan struct{}, 1),
		waivedUntil: time.Hour,
		leases:      []tokenLease{{1, 2 * time.Second}, {1, 3 * time.Second}},
		available:   2,
	}
	draw := func() Token {
		token, _ := limiter.Draw(t.Context(), "x", "")
		return token
	}
	first, second := draw(), draw()
	if first == 0 || second == 0 || draw() != 0 {
		t.Fatal("two leased tokens did not allow exactly two draws")
	}
	limiter.Undo(second)
	limiter.Undo(first)
	if again := draw(); again != first {
		t.Errorf("drew the token that expires at %v, want the one that expires first", again)
	}
	now = 3 * time.Second
	if draw() != 0 {
		t.Error("a token was drawn after its lease expired")
	}
	limiter.Undo(first)
	limiter.Undo(0)
	if draw() != 0 || limiter.counts.Undone != 3 {
		t.Errorf("Undo after the lease expired made a token available or was not counted: %+v", limiter.counts)
	}
}

// BenchmarkDraw draws from a limiter that has tokens.
func BenchmarkDraw(b *testing.B) {
	t := terms(1e6, 1e6, budget.Partner{Name: "a", Weight: 1, Gateways: 1})
	start := time.Now()
	limiter := &Limiter{options: Options{Budget: Budget{Terms: t}, Now: func() time.Duration { return time.Since(start) }}, wake: make(chan struct{}, 1)}
	limiter.leases, limiter.available = []tokenLease{{1 << 60, time.Hour}}, 1<<60
	ctx := b.Context()
	b.ReportAllocs()
	b.ResetTimer()
	for range b.N {
		if t, _ := limiter.Draw(ctx, "x", ""); t == 0 {
			b.Fatal("draw rejected although tokens are available")
		}
	}
}

// A budget may change while the limiter campaigns and requests tokens: each campaign and lease request continues with the
// budget that it started with.
func TestBudgetChangesWhileTokensAreRequested(t *testing.T) {
	start := time.Now()
	b := Budget{
		Terms:      terms(1000, 100, budget.Partner{Name: "a", Weight: 1, Gateways: 1}),
		Candidates: []Candidate{{"a", "unreachable"}, {"a", "g"}, {"a", "also unreachable"}},
	}
	limiter := New(Options{
		Budget: b,
		Self:   peering.GatewayID{Partner: "a", Name: "g"},
		LinkTo: func(peering.GatewayID) *peering.Link { return nil },
		Now:    func() time.Duration { return time.Since(start) },
		Log:    slog.New(slog.DiscardHandler),
	})
	defer limiter.Close()
	for n := range 200 {
		b.Candidates = append([]Candidate(nil), b.Candidates...)
		limiter.SetBudget(b)
		limiter.Draw(t.Context(), fmt.Sprint("c", n), "")
		time.Sleep(time.Millisecond)
	}
}
