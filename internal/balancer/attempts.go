package balancer

import (
	"slices"
	"time"
)

// hangingShare is the share of a class's attempts that may fail before the timeout of one is shortened.
const hangingShare = 0.05

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

// addPriorAttempt adds an attempt that another host made and that has ended as far as this node is concerned.
func (b *Balancer) addPriorAttempt(r *request, p PriorAttempt) {
	a := &attempt{
		request:  r,
		server:   b.servers[p.Server],
		sent:     p.SentAt,
		zoneName: p.Zone,
		cell:     p.Cell,
		ended:    true,
		neverRan: p.NeverRan,
	}
	r.attempts = append(r.attempts, a)
}

// openAttempt returns an attempt that has not ended yet, or nil.
func (b *Balancer) openAttempt(id string, number int) *attempt {
	r := b.requests[id]
	if r == nil || number < 0 || number >= len(r.attempts) {
		return nil
	}
	a := r.attempts[number]
	if a.ended {
		return nil
	}
	return a
}

// send starts the next attempt of a request.
func (b *Balancer) send(r *request, s *server) {
	a := &attempt{
		request:  r,
		server:   s,
		number:   len(r.attempts),
		zone:     s.zone,
		sent:     b.now,
		zoneName: s.Zone,
		cell:     s.Cell,
	}
	if b.zoneExcluded(s) {
		s.zone.probe = a
		// A connection from before the zone became unreachable would take the request and stay silent.
		b.emit(CloseIdle{Server: s.ID})
	}
	if a.number == 0 {
		b.shedShare -= shedWeight * b.shedShare
	}
	notAfter := b.lastBegin(r) // of the attempts before this one
	r.attempts = append(r.attempts, a)
	r.inFlight++
	b.stopDelaying(r)
	s.uploading++
	if !r.partial {
		b.countAttempt(a)
	}
	b.emit(Send{ID: r.id, Server: s.ID, Timeout: b.attemptTimeout(a), NotAfter: notAfter})
}

// attemptTimeout is how long an attempt may take. A server that lets a request hang takes all its time: where that
// happens below the first tier, a request that may run again gives it half, if nearly all replies come within that.
func (b *Balancer) attemptTimeout(a *attempt) time.Duration {
	r := a.request
	left := b.usefulUntil(r) - b.now
	mayRetry := r.effect == Safe && a.number+1 < b.settings.MaxAttempts && b.retryTokens >= 1
	hangs := b.settings.Tier > 0 && r.class.failureShare > hangingShare
	if mayRetry && hangs && left/2 > b.overlongLatency(r.class) {
		left /= 2
	}
	return max(left, b.settings.Tick)
}

// countAttempt counts an attempt at its server. Before the last byte has come there it is no work, whoever sends it
// however slowly, and its silence tells nothing.
func (b *Balancer) countAttempt(a *attempt) {
	a.counted = true
	a.sent = b.now
	a.server.uploading--
	a.server.inFlight++
	a.server.open = append(a.server.open, a)
	a.zone.open = append(a.zone.open, a)
	b.inFlight++
	b.meanInFlight += sampleWeight * (float64(b.inFlight) - b.meanInFlight)
}

// takeUploaded has a request's time run from now on, and its attempt be counted.
func (b *Balancer) takeUploaded(e Uploaded) {
	a := b.openAttempt(e.ID, e.Attempt)
	if a == nil || !a.request.partial {
		return
	}
	r := a.request
	r.partial = false
	r.arrived += e.Deadline - r.deadline
	r.deadline = e.Deadline
	b.countAttempt(a)
}

// takeOutcome ends an attempt, learns from it and decides what follows.
func (b *Balancer) takeOutcome(e Outcome) {
	a := b.openAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	r := a.request
	a.ended = true
	a.neverRan = e.Result.NeverRan()
	r.inFlight--
	if e.NotReplayable {
		r.notReplayable = true
	}
	b.learnFrom(a, e)
	b.forgetServer(a.server)
	if e.Ended {
		b.countServed(r, e.Result)
		b.finish(r)
	} else if !r.answered && r.inFlight == 0 {
		b.retryOrRespond(r)
	}
	b.forget(r)
	b.releaseDelayed()
}

// learnFrom takes from an outcome what it tells of the server, its zone and the load.
func (b *Balancer) learnFrom(a *attempt, e Outcome) {
	if e.Load != nil {
		b.recordLoad(a.server, e.Load.Busy, b.now)
	}
	tellsOfServer := b.observeZone(a, e.Result)
	if a.counted {
		b.uncountAttempt(a, e, tellsOfServer)
	} else {
		b.endUpload(a)
	}
	if tellsOfServer && (a.counted || e.Result != Success) {
		b.recordResult(a, e)
	}
}

// uncountAttempt takes an attempt off the counts. The window moves by its latency, unless its server hung: that tells
// nothing of how loaded the others are.
func (b *Balancer) uncountAttempt(a *attempt, e Outcome, tellsOfServer bool) {
	b.inFlight--
	a.server.inFlight--
	if tellsOfServer && !b.silent(a.server) {
		b.adjustWindow(a.request, e)
	}
	a.server.open = slices.DeleteFunc(a.server.open, func(o *attempt) bool { return o == a })
}

// endUpload ends an attempt whose body had not come whole. How long its client takes to send it is neither the server's
// doing nor the request's time.
func (b *Balancer) endUpload(a *attempt) {
	a.server.uploading--
	took := b.now - a.sent
	a.request.arrived += took
	a.request.deadline += took
	a.sent = b.now
}

// countServed counts a request that was served within its latency objective.
func (b *Balancer) countServed(r *request, result Result) {
	inTime := b.now <= r.arrived+r.class.LatencyObjective
	if result == Success && !r.answered && inTime {
		r.class.served++
	}
}
