package gateway

import (
	"context"
	"log/slog"
	"testing"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/config"
	"woodpick/internal/custody"
	"woodpick/internal/discovery"
	"woodpick/internal/dispatch"
	"woodpick/internal/engine"
	"woodpick/internal/offers"
	"woodpick/internal/standin"
)

// partner stands in for the gateways of a partner: questions about a call end as a test says, the last outcome again and again.
type partner struct {
	outcomes []engine.Outcome
	asked    int
}

func (p *partner) Run(a *engine.Attempt) engine.Outcome {
	a.Allowed()
	out := p.outcomes[min(p.asked, len(p.outcomes)-1)]
	p.asked++
	return out
}

func (*partner) Servers([]discovery.Target, bool)                          {}
func (*partner) Ask(discovery.Host, time.Duration) (busy float64, ok bool) { return 0, false }
func (*partner) LetGo(discovery.Host)                                      {}

// ask has an unsafe call resumed whose only attempt may run at the partner, so that the partner is asked what became of it.
func ask(t *testing.T, p *partner, within time.Duration) custody.Outcome {
	t.Helper()
	const name = "p1"
	class := config.Class{Name: "note", Effect: config.Unsafe, Deadline: config.Duration(standin.Limit)}
	settings := woodpick.Settings{Balancers: 1, MaxAttempts: 1, Tick: time.Millisecond, MaxRetryAfter: time.Second, ColdFrom: 1, WholeWeight: 1,
		Classes: []woodpick.Class{class.ForModule()}}
	settings.Classes[0].Worth = 1
	settings.Classes[0].Aim = standin.Limit
	c := clock.New()
	pool := config.PartnerPool(name)
	eng, err := engine.New(engine.Options{Settings: settings, Clock: c, Backend: p, Subscribe: func() {}, Pushed: true, Log: slog.New(slog.DiscardHandler)})
	if err != nil {
		t.Fatal(err)
	}
	eng.Hold(discovery.List{Full: true, Targets: []discovery.Target{{Server: woodpick.Server{ID: "p1-g0"}, Endpoint: "127.0.0.1:1"}}})
	view, err := dispatch.NewView(&config.Config{}, map[string]*engine.Engine{pool: eng})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()
	g := &Gateway{o: Options{Calls: dispatch.New(view), Clock: c, Log: slog.New(slog.DiscardHandler), Keys: map[string][]byte{name: []byte("the partners' key")}}}
	g.self.Partner, g.table = "p0", offers.NewTable(offers.Policy{Self: "p0"}, time.Now)
	g.policy.Store(&policy{partners: map[string]bool{name: true}})
	g.ctx, g.end = context.WithCancel(t.Context())
	defer g.tasks.Wait()
	defer g.end()
	over := make(chan struct{})
	go func() { defer close(over); eng.Run(g.ctx) }()
	defer func() { <-over }()
	defer g.end()
	record := custody.Record{ID: "call", Key: custody.Key{Class: "note", ID: "i:call"}, Method: "POST", Target: "/note/x"}
	earlier := []custody.Intent{{Pool: pool, Server: "p1-g0", ID: "call"}}
	return g.run(ctx, &record, engine.Request{Method: "POST", Target: "/note/x"}, class, earlier, nil)
}

// That a question about a call was refused, or met nobody, says nothing of the call: it may run, and is asked for again.
func TestARefusedQuestionIsNoRefusalOfTheCall(t *testing.T) {
	served := engine.Outcome{Ending: woodpick.Success, Reply: engine.Reply{Body: []byte("answer"), Length: 6}}
	p := &partner{outcomes: []engine.Outcome{{Ending: woodpick.Overloaded}, {Ending: woodpick.Unreachable}, {Ending: woodpick.Overloaded}, served}}
	if out := ask(t, p, standin.Limit); out.Kind != custody.Served || string(out.Body) != "answer" {
		t.Errorf("after %d questions the call came to %+v", p.asked, out)
	}
}

// Once the partner has settled that it refused the call, that is the call's answer, and no time is waited for another.
func TestASettledRefusalIsTheCallsAnswer(t *testing.T) {
	p := &partner{outcomes: []engine.Outcome{{Ending: woodpick.Overloaded, Settled: true}}}
	if out := ask(t, p, standin.Limit); out.Kind != custody.Refused || !out.NotRun || p.asked != 1 {
		t.Errorf("after %d questions the call came to %+v", p.asked, out)
	}
}

// A partner that never says what became of a call leaves it failed: it may have run.
func TestACallOfWhichNothingIsToldHasFailed(t *testing.T) {
	p := &partner{outcomes: []engine.Outcome{{Ending: woodpick.Overloaded}}}
	if out := ask(t, p, 200*time.Millisecond); out.Kind != custody.Failed {
		t.Errorf("after %d questions the call came to %+v", p.asked, out)
	}
}
