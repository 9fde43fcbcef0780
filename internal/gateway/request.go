package gateway

import (
	"context"
	"errors"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"damsontrestle/internal/config"
	"damsontrestle/internal/dispatch"
	"damsontrestle/internal/engine"
	"damsontrestle/internal/replication"
	"damsontrestle/internal/route"
	"damsontrestle/internal/routeexchange"
)

// Words in refusals to partners' gateways.
const (
	busy = "busy" // no rule refused it
)

// Times of a request.
const (
	comeBack   = 250 * time.Millisecond // where nothing better is known
	lastWord   = 10 * time.Millisecond  // of a request's time that is left for its answer
	settling   = 20 * time.Millisecond  // of a request's time replicated that is left to have its outcome taken
	maxRoutes  = 4                      // ways that a request tries, of which all but the last refused it by their rules
	retryQuery = 20 * time.Millisecond  // after a question for what became of a request, which a partner did not answer
)

// Take implements dispatch.Guard: it takes requests of partners, and such of this partner's clients as draw from a budget, are in
// replication, or go to another partner.
func (g *Gateway) Take(v *dispatch.Snapshot, c *engine.Request, r *route.Request) bool {
	p := g.policy.Load()
	class, known := p.classes[c.Class]
	if !known { // nobody would check a partner's pass, or draw for it
		c.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Why: "this class is not known here", RetryAfter: comeBack})
		return true
	}
	rec := replication.Record{ID: c.ID, Method: c.Message.Method, Target: c.Message.Target, IdempotencyKey: c.Message.Key, ContentType: c.Message.ContentType, Body: c.Message.Body,
		Tenant: value(r.Headers, tenantHeader), Route: replication.Route{Listener: r.Listener, Host: r.Host, Path: r.Path, Draw: r.Draw}, Headers: g.headers(p, r)}
	again := value(r.Headers, retryHeader)
	var from string
	askOnly := false // a partner asks what became of it
	if r.Listener == p.listener && p.listener != "" {
		m, err := openEnvelope(r.Headers.Values(Header), g.key, c.ID, c.Message.Target)
		if err != nil {
			c.Finish(engine.Response{Kind: engine.Rejected, NotRun: true, Why: err.Error(), RetryAfter: comeBack})
			return true
		}
		rec.Tenant, rec.Path, rec.Draws = m.Tenant, m.Came, m.Draws
		rec.Offer = [2]string{m.Offer.Origin, m.Offer.Name}
		from, again, askOnly = m.From, "", m.Again
		if askOnly {
			again = c.ID
		}
	}
	isReplicated := class.Replication != nil && c.Message.Rest == nil
	if askOnly && !isReplicated {
		c.Finish(engine.Response{Kind: engine.Failed}) // nobody here remembers, and it must not be begun
		return true
	}
	if !isReplicated {
		again = ""
	}
	var draws []string
	for i := range p.budgets {
		if b := &p.budgets[i]; b.Match(c.Class, rec.Tenant) && !slices.Contains(rec.Draws, b.Name) {
			draws = append(draws, b.Name)
		}
	}
	if !isReplicated && len(draws) == 0 && len(rec.Path) == 0 {
		way, ok := g.table.Choose(callOf(&rec, class))
		if !ok || way.Own {
			return false
		}
	}
	rec.Key = replication.Key{Class: c.Class, ID: "i:" + from + ":" + c.ID}
	switch {
	case rec.IdempotencyKey != "":
		rec.Key.ID = "k:" + rec.IdempotencyKey
	case again != "":
		rec.Key.ID = "i:" + from + ":" + again
	}
	s := &flow{g: g, call: c, rec: rec, class: class, draws: draws, again: again != "" && rec.IdempotencyKey == "" || askOnly, back: value(r.Headers, backHeader), custody: isReplicated, gone: make(chan struct{})}
	c.Intercept(func(time.Duration) { s.once.Do(func() { close(s.gone) }) })
	g.tasks.Go(s.tell)
	return true
}

func value(h route.Headers, name string) string {
	if list := h.Values(name); len(list) > 0 {
		return list[0]
	}
	return ""
}

// headers are those that routes look at.
func (g *Gateway) headers(p *policy, r *route.Request) map[string][]string {
	var out map[string][]string
	for _, name := range p.headers {
		if v := r.Headers.Values(name); len(v) > 0 {
			if out == nil {
				out = map[string][]string{}
			}
			out[textproto.CanonicalMIMEHeaderKey(name)] = v
		}
	}
	return out
}

// kept are headers that were kept of a request.
type kept map[string][]string

// Values implements route.Headers.
func (k kept) Values(name string) []string { return k[name] }

func callOf(r *replication.Record, class config.Class) *routeexchange.Request {
	return &routeexchange.Request{Class: class.Name, Path: r.Route.Path, Tenant: r.Tenant, Effect: class.ForModule().Effect, Via: r.Path}
}

