package balancer

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	sameTimeTolerance = 0.05 // by how much times given to tries may differ and be held for the same
	maxVotes          = 50   // counted for the time that is usual
	hangingShare      = 0.05 // share of a class's attempts that may fail before a request that hangs is cut short
)

// terms say how often a request may run. They are its class's when it was taken, and only ever get stricter.
type terms struct {
	effect Effect
	scope  Scope
	window time.Duration
}

// tighten holds a request to what its class is now, where that is stricter; a class that is gone is unsafe.
// A request that was taken as safe has no key, so that nobody could discard its repeats.
func (r *request) tighten(c *class) {
	switch {
	case c == nil || c.Effect < r.effect:
		r.effect = Unsafe
	case c.Effect == r.effect:
		r.scope, r.window = min(r.scope, c.Scope), min(r.window, c.Window)
	}
}

// request is an accepted request, kept until it is answered and its attempts have ended.
type request struct {
	terms
	id            string
	class         *class
	arrived       time.Duration
	deadline      time.Duration
	attempts      []*attempt
	inFlight      int
	retry         bool      // by the client, where clients say so
	partial       bool      // its body still comes
	notReplayable bool      // and is gone in part
	polled        []*server // how much they hold, before the first attempt; nil: nobody
	polling       int       // of them that have not said yet
	timerAt       time.Duration

	delayed, answered, streaming bool
}

// attempt is one send of a request.
type attempt struct {
	request  *request
	server   *server
	number   int
	zone     *zone
	sent     time.Duration
	zoneName string
	cell     int
	ended    bool
	neverRan bool // proven never to have run
	counted  bool // its server may have begun, and it is counted there
}

func (b *Balancer) takeRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := cmp.Or(b.classes[e.Class], b.classes[""]) // unknown: unsafe
	r := &request{id: e.ID, class: c, terms: terms{c.Effect, c.Scope, c.Window}, arrived: b.now,
		deadline: e.Deadline, retry: e.Retry, partial: e.Partial}
	b.requests[e.ID] = r
	b.backdate(r)
	for _, k := range b.classOrder {
		k.arrivals, k.served = k.arrivals*0.99, k.served*0.99
	}
	for _, p := range e.PriorAttempts { // made by whoever had it in hand before
		a := &attempt{request: r, server: b.servers[p.Server], sent: p.SentAt, zoneName: p.Zone, cell: p.Cell,
			ended: true}
		a.neverRan, r.attempts = p.NeverRan, append(r.attempts, a)
	}
	if c.arrivals++; len(r.attempts) > 0 {
		b.retryOrRespond(r)
		return
	}
	b.place(r)
}

// backdate finds when the client first asked. Most tries of a class are given the same time, found by a vote; one
// that is given another has what its earlier tries left, or more where no try is to follow.
func (b *Balancer) backdate(r *request) {
	c, left := r.class, float64(r.deadline-b.now)
	switch {
	case b.settings.Tier > 0:
	case math.Abs(left-c.commonTime) <= sameTimeTolerance*c.commonTime:
		c.votes = min(c.votes+1, maxVotes)
	case c.votes == 0:
		c.commonTime, c.votes = left, 1
	default:
		c.votes--
		r.arrived = min(b.now, r.deadline-c.Deadline)
		r.retry = r.retry || b.now-r.arrived > c.LatencyObjective/2
	}
}

// place sends a request, or holds it while no server may take it.
func (b *Balancer) place(r *request) {
	if !b.windowFull(r) {
		if b.poll(r) {
			return
		}
		if s := b.selectServer(r); s != nil {
			b.send(r, s)
			return
		}
	}
	b.delay(r)
}

func (b *Balancer) send(r *request, s *server) {
	a := &attempt{request: r, server: s, number: len(r.attempts), zone: s.zone, sent: b.now, zoneName: s.Zone,
		cell: s.Cell}
	if b.zoneExcluded(s) {
		s.zone.probe = a
		b.emit(CloseIdle{Server: s.ID}) // a connection from before the cut would take the request and say nothing
	}
	if a.number == 0 {
		b.shedShare -= sampleWeight / 4 * b.shedShare
	}
	last := b.lastBegin(r)
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.stopDelaying(r)
	if s.uploading++; !r.partial {
		b.countAttempt(a)
	}
	left, c := b.usefulUntil(r)-b.now, r.class
	// A server that lets a request hang takes all its time: where that happens below the first tier, one that may run
	// again gives it half, if nearly all answers come within that.
	again := r.effect == Safe && a.number+1 < b.settings.MaxAttempts && b.retryTokens >= 1
	if again && b.settings.Tier > 0 && c.failureShare > hangingShare && left/2 > b.overlongLatency(c) {
		left /= 2
	}
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: max(left, b.settings.Tick), NotAfter: last})
}

