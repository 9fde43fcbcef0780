package quota

import (
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/clock"
	"damsontrestle/internal/peering"
)

// handleRequest takes a question of another gateway's, or of this one's own, and answers it when there are tokens, or soon.
func (l *Limiter) handleRequest(who peering.GatewayID, m leaseRequest, reply func(leaseGrant)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	leader := l.leader
	if leader == nil || !leader.isLeader(now) {
		g := leaseGrant{}
		if leader != nil && now < leader.vote.Until {
			g.Leader = leader.vote.Leader
		}
		go reply(g) // never under the lock: it may be this gateway's own
		return
	}
	leader.fill(now)
	if m.Term == leader.term && m.Stamp > 0 && m.Stamp <= now {
		until, _ := budget.FloorLoanEnds(m.Stamp, 0)
		leader.waive(who, m.Floor, until)
	}
	answer := func(given int, hint time.Duration) {
		go reply(leaseGrant{Leader: leader.self, IsLeader: true, Term: leader.term, Stamp: now, Granted: given, Hint: hint})
	}
	if m.Wanted <= 0 {
		leader.tokens = min(leader.terms.Depth(), leader.tokens+float64(max(0, m.Returned)))
		answer(0, 0)
		return
	}
	a := &pendingRequest{wanted: min(m.Wanted, maxTokensPerRequest), returning: m.Returning, reply: answer}
	leader.request(who, a, max(0, m.Returned))
	l.tasks.Go(func() { // it is answered in time, whatever there is
		clock.Sleep(l.ctx, min(m.Wait, time.Second))
		l.mu.Lock()
		defer l.mu.Unlock()
		if leader.pending[who] == a {
			leader.distribute(l.options.Now(), false)
			if leader.pending[who] == a {
				delete(leader.pending, who)
				a.reply(a.granted, time.Duration(float64(len(leader.pending)+1)/max(leader.rate(l.options.Now()), 1e-3)*float64(time.Second)))
			}
		}
	})
	if leader.tokens >= 1 {
		leader.distribute(now, false)
	}
}
