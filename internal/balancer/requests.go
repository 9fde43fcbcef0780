package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	sameTimeTolerance = 0.05 // by how much the times given to attempts may differ and count as the same
	maxVotes          = 50   // counted for the time that is common

	shedWeight = sampleWeight / 4 // weight of a new request in the share that is shed
)

// requestTimerPrefix stands before the request's ID in the token of its timer.
const requestTimerPrefix = "r:"

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
		r.scope = min(r.scope, c.Scope)
		r.window = min(r.window, c.Window)
	}
}

// request is a client's request, kept until it is answered and its attempts have ended.
type request struct {
	terms
	id            string
	class         *class
	arrived       time.Duration
	deadline      time.Duration
	attempts      []*attempt
	inFlight      int
	retry         bool      // the client had sent it before
	partial       bool      // its body is still on its way
	notReplayable bool      // part of it is gone
	polled        []*server // servers polled before the first attempt; nil: not polled yet
	polling       int       // how many of them have not replied yet
	timerAt       time.Duration

	delayed   bool // waits in Balancer.delayed
	answered  bool // has its response
	streaming bool // its response has begun
}

// takeRequest takes a new request. One whose ID is known is ignored.
func (b *Balancer) takeRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.classes[""]
	}
	r := &request{
		terms:    terms{effect: c.Effect, scope: c.Scope, window: c.Window},
		id:       e.ID,
		class:    c,
		arrived:  b.now,
		deadline: e.Deadline,
		retry:    e.Retry,
		partial:  e.Partial,
	}
	b.requests[e.ID] = r
	b.backdate(r)
	b.countArrival(c)
	for _, p := range e.PriorAttempts {
		b.addPriorAttempt(r, p)
	}
	if len(r.attempts) > 0 {
		b.retryOrRespond(r)
		return
	}
	b.place(r)
}

// countArrival counts a request in its class. Older counts of all classes decay.
func (b *Balancer) countArrival(c *class) {
	for _, k := range b.classOrder {
		k.arrivals *= countDecay
		k.served *= countDecay
	}
	c.arrivals++
}

// backdate finds when the client first sent the request. Most attempts of clients in a class are given the same time,
// found by a vote; one that is given another has what its earlier attempts left, or more where none is to follow.
func (b *Balancer) backdate(r *request) {
	if b.settings.Tier > 0 {
		return
	}
	c := r.class
	left := float64(r.deadline - b.now)
	if math.Abs(left-c.commonTime) <= sameTimeTolerance*c.commonTime {
		c.votes = min(c.votes+1, maxVotes)
		return
	}
	if c.votes == 0 {
		c.commonTime = left
		c.votes = 1
		return
	}
	c.votes--
	r.arrived = min(b.now, r.deadline-c.Deadline)
	if b.now-r.arrived > c.LatencyObjective/2 {
		r.retry = true
	}
}

// place sends a request, or delays it while no server may take it.
func (b *Balancer) place(r *request) {
	if b.windowFull(r) {
		b.delay(r)
		return
	}
	if b.poll(r) {
		return
	}
	s := b.selectServer(r)
	if s == nil {
		b.delay(r)
		return
	}
	b.send(r, s)
}

// usefulUntil is when a reply stops being worth anything: work that goes on after it takes the capacity of replies in
// time. Below the first tier only the deadline is known.
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
	b.emit(SetTimer{At: at, Token: requestTimerPrefix + r.id})
}

// respond gives the response: a rejection where it may promise that a retry is harmless, else a failure. Once the reply
// of a server goes on to the client there is nothing to say.
func (b *Balancer) respond(r *request) {
	if r.answered || r.streaming {
		return
	}
	if len(r.attempts) == 0 {
		b.shedShare += shedWeight * (1 - b.shedShare)
	}
	if r.clientMayRetry() {
		// A client that is told to wait for long comes back when its latency objective is mostly over, and its late
		// reply takes the capacity of one in time; the window, not the clients' absence, holds the load off.
		b.emit(Reject{ID: r.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: r.id})
	}
	b.finish(r)
}

// clientMayRetry reports whether a retry by the client can do no harm: servers that it may reach discard repeats, or
// nothing has run.
func (r *request) clientMayRetry() bool {
	if r.safeAnywhere() {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// safeAnywhere reports whether the request may run again at any server.
func (r *request) safeAnywhere() bool {
	return r.effect == Safe || r.effect == Keyed && r.scope == ScopeAll
}

// finish ends a request and cancels its attempt in flight, if there is one.
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
