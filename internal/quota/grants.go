package quota

import (
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// maxGrantWait is the longest time that a leader lets a lease request wait for tokens.
const maxGrantWait = time.Second

// handleLeaseRequest takes the request of a gateway, perhaps of this one, and replies when there are tokens or its wait is
// over. reply is called once, from another goroutine: it may take mu.
func (l *Limiter) handleLeaseRequest(from peering.GatewayID, m leaseRequest, reply func(leaseGrant)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	leader := l.leader
	if leader == nil || !leader.isLeader(now) {
		go reply(leaseGrant{Leader: l.votedFor(now)})
		return
	}
	leader.refill(now)
	if m.Term == leader.term && m.LeaderTime > 0 && m.LeaderTime <= now {
		until, _ := budget.FloorLoanEnds(m.LeaderTime, 0)
		leader.waive(from, m.WaivedFloor, until)
	}
	leader.returnTokens(max(0, m.Returned))
	grant := func(tokens int, hint time.Duration) {
		go reply(leaseGrant{Leader: leader.self, IsLeader: true, Term: leader.term, LeaderTime: now, Granted: tokens, NextTokenIn: hint})
	}
	if m.Wanted <= 0 {
		grant(0, 0)
		return
	}
	p := &pendingRequest{wanted: min(m.Wanted, maxTokensPerRequest), retries: m.Retries, reply: grant}
	leader.addPending(from, p)
	l.tasks.Go(func() {
		clock.Sleep(l.ctx, min(m.Wait, maxGrantWait))
		l.mu.Lock()
		defer l.mu.Unlock()
		leader.expire(from, p, l.options.Now())
	})
	if leader.tokens >= 1 {
		leader.distribute(now, false)
	}
}

// votedFor is the candidate that this gateway has promised a term that is not over; empty: there is none. The caller holds mu.
func (l *Limiter) votedFor(now time.Duration) string {
	if l.leader == nil || now >= l.leader.vote.Until {
		return ""
	}
	return l.leader.vote.Leader
}