// flow is a request from its taking to its answer.
type flow struct {
	g       *Gateway
	call    *engine.Request
	rec     replication.Record
	class   config.Class
	draws   []string // budgets that it has to draw from
	again   bool     // its client only asks for what it asked for before
	back    string   // the id by which it was refused before, as it says
	custody bool
	once    sync.Once
	gone    chan struct{} // its client has left
}

// tell tells the story and gives the answer.
func (s *flow) tell() {
	g := s.g
	ctx, cancel := context.WithTimeout(g.ctx, max(0, g.o.Clock.Until(s.call.Deadline)-lastWord))
	defer cancel()
	if !s.custody { // else it goes on without its client, who may come back for the answer
		g.tasks.Go(func() {
			select {
			case <-s.gone:
				cancel()
			case <-ctx.Done():
			}
		})
	}
	a := s.answer(ctx)
	if a.Kind == engine.Rejected && len(s.rec.Path) > 0 && a.Why == "" && a.NotRun {
		a.Why = busy
	}
	select {
	case <-s.gone:
		a.Reply.Discard()
	default:
		s.call.Finish(a)
	}
}

// answer is the request's way: quota, replication, engine.
func (s *flow) answer(ctx context.Context) (a engine.Response) {
	g := s.g
	var drawn []func()
	defer func() {
		if a.Kind == engine.Rejected && a.NotRun {
			for _, undo := range drawn {
				undo() // nothing was begun, here or at a partner's: others may have what was drawn
			}
		}
	}()
	if s.again {
		return s.await(ctx, true)
	}
	if s.custody && s.rec.IdempotencyKey != "" && len(s.draws) > 0 && g.replicator.Holds(ctx, s.rec.Key) {
		if a, over := s.found(ctx); over {
			return a // a repeat draws nothing
		}
	}
	for _, name := range s.draws {
		p := g.limiter(name)
		if p == nil {
			continue
		}
		id := s.rec.IdempotencyKey
		if id == "" {
			id = s.rec.ID
		}
		token, retry := p.Draw(ctx, id, s.back)
		if token == 0 {
			a := rejected(retry)
			if len(s.rec.Path) > 0 {
				a.Why = "quota " + name
			}
			return a
		}
		s.rec.Draws = append(s.rec.Draws, name)
		drawn = append(drawn, func() { p.Undo(token) })
	}
	if !s.custody {
		req := s.call.Message
		return s.own(ctx, req)
	}
	s.rec.TimeLeft = g.o.Clock.Until(s.call.Deadline)
	serve := s.class.Replication.WhenAlone == config.ServeAlone
	for {
		out, err := g.replicator.Take(ctx, s.rec, serve, time.Duration(s.class.Window))
		switch {
		case err == nil:
			return settled(out)
		case errors.Is(err, replication.ErrAlone) && serve:
			req := s.call.Message
			req.Gone = nil // it goes on without its client
			return s.own(ctx, req)
		case errors.Is(err, replication.ErrAlone), errors.Is(err, replication.ErrFull), errors.Is(err, replication.ErrNoAnswer):
			return rejected(comeBack)
		}
		// Others have it in hand, or will soon: whatever they settle is this client's answer too.
		if a, over := s.found(ctx); over {
			return a
		}
	}
}

// found waits for the answer to a request whose key others have in hand. false: they refused it, and it may be begun anew.
func (s *flow) found(ctx context.Context) (engine.Response, bool) {
	out, gen, err := s.g.replicator.Await(ctx, s.rec.Key)
	if err == nil && out.Kind == replication.Rejected && s.rec.IdempotencyKey != "" && gen >= s.rec.Generation {
		s.rec.Generation = gen + 1
		return engine.Response{}, false
	}
	if err != nil {
		return engine.Response{Kind: engine.Failed}, true
	}
	return settled(out), true
}

// await brings the answer to what a client asked for before.
func (s *flow) await(ctx context.Context, mayRetry bool) engine.Response {
	out, _, err := s.g.replicator.Await(ctx, s.rec.Key)
	switch {
	case err == nil:
		return settled(out)
	case errors.Is(err, replication.ErrUnknown), errors.Is(err, replication.ErrForgotten):
		return engine.Response{Kind: engine.Failed} // it may have run, or never have come
	case mayRetry:
		return rejected(comeBack) // to ask again is harmless
	}
	return engine.Response{Kind: engine.Failed}
}

// own has a request carried out that nobody else holds.
func (s *flow) own(ctx context.Context, req engine.Message) engine.Response {
	out := s.g.run(ctx, &s.rec, req, s.class, nil, nil)
	if out.Kind == 0 {
		return engine.Response{Kind: engine.Failed}
	}
	return answerOf(out)
}