// countAttempt counts an attempt at its server. Before the last byte has come there it is no work, whoever sends it
// however slowly, and its silence tells nothing.
func (b *Balancer) countAttempt(a *attempt) {
	a.counted, a.sent = true, b.now
	a.server.uploading--
	a.server.inFlight++
	a.server.open = append(a.server.open, a)
	a.zone.open = append(a.zone.open, a)
	b.inFlight++
	b.meanInFlight += sampleWeight * (float64(b.inFlight) - b.meanInFlight)
}

// takeUploaded has a request's time run from now on, and its attempt be counted.
func (b *Balancer) takeUploaded(e Uploaded) {
	r := b.requests[e.ID]
	if r == nil || !r.partial || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	r.partial = false
	r.arrived += e.Deadline - r.deadline
	r.deadline = e.Deadline
	b.countAttempt(r.attempts[e.Attempt])
}

func (b *Balancer) takeOutcome(e Outcome) {
	r := b.requests[e.ID]
	if r == nil || e.Attempt < 0 || e.Attempt >= len(r.attempts) || r.attempts[e.Attempt].ended {
		return
	}
	a := r.attempts[e.Attempt]
	a.ended = true
	a.neverRan = e.Result == Overloaded || e.Result == Unreachable || e.Result == NotStarted
	r.inFlight--
	r.notReplayable = r.notReplayable || e.NotReplayable
	if e.Load != nil {
		b.recordLoad(a.server, e.Load.Busy, b.now)
	}
	tells := b.observeZone(a, e.Result)
	if a.counted {
		b.inFlight--
		a.server.inFlight--
		// A hung server's waits tell nothing of how crowded the others are.
		if tells && !b.silent(a.server) {
			b.adjustWindow(r, e)
		}
		a.server.open = slices.DeleteFunc(a.server.open, func(o *attempt) bool { return o == a })
	} else {
		a.server.uploading--
		// How long its client takes to send it is neither the server's doing nor the request's time.
		r.arrived, r.deadline = r.arrived+b.now-a.sent, r.deadline+b.now-a.sent
		a.sent = b.now
	}
	if tells && (a.counted || e.Result != Success) {
		b.recordResult(a, e)
	}
	if !a.server.listed && a.server.idle() && b.servers[a.server.ID] == a.server {
		delete(b.servers, a.server.ID)
	}
	switch {
	case e.Ended:
		if e.Result == Success && !r.answered && b.now <= r.arrived+r.class.LatencyObjective {
			r.class.served++
		}
		b.finish(r)
	case !r.answered && r.inFlight == 0:
		b.retryOrRespond(r)
	}
	b.forget(r)
	b.releaseDelayed()
}

// usefulUntil is when an answer stops being worth anything: work that goes on after it takes the room of
// answers in time. Below the first tier only the deadline is known.
func (b *Balancer) usefulUntil(r *request) time.Duration {
	if b.settings.Tier > 0 || r.class.LateShare > 0 || r.retry {
		return r.deadline
	}
	return min(r.deadline, r.arrived+r.class.LatencyObjective-2*b.settings.Tick)
}

// wakeAt asks for a review of a request, unless one is due by then already.
func (b *Balancer) wakeAt(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: "r:" + r.id})
}

// respond gives the final answer: a refusal where the rules let it promise that a retry is
// harmless, else a failure. With an attempt still out it waits for that.
func (b *Balancer) respond(r *request) {
	if r.answered || r.streaming {
		return
	}
	harmless := !slices.ContainsFunc(r.attempts, func(a *attempt) bool {
		return !a.neverRan && (r.effect == Unsafe || r.effect == Keyed && r.scope != ScopeAll)
	})
	if len(r.attempts) == 0 {
		b.shedShare += sampleWeight / 4 * (1 - b.shedShare)
	}
	if harmless {
		// A client sent away for long comes back when its objective is mostly over, and its late answer
		// takes the room of one in time; the window, not the clients' absence, holds the load off.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.finish(r)
}

// finish ends a request and requests off what is still out for it.
func (b *Balancer) finish(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.stopDelaying(r)
	for _, a := range r.attempts {
		if !a.ended && b.settings.MayCancel {
			b.emit(Cancel{ID: r.id, Attempt: a.number})
		}
	}
	b.forget(r)
}

// forget drops a request once nothing of it is left.
func (b *Balancer) forget(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
