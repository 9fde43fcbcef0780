package quota

import (
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// maxGrantWait is the longest time that a leader keeps a lease request waiting for tokens.
const maxGrantWait = time.Second

// handleLeaseRequest handles the request of a gateway, which may be this one. It replies once all wanted tokens are granted or
// the request's wait is over. reply is called once and in its own goroutine, so it may lock mu.
func (l *Limiter) handleLeaseRequest(from peering.GatewayID, request leaseRequest, reply func(leaseGrant)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	leader := l.leader
	if leader == nil || !leader.isLeader(now) {
		go reply(leaseGrant{Leader: l.votedFor(now)})
		return
	}
	leader.refill(now)
	if request.Term == leader.term && request.LeaderTime > 0 && request.LeaderTime <= now {
		until, _ := budget.FloorLoanEnds(request.LeaderTime, 0)
		leader.waive(from, request.WaivedFloor, until)
	}
	leader.returnTokens(max(0, request.Returned))
	grant := func(tokens int, nextTokenIn time.Duration) {
		go reply(leaseGrant{Leader: leader.self, IsLeader: true, Term: leader.term, LeaderTime: now, Granted: tokens, NextTokenIn: nextTokenIn})
	}
	if request.Wanted <= 0 {
		grant(0, 0)
		return
	}
	pending := &pendingRequest{wanted: min(request.Wanted, maxTokensPerRequest), retries: request.Retries, reply: grant}
	leader.addPending(from, pending)
	l.tasks.Go(func() {
		clock.Sleep(l.ctx, min(request.Wait, maxGrantWait))
		l.mu.Lock()
		defer l.mu.Unlock()
		leader.expire(from, pending, l.options.Now())
	})
	if leader.tokens >= 1 {
		leader.distribute(now, false)
	}
}

// votedFor returns the candidate that has this gateway's unexpired vote, or "" if there is none. The caller must hold mu.
func (l *Limiter) votedFor(now time.Duration) string {
	if l.leader == nil || now >= l.leader.vote.Until {
		return ""
	}
	return l.leader.vote.Leader
}
