package balancer

import (
	"slices"
	"time"
)

// hangFailureShare is the share of a class's attempts that may fail before attempt timeouts are shortened.
const hangFailureShare = 0.05

// attempt is one attempt of a request at a server.
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
	counted  bool // in the in-flight counts: its server may have started work
}

// addPriorAttempt adds an attempt that another host made. This host expects no outcome for it.
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

// openAttempt returns an attempt that has not ended, or nil.
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
func (b *Balancer) send(req *request, srv *server) {
	a := &attempt{
		request:  req,
		server:   srv,
		number:   len(req.attempts),
		zone:     srv.zone,
		sent:     b.now,
		zoneName: srv.Zone,
		cell:     srv.Cell,
	}
	if b.zoneExcluded(srv) {
		srv.zone.probe = a
		// A connection opened before the zone became unreachable would accept the request and never reply.
		b.emit(CloseIdle{Server: srv.ID})
	}
	if a.number == 0 {
		b.shedShare -= shedWeight * b.shedShare
	}
	notAfter := b.latestRetryStart(req) // of the attempts before this one
	req.attempts = append(req.attempts, a)
	req.inFlight++
	b.removeDelayed(req)
	srv.uploading++
	if !req.partial {
		b.countAttempt(a)
	}
	b.emit(Send{ID: req.id, Server: srv.ID, Timeout: b.attemptTimeout(a), NotAfter: notAfter})
}

// attemptTimeout returns how long an attempt may take. A server that hangs uses up all of the request's time. Where
// that happens below the first tier, an attempt that may be retried gets half of the time, if nearly all replies
// arrive within that.
func (b *Balancer) attemptTimeout(a *attempt) time.Duration {
	req := a.request
	remaining := b.replyDeadline(req) - b.now
	mayRetry := req.effect == Safe && a.number+1 < b.settings.MaxAttempts && b.retryTokens >= 1
	hangs := b.settings.Tier > 0 && req.class.failureShare > hangFailureShare
	if mayRetry && hangs && remaining/2 > b.overlongLatency(req.class) {
		remaining /= 2
	}
	return max(remaining, b.settings.Tick)
}

// countAttempt adds an attempt to the in-flight counts. Until the last byte has reached the server, however slowly
// the client sends it, the attempt is no work for the server and a missing reply is no evidence against it.
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

// handleUploaded starts the time of a request whose body is complete and counts its attempt.
func (b *Balancer) handleUploaded(e Uploaded) {
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

// handleReplyBegun removes an attempt from those that show by their wait that a server or its zone does not respond.
func (b *Balancer) handleReplyBegun(e ReplyBegun) {
	a := b.openAttempt(e.ID, e.Attempt)
	if a == nil {
		return
	}
	isAttempt := func(o *attempt) bool { return o == a }
	a.server.open = slices.DeleteFunc(a.server.open, isAttempt)
	a.zone.open = slices.DeleteFunc(a.zone.open, isAttempt)
	a.zone.markReachable(b.now)
}

// handleOutcome ends an attempt, updates the statistics and retries or responds if needed.
func (b *Balancer) handleOutcome(outcome Outcome) {
	a := b.openAttempt(outcome.ID, outcome.Attempt)
	if a == nil {
		return
	}
	req := a.request
	a.ended = true
	a.neverRan = outcome.Result.NeverRan()
	req.inFlight--
	if outcome.NotReplayable {
		req.notReplayable = true
	}
	b.recordOutcome(a, outcome)
	b.removeUnlistedServer(a.server)
	if outcome.Ended {
		b.countServed(req, outcome.Result)
		b.finish(req)
	} else if !req.answered && req.inFlight == 0 {
		b.retryOrRespond(req)
	}
	b.removeFinishedRequest(req)
	b.releaseDelayed()
}

// recordOutcome updates the statistics of the server, its zone and the load from an outcome.
func (b *Balancer) recordOutcome(a *attempt, outcome Outcome) {
	if outcome.Load != nil {
		b.recordLoad(a.server, outcome.Load.Busy, b.now)
	}
	zoneReachable := b.recordZoneResult(a, outcome.Result)
	if a.counted {
		b.uncountAttempt(a, outcome, zoneReachable)
	} else {
		b.endUpload(a, outcome.UploadTime)
	}
	if zoneReachable && (a.counted || outcome.Result != Success) {
		b.recordResult(a, outcome)
	}
}

// uncountAttempt removes an attempt from the in-flight counts. Its latency adjusts the window, unless its server is
// unresponsive: that says nothing about the load of the others.
func (b *Balancer) uncountAttempt(a *attempt, outcome Outcome, zoneReachable bool) {
	b.inFlight--
	a.server.inFlight--
	if zoneReachable && !b.unresponsive(a.server) {
		b.adjustWindow(a.request, outcome)
	}
	a.server.open = slices.DeleteFunc(a.server.open, func(o *attempt) bool { return o == a })
}

// endUpload ends an attempt whose body the server did not receive completely. The time that the client took to send it
// is charged neither to the server nor to the request.
func (b *Balancer) endUpload(a *attempt, uploadTime time.Duration) {
	a.server.uploading--
	a.request.arrived += uploadTime
	a.request.deadline += uploadTime
	a.sent = b.now
}

// countServed counts a request that got its response within the latency objective.
func (b *Balancer) countServed(r *request, result Result) {
	inTime := b.now <= r.arrived+r.class.LatencyObjective
	if result == Success && !r.answered && inTime {
		r.class.served++
	}
}
