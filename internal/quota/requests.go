package quota

import (
	"context"
	"math"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
)

// minDemand is the rate of requests, a second, below which no token is leased in advance.
const minDemand = 0.05

// requestNow has requestTokens go on without the rest of its pause.
func (l *Limiter) requestNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// wanted is how many tokens to request now: for requests that wait, for clients that return soon, and for requests that are
// likely to come before the next grant. Negative: so many of the leased ones are not needed. The caller holds mu.
func (l *Limiter) wanted(now time.Duration) int {
	l.rates.measure(now)
	n := len(l.waiting) + l.expectedReturns(now)
	ahead := l.rates.requests * l.options.Budget.Lease.Seconds() / 2
	switch {
	case ahead >= 1:
		n += int(math.Round(ahead))
	case l.options.Budget.MaxWait <= 0 && l.rates.requests > minDemand:
		n++ // a request that can't wait needs a token that is there
	}
	return min(maxTokensPerRequest, n-l.available)
}

// expectedReturns is how many advised clients return before the next grant. The caller holds mu.
func (l *Limiter) expectedReturns(now time.Duration) int {
	n := 0
	for _, b := range l.bookings {
		if b.at <= now+l.options.Budget.Lease/4 && now <= b.at+returnReserve {
			n++
		}
	}
	return n
}

// requestTokens requests tokens of the leader until Close: at once when requests wait or tokens run low, else from time to
// time, so that the leader knows that this gateway's floor is not needed.
func (l *Limiter) requestTokens() {
	next := 0 // of the candidates, while no leader is known
	for l.ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Now()
		lease := l.options.Budget.Lease
		m := l.newLeaseRequest(now)
		to := l.leaderName
		candidates := l.options.Budget.Candidates
		l.mu.Unlock()
		if to == "" && len(candidates) > 0 {
			to = candidates[next%len(candidates)].id().String()
			next++
		}
		grant, ok := l.requestFrom(to, candidates, m, lease)
		byLeader := ok && grant.IsLeader
		l.mu.Lock()
		l.applyGrant(now, grant, ok, to)
		pause := l.pauseAfter(grant, byLeader)
		l.mu.Unlock()
		if pause > 0 {
			l.waitForDemand(pause, byLeader)
		}
	}
}

// newLeaseRequest is the request to send now. It takes unused tokens out of the leases and waives the own floor, so that it has
// to be sent. The caller holds mu.
func (l *Limiter) newLeaseRequest(now time.Duration) leaseRequest {
	wanted := l.wanted(now)
	m := leaseRequest{
		Quota:     l.options.Budget.Name,
		Wanted:    max(0, wanted),
		Returning: l.expectedReturns(now),
		Term:      l.term,
		Stamp:     l.leaderStamp,
		Floor:     l.ownFloor(),
		Wait:      l.options.Budget.Lease / 4,
	}
	for _, w := range l.waiting {
		if w.returning {
			m.Returning++
		}
	}
	if wanted < 0 && len(l.waiting) == 0 {
		m.Returned = l.returnUnused(-wanted, now)
	}
	if m.Stamp > 0 {
		// Whoever gets this as leader lends the floor from its stamp on, which came here before this goes out. It may do so
		// whether its reply arrives or not.
		_, until := budget.FloorLoanEnds(m.Stamp, now)
		l.waivedUntil = max(l.waivedUntil, until)
	}
	return m
}

// pauseAfter is how long to wait after a reply before the next request, unless requestNow is called. The caller holds mu.
func (l *Limiter) pauseAfter(grant leaseGrant, byLeader bool) time.Duration {
	wanted := l.wanted(l.options.Now())
	switch {
	case !byLeader:
		return shortInterval
	case len(l.waiting) > 0 || wanted > 0:
		if grant.Granted > 0 {
			return 0
		}
		return shortInterval
	case wanted < 0:
		// Tokens that came too late for whoever waited are of use to others as long as their lease lasts.
		return shortInterval
	}
	return budget.FloorLoan / 4
}

// waitForDemand waits for a time, or until requestNow is called. Without a leader a call shortens the wait to half of
// shortInterval at least: there is nobody to hurry.
func (l *Limiter) waitForDemand(pause time.Duration, byLeader bool) {
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-l.ctx.Done():
	case <-l.wake:
		if !byLeader {
			clock.Sleep(l.ctx, shortInterval/2)
		}
	}
}

// requestFrom sends a request to a candidate, perhaps to this gateway itself, and waits for its reply for a lease's time at
// most.
func (l *Limiter) requestFrom(to string, candidates []Candidate, m leaseRequest, lease time.Duration) (grant leaseGrant, ok bool) {
	ctx, cancel := context.WithTimeout(l.ctx, lease)
	defer cancel()
	if to == l.options.Self.String() {
		return l.requestFromSelf(ctx, m)
	}
	for _, candidate := range candidates {
		if candidate.id().String() != to {
			continue
		}
		if link := l.options.To(candidate.id()); link != nil {
			return grant, link.Do(ctx, topicLease, m, &grant) == nil
		}
	}
	return grant, false
}

// requestFromSelf has a request handled by this gateway's own leader.
func (l *Limiter) requestFromSelf(ctx context.Context, m leaseRequest) (grant leaseGrant, ok bool) {
	reply := make(chan leaseGrant, 1)
	l.handleLeaseRequest(l.options.Self, m, func(g leaseGrant) { reply <- g })
	select {
	case grant = <-reply:
		return grant, true
	case <-ctx.Done():
		return grant, false
	}
}

// applyGrant takes the reply to a request that was sent at a time. The tokens of a leader that a later one has followed are
// void; those of the present one are leased from when they were requested, so that the lease ends here before the bucket's
// bound counts it as over. The caller holds mu.
func (l *Limiter) applyGrant(requestedAt time.Duration, grant leaseGrant, ok bool, from string) {
	now := l.options.Now()
	if !ok || !grant.IsLeader {
		if l.leaderName == from {
			l.leaderName = ""
		}
		if ok && grant.Leader != from {
			l.leaderName = grant.Leader
		}
		l.serveWaiting(now) // perhaps of the own floor
		return
	}
	if grant.Term < l.term {
		l.leaderName = ""
		return
	}
	l.term = grant.Term
	l.leaderName = from
	l.leaderStamp = grant.Stamp
	l.grantedAt = now
	l.hint = grant.Hint
	if grant.Granted > 0 {
		l.addLease(tokenLease{grant.Granted, requestedAt + budget.AtMost(l.options.Budget.Lease)}, now)
	}
	l.serveWaiting(now)
}

// addLease takes granted tokens, unless their lease is over already. The caller holds mu.
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
