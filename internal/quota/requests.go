package quota

import (
	"context"
	"math"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
)

// requestNow has the quota leader asked at once.
func (l *Limiter) requestNow() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// wanted is how many tokens to ask for now: for requests that wait, for those that come back soon, and for what is likely to come
// before the next answer. The caller holds mu.
func (l *Limiter) wanted(now time.Duration) int {
	if d := now - l.ratesAt; d > 100*time.Millisecond {
		share := 1 - math.Exp(-d.Seconds()/rateDecay.Seconds())
		l.requestRate += share * (float64(l.requestsSince)/d.Seconds() - l.requestRate)
		l.grantRate += share * (float64(l.tokensSince)/d.Seconds() - l.grantRate)
		l.requestsSince, l.tokensSince, l.ratesAt = 0, 0, now
	}
	ahead := l.requestRate * l.options.Budget.Lease.Seconds() / 2
	n := len(l.waiting) + l.expectedReturns(now)
	switch {
	case ahead >= 1:
		n += int(math.Round(ahead))
	case l.options.Budget.Wait <= 0 && l.requestRate > 0.05:
		n++ // a request that can't wait needs one that is there
	}
	return min(maxTokensPerRequest, n-l.available)
}

// expectedReturns are the requests that come back before the next answer. The caller holds mu.
func (l *Limiter) expectedReturns(now time.Duration) (n int) {
	for _, b := range l.bookings {
		if b.at <= now+l.options.Budget.Lease/4 && now <= b.at+returnReserve {
			n++
		}
	}
	return n
}

// requestTokens asks the quota leader for tokens: at once when requests wait or tokens run low, else now and then, so that it knows that this
// gateway's floor is not needed.
func (l *Limiter) requestTokens() {
	next := 0 // of the quota candidates, where none is known
	for l.ctx.Err() == nil {
		l.mu.Lock()
		now := l.options.Now()
		lease := l.options.Budget.Lease
		want := l.wanted(now)
		m := leaseRequest{Quota: l.options.Budget.Name, Wanted: max(0, want), Returning: l.expectedReturns(now), Term: l.term, Stamp: l.leaderStamp, Floor: l.ownFloor(), Wait: lease / 4}
		for _, w := range l.waiting {
			if w.returning {
				m.Returning++
			}
		}
		if want < 0 && len(l.waiting) == 0 {
			m.Returned = l.returnUnused(-want, now)
		}
		if m.Stamp > 0 {
			// Whoever hears this lends the floor from its stamp on, which came here before this goes out; whether it answers
			// or not.
			_, until := budget.FloorLoanEnds(m.Stamp, now)
			l.waivedUntil = max(l.waivedUntil, until)
		}
		to := l.leaderName
		candidates := l.options.Budget.Candidates
		l.mu.Unlock()
		if to == "" && len(candidates) > 0 {
			to = candidates[next%len(candidates)].id().String()
			next++
		}
		answer, ok := l.requestFrom(to, m, lease)
		l.mu.Lock()
		l.applyGrant(now, m, answer, ok, to)
		want = l.wanted(l.options.Now())
		hungry, rich := len(l.waiting) > 0 || want > 0, want < 0
		l.mu.Unlock()
		pause := budget.FloorLoan / 4
		switch {
		case !ok || !answer.IsLeader:
			pause = shortInterval
		case hungry:
			pause = shortInterval
			if answer.Granted > 0 {
				pause = 0
			}
		case rich:
			pause = shortInterval // what came too late for whoever waited is of use to others, as long as its lease lasts
		}
		if pause == 0 {
			continue
		}
		t := time.NewTimer(pause)
		select {
		case <-t.C:
		case <-l.ctx.Done():
		case <-l.wake:
			if !ok || !answer.IsLeader { // nobody to hurry
				clock.Sleep(l.ctx, shortInterval/2)
			}
		}
		t.Stop()
	}
}

// requestFrom asks a gateway, perhaps this one itself.
func (l *Limiter) requestFrom(to string, m leaseRequest, lease time.Duration) (answer leaseGrant, ok bool) {
	ctx, cancel := context.WithTimeout(l.ctx, lease)
	defer cancel()
	if to == l.options.Self.String() {
		got := make(chan leaseGrant, 1)
		l.handleRequest(l.options.Self, m, func(g leaseGrant) { got <- g })
		select {
		case answer = <-got:
			return answer, true
		case <-ctx.Done():
			return answer, false
		}
	}
	for _, candidate := range l.options.Budget.Candidates {
		if candidate.id().String() != to {
			continue
		}
		if link := l.options.To(candidate.id()); link != nil {
			return answer, link.Do(ctx, topicLease, m, &answer) == nil
		}
	}
	return answer, false
}

// applyGrant takes an answer to what was asked at a time. Tokens of a quota leader whom a later one has followed are none, and theirs is a
// lease's time from when they were asked for. The caller holds mu.
func (l *Limiter) applyGrant(asked time.Duration, m leaseRequest, g leaseGrant, ok bool, from string) {
	now := l.options.Now()
	if !ok || !g.IsLeader {
		if l.leaderName == from {
			l.leaderName = ""
		}
		if ok && g.Leader != from {
			l.leaderName = g.Leader
		}
		l.serveWaiting(now) // perhaps of the own floor
		return
	}
	if g.Term < l.term {
		l.leaderName = ""
		return
	}
	l.term, l.leaderName, l.leaderStamp, l.grantedAt = g.Term, from, g.Stamp, now
	l.hint = g.Hint
	if g.Granted > 0 {
		l.counts.Granted += int64(g.Granted)
		l.tokensSince += g.Granted
		until := asked + budget.Shorter(l.options.Budget.Lease)
		if now < until {
			l.leases = append(l.leases, tokenLease{g.Granted, until})
			l.available += g.Granted
		} else {
			l.counts.Wasted += int64(g.Granted)
		}
	}
	l.serveWaiting(now)
}
