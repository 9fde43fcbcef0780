package balancer

import (
	"math"
	"slices"
	"time"
)

const (
	timeoutTolerance = 0.05 // relative difference of two timeouts that count as equal
	maxTimeoutVotes  = 50   // limit of commonTimeoutVotes

	shedWeight = sampleWeight / 4 // weight of a new request in shedShare
)

// requestTimerPrefix precedes the request's ID in the token of its timer.
const requestTimerPrefix = "r:"

// terms limit how often a request may run. They are those of its class when the request was accepted and can only
// become stricter.
type terms struct {
	effect Effect
	scope  Scope
	window time.Duration
}

// tighten applies a class's current terms to a request where they are stricter; a removed class counts as unsafe. So
// does a keyed class for a request accepted as safe: it has no key by which servers could discard its duplicates.
func (r *request) tighten(c *class) {
	switch {
	case c == nil || c.Effect < r.effect:
		r.effect = Unsafe
	case c.Effect == r.effect:
		r.scope = min(r.scope, c.Scope)
		r.window = min(r.window, c.Window)
	}
}

// request is a client's request, kept until it has its response and its attempts have ended.
type request struct {
	terms
	id            string
	class         *class
	arrived       time.Duration
	deadline      time.Duration
	attempts      []*attempt
	inFlight      int
	retry         bool      // the client sent it before
	partial       bool      // its body is incomplete
	notReplayable bool      // part of it is no longer buffered
	polled        []*server // servers polled before the first attempt; nil: not polled yet
	polling       int       // number of them that have not replied
	timerAt       time.Duration

	delayed   bool // queued in Balancer.delayed
	answered  bool // has its response
	streaming bool // its response has begun
}

// handleRequest accepts a new request. A known ID is ignored.
func (b *Balancer) handleRequest(e Request) {
	if b.requests[e.ID] != nil {
		return
	}
	c := b.classes[e.Class]
	if c == nil {
		c = b.classes[""]
	}
	req := &request{
		terms:    terms{effect: c.Effect, scope: c.Scope, window: c.Window},
		id:       e.ID,
		class:    c,
		arrived:  b.now,
		deadline: e.Deadline,
		retry:    e.Retry,
		partial:  e.Partial,
	}
	b.requests[e.ID] = req
	b.estimateArrival(req)
	b.countArrival(c)
	for _, p := range e.PriorAttempts {
		b.addPriorAttempt(req, p)
	}
	if len(req.attempts) > 0 {
		b.retryOrRespond(req)
		return
	}
	b.place(req)
}

// countArrival adds a request to its class's count. The counts of all classes decay.
func (b *Balancer) countArrival(c *class) {
	for _, k := range b.classOrder {
		k.arrivals *= classCountDecay
		k.served *= classCountDecay
	}
	c.arrivals++
}

// estimateArrival estimates when the client first sent the request. Most client attempts of a class have the same
// timeout, which is found by a majority vote. One with a different timeout has what its earlier attempts left of the
// deadline, or more if it is the last.
func (b *Balancer) estimateArrival(req *request) {
	if b.settings.Tier > 0 {
		return
	}
	c := req.class
	remaining := float64(req.deadline - b.now)
	if math.Abs(remaining-c.commonTimeout) <= timeoutTolerance*c.commonTimeout {
		c.commonTimeoutVotes = min(c.commonTimeoutVotes+1, maxTimeoutVotes)
		return
	}
	if c.commonTimeoutVotes == 0 {
		c.commonTimeout = remaining
		c.commonTimeoutVotes = 1
		return
	}
	c.commonTimeoutVotes--
	req.arrived = min(b.now, req.deadline-c.Deadline)
	if b.now-req.arrived > c.LatencyObjective/2 {
		req.retry = true
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

// replyDeadline returns the time after which a reply has no value: work that continues after it takes capacity from
// replies in time. Below the first tier only the deadline is known.
func (b *Balancer) replyDeadline(r *request) time.Duration {
	if b.settings.Tier > 0 || r.class.LateShare > 0 || r.retry {
		return r.deadline
	}
	return min(r.deadline, r.arrived+r.class.LatencyObjective-2*b.settings.Tick)
}

// scheduleTimer sets a timer for a request, unless one fires by then anyway.
func (b *Balancer) scheduleTimer(r *request, at time.Duration) {
	at = max(at, b.now+1)
	if r.timerAt > b.now && r.timerAt <= at {
		return
	}
	r.timerAt = at
	b.emit(SetTimer{At: at, Token: requestTimerPrefix + r.id})
}

// respond sends the response: a rejection if it can guarantee that a retry is harmless, otherwise a failure. It does
// nothing once a server's reply is being streamed to the client.
func (b *Balancer) respond(req *request) {
	if req.answered || req.streaming {
		return
	}
	if len(req.attempts) == 0 {
		b.shedShare += shedWeight * (1 - b.shedShare)
	}
	if req.clientMayRetry() {
		// A client that is told to wait long returns after most of its latency objective has passed, and its late
		// reply takes the capacity of one in time. The window limits the load, not the absence of clients.
		b.emit(Reject{ID: req.id, RetryAfter: min(b.settings.MaxRetryAfter, b.settings.Tick)})
	} else {
		b.emit(Fail{ID: req.id})
	}
	b.finish(req)
}

// clientMayRetry reports whether a retry by the client is harmless: every server that it can reach discards
// duplicates, or no attempt has run.
func (r *request) clientMayRetry() bool {
	if r.safeAnywhere() {
		return true
	}
	return !slices.ContainsFunc(r.attempts, func(a *attempt) bool { return !a.neverRan })
}

// safeAnywhere reports whether the request may run again on any server.
func (r *request) safeAnywhere() bool {
	return r.effect == Safe || r.effect == Keyed && r.scope == ScopeAll
}

// finish marks a request as answered and cancels its attempt in flight, if any.
func (b *Balancer) finish(r *request) {
	if r == nil || r.answered {
		return
	}
	r.answered = true
	b.removeDelayed(r)
	for _, a := range r.attempts {
		if !a.ended && b.settings.MayCancel {
			b.emit(Cancel{ID: r.id, Attempt: a.number})
		}
	}
	b.removeFinishedRequest(r)
}

// removeFinishedRequest deletes a request that has its response and no attempt in flight.
func (b *Balancer) removeFinishedRequest(r *request) {
	if r.answered && r.inFlight == 0 {
		delete(b.requests, r.id)
	}
}
