package quota

import (
	"context"
	"math"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
)

// minDemand is the request rate, per second, up to which no token is leased in advance.
const minDemand = 0.05

// wakeRequester ends the pause of runRequester early.
func (l *Limiter) wakeRequester() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// tokensNeeded returns how many tokens to request now: for queued requests, for retries that are due soon, and for requests
// expected before the next grant. A negative result is the number of leased tokens that are not needed. The caller must hold
// mu.
func (l *Limiter) tokensNeeded(now time.Duration) int {
	l.rates.measure(now)
	n := len(l.waiters) + l.expectedRetries(now)
	forecast := l.rates.requests * l.options.Budget.Lease.Seconds() / 2
	switch {
	case forecast >= 1:
		n += int(math.Round(forecast))
	case l.options.Budget.MaxWait <= 0 && l.rates.requests > minDemand:
		n++ // requests may not wait, so one token is kept available
	}
	return min(maxTokensPerRequest, n-l.available)
}

// expectedRetries returns how many scheduled retries are due before the next grant. The caller must hold mu.
func (l *Limiter) expectedRetries(now time.Duration) int {
	n := 0
	for _, b := range l.scheduledRetries {
		if b.at <= now+l.options.Budget.Lease/4 && now <= b.at+retryReserve {
			n++
		}
	}
	return n
}

// runRequester requests tokens from the leader until Close: immediately when requests are queued or tokens run low, otherwise
// periodically, to keep this gateway's floor waived.
func (l *Limiter) runRequester() {
	nextCandidate := 0 // index of the candidate to try while no leader is known
	for l.ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Now()
		lease := l.options.Budget.Lease
		request := l.newLeaseRequest(now)
		leader := l.leaderName
		candidates := l.options.Budget.Candidates
		l.mu.Unlock()
		if leader == "" && len(candidates) > 0 {
			leader = candidates[nextCandidate%len(candidates)].id().String()
			nextCandidate++
		}
		grant, ok := l.requestFrom(leader, candidates, request, lease)
		fromLeader := ok && grant.IsLeader
		l.mu.Lock()
		l.applyGrant(now, grant, ok, leader)
		pause := l.pauseAfter(grant, fromLeader)
		l.mu.Unlock()
		if pause > 0 {
			l.waitForDemand(pause, fromLeader)
		}
	}
}

// newLeaseRequest returns the request to send now. It removes unused tokens from the leases and waives the own floor, so the
// request must be sent. The caller must hold mu.
func (l *Limiter) newLeaseRequest(now time.Duration) leaseRequest {
	needed := l.tokensNeeded(now)
	request := leaseRequest{
		Quota:       l.options.Budget.Name,
		Wanted:      max(0, needed),
		Retries:     l.expectedRetries(now),
		Term:        l.term,
		LeaderTime:  l.leaderTime,
		WaivedFloor: l.ownFloor(),
		Wait:        l.options.Budget.Lease / 4,
	}
	for _, w := range l.waiters {
		if w.isRetry {
			request.Retries++
		}
	}
	if needed < 0 && len(l.waiters) == 0 {
		request.Returned = l.returnUnused(-needed, now)
	}
	if request.LeaderTime > 0 {
		// The leader that receives this may lend the floor, counted from LeaderTime, which arrived here before this request is
		// sent. It may do so even if its reply is lost.
		_, until := budget.FloorLoanEnds(request.LeaderTime, now)
		l.waivedUntil = max(l.waivedUntil, until)
	}
	return request
}

// pauseAfter returns how long to wait after a reply before the next request; wakeRequester ends the wait early. The caller must
// hold mu.
func (l *Limiter) pauseAfter(grant leaseGrant, fromLeader bool) time.Duration {
	needed := l.tokensNeeded(l.options.Now())
	switch {
	case !fromLeader:
		return leaseRequestInterval
	case len(l.waiters) > 0 || needed > 0:
		if grant.Granted > 0 {
			return 0
		}
		return leaseRequestInterval
	case needed < 0:
		// Tokens that arrived too late for the queued requests can be returned for others while their lease lasts.
		return leaseRequestInterval
	}
	return budget.FloorLoan / 4
}

// waitForDemand waits for the given time or until wakeRequester is called. Without a leader it waits another half of
// leaseRequestInterval after such a call, since no leader could grant tokens sooner.
func (l *Limiter) waitForDemand(pause time.Duration, fromLeader bool) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	case <-l.wake:
		if !fromLeader {
			clock.Sleep(l.ctx, leaseRequestInterval/2)
		}
	}
}

// requestFrom sends a request to a candidate, which may be this gateway itself, and waits for its reply for at most the length
// of a lease.
func (l *Limiter) requestFrom(to string, candidates []Candidate, request leaseRequest, lease time.Duration) (grant leaseGrant, ok bool) {
	ctx, cancel := context.WithTimeout(l.ctx, lease)
	defer cancel()
	if to == l.options.Self.String() {
		return l.requestFromSelf(ctx, request)
	}
	for _, candidate := range candidates {
		if candidate.id().String() != to {
			continue
		}
		if link := l.options.LinkTo(candidate.id()); link != nil {
			return grant, link.Do(ctx, topicLease, request, &grant) == nil
		}
	}
	return grant, false
}

// requestFromSelf passes a request to this gateway's own handler.
func (l *Limiter) requestFromSelf(ctx context.Context, request leaseRequest) (grant leaseGrant, ok bool) {
	reply := make(chan leaseGrant, 1)
	l.handleLeaseRequest(l.options.Self, request, func(g leaseGrant) { reply <- g })
	select {
	case grant = <-reply:
		return grant, true
	case <-ctx.Done():
		return grant, false
	}
}

// applyGrant applies the reply to a request sent at requestedAt. Tokens from a leader of an earlier term are discarded. Leases
// start when the tokens were requested, so that a lease ends here before the bound on the bucket assumes that it has. The
// caller must hold mu.
func (l *Limiter) applyGrant(requestedAt time.Duration, grant leaseGrant, ok bool, from string) {
	now := l.options.Now()
	if !ok || !grant.IsLeader {
		if l.leaderName == from {
			l.leaderName = ""
		}
		if ok && grant.Leader != from {
			l.leaderName = grant.Leader
		}
		l.serveWaiters(now) // perhaps from the own floor
		return
	}
	if grant.Term < l.term {
		l.leaderName = ""
		return
	}
	l.term = grant.Term
	l.leaderName = from
	l.leaderTime = grant.LeaderTime
	l.lastGrantAt = now
	l.nextTokenIn = grant.NextTokenIn
	if grant.Granted > 0 {
		l.addLease(tokenLease{grant.Granted, requestedAt + budget.AtMost(l.options.Budget.Lease)}, now)
	}
	l.serveWaiters(now)
}

// addLease adds granted tokens, unless their lease has already expired. The caller must hold mu.
func (l *Limiter) addLease(lease tokenLease, now time.Duration) {
	l.counts.Granted += int64(lease.tokens)
	l.rates.tokensSince += lease.tokens
	if now >= lease.until {
		l.counts.Wasted += int64(lease.tokens)
		return
	}
	l.leases = append(l.leases, lease)
	l.available += lease.tokens
}
