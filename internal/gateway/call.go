package gateway

import (
	"context"
	"errors"
	"net/textproto"
	"slices"
	"sync"
	"time"

	"woodpick"
	"woodpick/internal/clock"
	"woodpick/internal/config"
	"woodpick/internal/custody"
	"woodpick/internal/dispatch"
	"woodpick/internal/engine"
	"woodpick/internal/offers"
	"woodpick/internal/route"
)

// Words in refusals to partners' gateways.
const (
	busy = "busy" // no rule refused it
)

// Times of a call.
const (
	comeBack = 250 * time.Millisecond // where nothing better is known
	lastWord = 10 * time.Millisecond  // of a call's time that is left for its answer
	settling = 20 * time.Millisecond  // of a call's time in custody that is left to have its outcome taken
	mostWays = 4                      // ways that a call tries, of which all but the last refused it by their rules
	askAgain = 20 * time.Millisecond  // after a question for what became of a call, which a partner did not answer
)

// Take implements dispatch.Guard: it takes calls of partners, and such of this partner's callers as draw from a budget, are in
// custody, or go to another partner.
func (g *Gateway) Take(v *dispatch.View, c *engine.Call, r *route.Call) bool {
	p := g.policy.Load()
	class, known := p.classes[c.Class]
	if !known {
		return false
	}
	rec := custody.Record{ID: c.ID, Method: c.Request.Method, Target: c.Request.Target, Repeats: c.Request.Key, Type: c.Request.ContentType, Body: c.Request.Body,
		Tenant: value(r.Headers, tenantHeader), Route: custody.Route{Listener: r.Listener, Host: r.Host, Path: r.Path, Draw: r.Draw}, Headers: g.headers(p, r)}
	again := value(r.Headers, retryHeader)
	var from string
	askOnly := false // a partner asks what became of it
	if r.Listener == p.listener && p.listener != "" {
		m, err := openPass(r.Headers.Values(Header), g.key, c.ID, c.Request.Target)
		if err != nil {
			c.Finish(engine.Answer{Kind: engine.Refused, NotRun: true, Why: err.Error(), RetryAfter: comeBack})
			return true
		}
		rec.Tenant, rec.Path, rec.Draws = m.Tenant, m.Came, m.Draws
		rec.Offer = [2]string{m.Offer.Origin, m.Offer.Name}
		from, again, askOnly = m.From, "", m.Again
		if askOnly {
			again = c.ID
		}
	}
	inCustody := class.Custody != nil && c.Request.Rest == nil
	if askOnly && !inCustody {
		c.Finish(engine.Answer{Kind: engine.Failed}) // nobody here remembers, and it must not be begun
		return true
	}
	if !inCustody {
		again = ""
	}
	var draws []string
	for i := range p.budgets {
		if b := &p.budgets[i]; b.Match(c.Class, rec.Tenant) && !slices.Contains(rec.Draws, b.Name) {
			draws = append(draws, b.Name)
		}
	}
	if !inCustody && len(draws) == 0 && len(rec.Path) == 0 {
		way, ok := g.table.Choose(callOf(&rec, class))
		if !ok || way.Own {
			return false
		}
	}
	rec.Key = custody.Key{Class: c.Class, ID: "i:" + from + ":" + c.ID}
	switch {
	case rec.Repeats != "":
		rec.Key.ID = "k:" + rec.Repeats
	case again != "":
		rec.Key.ID = "i:" + from + ":" + again
	}
	s := &story{g: g, call: c, rec: rec, class: class, draws: draws, again: again != "" && rec.Repeats == "" || askOnly, back: value(r.Headers, backHeader), custody: inCustody, gone: make(chan struct{})}
	c.Hold(func(time.Duration) { s.once.Do(func() { close(s.gone) }) })
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
func (g *Gateway) headers(p *policy, r *route.Call) map[string][]string {
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

// kept are headers that were kept of a call.
type kept map[string][]string

// Values implements route.Headers.
func (k kept) Values(name string) []string { return k[name] }

func callOf(r *custody.Record, class config.Class) *offers.Call {
	return &offers.Call{Class: class.Name, Path: r.Route.Path, Tenant: r.Tenant, Effect: class.ForModule().Effect, Came: r.Path}
}

// story is a call from its taking to its answer.
type story struct {
	g       *Gateway
	call    *engine.Call
	rec     custody.Record
	class   config.Class
	draws   []string // budgets that it has to draw from
	again   bool     // its caller only asks for what it asked for before
	back    string   // the id by which it was refused before, as it says
	custody bool
	once    sync.Once
	gone    chan struct{} // its caller has left
}

// tell tells the story and gives the answer.
func (s *story) tell() {
	g := s.g
	ctx, cancel := context.WithTimeout(g.ctx, max(0, g.o.Clock.Until(s.call.Deadline)-lastWord))
	defer cancel()
	if !s.custody { // else it goes on without its caller, who may come back for the answer
		g.tasks.Go(func() {
			select {
			case <-s.gone:
				cancel()
			case <-ctx.Done():
			}
		})
	}
	a := s.answer(ctx)
	if a.Kind == engine.Refused && len(s.rec.Path) > 0 && a.Why == "" && a.NotRun {
		a.Why = busy
	}
	select {
	case <-s.gone:
		a.Reply.Discard()
	default:
		s.call.Finish(a)
	}
}

// refused is a refusal of a call of which nothing was begun.
func refused(retry time.Duration) engine.Answer {
	return engine.Answer{Kind: engine.Refused, NotRun: true, RetryAfter: max(retry, time.Millisecond)}
}

// answer is the call's way: quota, custody, engine.
func (s *story) answer(ctx context.Context) (a engine.Answer) {
	g := s.g
	var drawn []func()
	defer func() {
		if a.Kind == engine.Refused && a.NotRun {
			for _, undo := range drawn {
				undo() // nothing was begun, here or at a partner's: others may have what was drawn
			}
		}
	}()
	if s.again {
		return s.await(ctx, true)
	}
	if s.custody && s.rec.Repeats != "" && len(s.draws) > 0 && g.custody.Holds(ctx, s.rec.Key) {
		if a, over := s.found(ctx); over {
			return a // a repeat draws nothing
		}
	}
	for _, name := range s.draws {
		p := g.purse(name)
		if p == nil {
			continue
		}
		id := s.rec.Repeats
		if id == "" {
			id = s.rec.ID
		}
		token, retry := p.Draw(ctx, id, s.back)
		if token == 0 {
			a := refused(retry)
			if len(s.rec.Path) > 0 {
				a.Why = "quota " + name
			}
			return a
		}
		s.rec.Draws = append(s.rec.Draws, name)
		drawn = append(drawn, func() { p.Undo(token) })
	}
	if !s.custody {
		req := s.call.Request
		return s.own(ctx, req)
	}
	s.rec.Left = g.o.Clock.Until(s.call.Deadline)
	serve := s.class.Custody.WhenAlone == config.ServeAlone
	for {
		out, err := g.custody.Take(ctx, s.rec, serve, time.Duration(s.class.Window))
		switch {
		case err == nil:
			return settled(out)
		case errors.Is(err, custody.ErrAlone) && serve:
			return s.own(ctx, s.call.Request)
		case errors.Is(err, custody.ErrAlone), errors.Is(err, custody.ErrFull):
			return refused(comeBack)
		}
		// Others have it in hand, or will soon: whatever they settle is this caller's answer too.
		if a, over := s.found(ctx); over {
			return a
		}
	}
}

// found waits for the answer to a call whose key others have in hand. false: they refused it, and it may be begun anew.
func (s *story) found(ctx context.Context) (engine.Answer, bool) {
	out, gen, err := s.g.custody.Await(ctx, s.rec.Key)
	if err == nil && out.Kind == custody.Refused && s.rec.Repeats != "" && gen >= s.rec.Gen {
		s.rec.Gen = gen + 1
		return engine.Answer{}, false
	}
	if err != nil {
		return engine.Answer{Kind: engine.Failed}, true
	}
	return settled(out), true
}

// await brings the answer to what a caller asked for before.
func (s *story) await(ctx context.Context, mayRetry bool) engine.Answer {
	out, _, err := s.g.custody.Await(ctx, s.rec.Key)
	switch {
	case err == nil:
		return settled(out)
	case errors.Is(err, custody.ErrUnknown), errors.Is(err, custody.ErrForgotten):
		return engine.Answer{Kind: engine.Failed} // it may have run, or never have come
	case mayRetry:
		return refused(comeBack) // to ask again is harmless
	}
	return engine.Answer{Kind: engine.Failed}
}

// own has a call carried out that nobody else holds.
func (s *story) own(ctx context.Context, req engine.Request) engine.Answer {
	out := s.g.run(ctx, &s.rec, req, s.class, nil, nil)
	if out.Kind == 0 {
		return engine.Answer{Kind: engine.Failed}
	}
	return answerOf(out)
}

// answerOf is an outcome as callers are told it.
func answerOf(o custody.Outcome) engine.Answer {
	if a, ok := o.Live.(engine.Answer); ok {
		return a
	}
	switch o.Kind {
	case custody.Served:
		if o.Long {
			return engine.Answer{Kind: engine.Failed} // it was served, and its answer was too long to be kept
		}
		return engine.Answer{Kind: engine.Served, Reply: engine.Reply{Body: o.Body, ContentType: o.Type, Length: int64(len(o.Body))}}
	case custody.Refused:
		return engine.Answer{Kind: engine.Refused, RetryAfter: max(o.Retry, time.Millisecond), NotRun: o.NotRun, Why: o.Why}
	}
	return engine.Answer{Kind: engine.Failed}
}

// settled is an outcome that holds for all who ask.
func settled(o custody.Outcome) engine.Answer {
	a := answerOf(o)
	a.Settled = true
	return a
}

// outcomeOf is an answer as it is settled.
func outcomeOf(a engine.Answer) custody.Outcome {
	o := custody.Outcome{Live: a}
	switch a.Kind {
	case engine.Served:
		o.Kind, o.Type = custody.Served, a.Reply.ContentType
		if a.Reply.Rest != nil {
			o.Long = true
		} else {
			o.Body = a.Reply.Body
		}
	case engine.Refused:
		o.Kind, o.Retry, o.Why, o.NotRun = custody.Refused, a.RetryAfter, a.Why, a.NotRun
	default:
		o.Kind = custody.Failed
	}
	return o
}

// resume implements custody.Run, for calls that have just come and for such as are taken over.
func (g *Gateway) resume(ctx context.Context, r *custody.Record, earlier []custody.Intent, w *custody.Work) custody.Outcome {
	class, known := g.policy.Load().classes[r.Key.Class]
	if !known {
		return custody.Outcome{Kind: custody.Failed}
	}
	return g.run(ctx, r, engine.Request{Method: r.Method, Target: r.Target, Key: r.Repeats, ContentType: r.Type, Body: r.Body, Length: int64(len(r.Body))}, class, earlier, w)
}

// toPartner says that a pool is a partner's gateways.
func toPartner(pool string) bool {
	_, partners := config.PartnerOf(pool)
	return partners
}

// step is what an heir would do with a call, by the classes of now.
func (g *Gateway) step(r *custody.Record, intents []custody.Intent, left time.Duration) custody.Step {
	class, known := g.policy.Load().classes[r.Key.Class]
	if !known {
		return custody.GiveUp
	}
	return custody.Next(class.ForModule().Effect, intents, left, toPartner)
}

// run has a call carried out: by the engine of this partner's pool that routes name, or by a partner whose offer it goes by.
// w allows its attempts, where it is in custody; earlier are those that others made. A kind of 0: ctx has ended.
func (g *Gateway) run(ctx context.Context, r *custody.Record, req engine.Request, class config.Class, earlier []custody.Intent, w *custody.Work) custody.Outcome {
	left := r.Left
	if w != nil {
		left = w.Left() - settling
	} else if at, ok := ctx.Deadline(); ok {
		left = time.Until(at)
	}
	step := custody.Next(class.ForModule().Effect, earlier, left, toPartner)
	// What may have run goes back to where it may have: servers and partners elsewhere know nothing of it.
	forced := ""
	switch step {
	case custody.GiveUp:
		return custody.Outcome{Kind: custody.Failed}
	case custody.Again:
		forced = mayRunIn(earlier)
	case custody.Ask:
		return g.askPartner(ctx, r, req, mayRunIn(earlier), earlier, w) // to ask needs no offer
	}
	var last tried
	for range mostWays {
		way, pool, why := g.way(r, class, forced)
		if why != "" && forced != "" {
			return custody.Outcome{Kind: custody.Failed}
		}
		if why != "" {
			if last.out.Kind != 0 {
				return last.out
			}
			return custody.Outcome{Kind: custody.Refused, NotRun: true, Why: why, Retry: comeBack}
		}
		last = g.attempt(ctx, r, req, pool, way, left, earlier, w, false)
		if last.unsure && way.Way != nil && way.Custody {
			// Whoever has it in hand there now tells what became of it.
			return g.askPartner(ctx, r, req, pool, earlier, w)
		}
		if !last.ruled {
			return last.out
		}
		g.table.Drop(way.Way) // its owner's rule has changed: whoever comes next goes another way at once
	}
	return last.out
}

// mayRunIn is the pool of the last attempt that may have run.
func mayRunIn(earlier []custody.Intent) (pool string) {
	for _, in := range earlier {
		if !in.NotRun {
			pool = in.Pool
		}
	}
	return pool
}

// tried is what an attempt at a pool came to.
type tried struct {
	out     custody.Outcome
	ruled   bool // a partner's rule refused it, and nothing ran
	unsure  bool // it may run at a partner, which has not said what became of it
	settled bool // the partner's refusal is the one answer to the call there: it never ran, and never will
}

// askPartner asks a partner what became of a call that may run there, until it says or the call's time is over. That a
// question was refused, or came to nobody, says nothing of the call: only a refusal that is settled there is its answer.
func (g *Gateway) askPartner(ctx context.Context, r *custody.Record, req engine.Request, pool string, earlier []custody.Intent, w *custody.Work) custody.Outcome {
	for ctx.Err() == nil {
		at, _ := ctx.Deadline()
		left := time.Until(at)
		if w != nil {
			left = w.Left() - settling
		}
		if left <= 0 {
			break
		}
		got := g.attempt(ctx, r, req, pool, offers.Chosen{}, left, earlier, w, true)
		if got.out.Kind == custody.Served || got.out.Kind == custody.Failed && !got.unsure || got.settled {
			return got.out
		}
		clock.Sleep(ctx, askAgain)
	}
	return custody.Outcome{Kind: custody.Failed}
}

// way is where a call goes now, by the rules of now, or why it goes nowhere.
func (g *Gateway) way(r *custody.Record, class config.Class, forced string) (way offers.Chosen, pool, why string) {
	call := callOf(r, class)
	ok := false
	if len(r.Path) > 0 {
		if way, why = g.table.Come(offers.ID{Origin: r.Offer[0], Name: r.Offer[1]}, call); why != "" {
			return way, "", why
		}
		ok = true
	} else {
		way, ok = g.table.Choose(call)
	}
	if ok && !way.Own {
		pool = config.PartnerPool(way.Path[0])
		if forced == "" || forced == pool {
			return way, pool, ""
		}
	}
	if forced != "" {
		if _, partners := config.PartnerOf(forced); partners {
			return offers.Chosen{}, "", "the partner that may have run it has no offer for it now"
		}
		return offers.Chosen{}, forced, ""
	}
	pool, routed := g.o.Calls.Pool(&route.Call{Listener: r.Route.Listener, Class: class.Name, Host: r.Route.Host, Path: r.Route.Path, Headers: kept(r.Headers), Draw: r.Route.Draw})
	if !routed {
		return way, "", "no route takes this call"
	}
	return way, pool, ""
}

// mind ends an attempt at a partner's gateway once the others of that gateway's group have lost it: a connection to one that
// is stopped or cut off stands for as long as nobody writes, and another of the group knows what became of the call.
func (g *Gateway) mind(partner string, a *engine.Attempt, over <-chan struct{}) {
	tick := time.NewTicker(connectEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-over:
			return
		case <-a.Context().Done():
			return
		case <-g.ctx.Done():
			return
		}
		if !g.offers.Lives(partner, a.To.Server) {
			a.Lost()
			return
		}
	}
}

// attempt gives a call, or the question what became of it, to the engine of a pool and waits for its answer.
func (g *Gateway) attempt(ctx context.Context, r *custody.Record, req engine.Request, pool string, way offers.Chosen, left time.Duration, earlier []custody.Intent, w *custody.Work, ask bool) tried {
	now := g.o.Clock.Now()
	inner := engine.NewCall(r.ID, req)
	inner.Class, inner.At, inner.Deadline = r.Key.Class, now, now+left
	to, partners := config.PartnerOf(pool)
	if !partners {
		to = ""
	} else {
		m := pass{ID: r.ID, Target: r.Target, Came: append(slices.Clone(r.Path), g.self.Partner), Tenant: r.Tenant, Draws: r.Draws, Again: ask, From: g.self.Partner}
		if way.Way != nil {
			m.Offer = way.ID
		}
		text, err := m.seal(g.key(to))
		if err != nil {
			return tried{out: custody.Outcome{Kind: custody.Failed}}
		}
		inner.Request.Beside = []engine.Field{{Name: Header, Value: text}}
		if way.Way != nil {
			way.Take()
			defer way.Done()
		}
	}
	for _, in := range earlier {
		if in.Pool == pool && !ask { // who is only asked what became of it may be asked again, and be the same
			inner.Earlier = append(inner.Earlier, woodpick.Earlier{Server: in.Server, Zone: in.Zone, Cell: in.Cell, Sent: now - in.Age, Unsent: in.NotRun})
		}
	}
	if to != "" { // a partner's gateways know one another's calls: what one has begun another tells of
		inner.Earlier = nil
	}
	var mu sync.Mutex
	rule, open, settled := "", false, false
	first := len(earlier)
	number := func(a *engine.Attempt) int {
		if len(inner.Earlier) != first {
			return a.N + first // numbers go on over pools
		}
		return a.N
	}
	over := make(chan struct{})
	defer close(over)
	inner.Allow = func(a *engine.Attempt) bool {
		if w != nil && !ask && !w.Intend(a.Context(), custody.Intent{N: number(a), Pool: pool, Server: a.To.Server, Zone: a.Zone, Cell: a.Cell}) {
			return false
		}
		if to != "" {
			g.tasks.Go(func() { g.mind(to, a, over) })
		}
		return true
	}
	inner.Ended = func(a *engine.Attempt, o *engine.Outcome) {
		mu.Lock()
		open = open || o.Ending == woodpick.Broken || o.Ending == woodpick.TimedOut || o.Ending == woodpick.Withdrawn
		settled = settled || o.Ending == woodpick.Overloaded && o.Settled
		if o.Why != "" && o.Why != busy {
			rule = o.Why
		}
		mu.Unlock()
		if w != nil && !ask && o.Ending.NeverRan() { // that a question did not arrive says nothing of the attempt that it is about
			w.Ended(number(a))
		}
	}
	if err := g.o.Calls.Hand(inner, pool); err != nil {
		return tried{out: custody.Outcome{Kind: custody.Refused, NotRun: true, Retry: comeBack, Why: "no pool takes this call now"}}
	}
	select {
	case a := <-inner.Answer():
		if a.Kind == engine.Duplicate {
			a = engine.Answer{Kind: engine.Failed}
		}
		mu.Lock()
		defer mu.Unlock()
		if a.Kind == engine.Refused && to != "" {
			a.Why = ""
		}
		return tried{
			out:     outcomeOf(a),
			ruled:   a.Kind == engine.Refused && rule != "" && to != "",
			unsure:  a.Kind == engine.Failed && open && to != "",
			settled: a.Kind == engine.Refused && settled && to != "",
		}
	case <-ctx.Done():
		inner.Leave(g.o.Clock.Now())
		return tried{}
	}
}
