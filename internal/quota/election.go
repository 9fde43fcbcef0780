package quota

import (
	"context"
	"slices"
	"time"

	"damsontrestle/internal/budget"
	"damsontrestle/internal/peering"
)

// becomeCandidate makes the gateway's part as quota leader, if it may be that.
func (l *Limiter) becomeCandidate(now time.Duration) {
	var all []string
	mine := false
	for _, candidate := range l.options.Budget.Candidates {
		all = append(all, candidate.id().String())
		mine = mine || candidate.id() == l.options.Self
	}
	if mine {
		l.leader = newLeader(l.options.Budget.Terms, l.options.Self.String(), all, now)
		l.tasks.Go(l.runCandidate)
	}
}

// runCandidate is a gateway's part as one of the quota candidates: it asks the others for a term when there is no quota leader, renews its own, and
// deals out what the bucket holds.
func (l *Limiter) runCandidate() {
	tick := time.NewTicker(leaderInterval)
	defer tick.Stop()
	rank := slices.Index(l.leader.candidates, l.options.Self.String())
	var vacant, renewed time.Duration
	for {
		select {
		case <-l.ctx.Done():
			return
		case <-tick.C:
		}
		l.mu.Lock()
		now, term := l.options.Now(), l.options.Budget.Term
		leader := l.leader
		is := leader.isLeader(now)
		if is {
			leader.distribute(now, false)
		} else if leader.until > 0 {
			l.options.Log.Info("this gateway is no longer the quota leader", "quota", l.options.Budget.Name, "term", leader.term)
			leader.until = 0
			for who, a := range leader.pending {
				delete(leader.pending, who)
				a.reply(0, 0)
			}
		}
		taken := !is && now < leader.vote.Until && leader.vote.Leader != leader.self
		if is || taken {
			vacant = now
		}
		due := is && now-renewed >= term/4 || !is && !taken && now-vacant >= time.Duration(rank)*term/4
		l.mu.Unlock()
		if !due {
			continue
		}
		renewed = now
		if !l.campaign(now, is) {
			vacant = l.options.Now() + time.Duration(rank+1)*term/8
		}
	}
}

// campaign asks all who could be quota leader for a term, from the time when it asks on: a new one, or the same once more.
func (l *Limiter) campaign(now time.Duration, renew bool) bool {
	l.mu.Lock()
	leader := l.leader
	number := leader.term
	if !renew {
		leader.highestTerm = max(leader.highestTerm, leader.vote.Term) + 1
		number = leader.highestTerm
	}
	term, candidates := l.options.Budget.Term, l.options.Budget.Candidates
	l.mu.Unlock()
	ctx, cancel := context.WithTimeout(l.ctx, term/4)
	defer cancel()
	votes := make(chan voteReply, len(candidates))
	for _, who := range candidates {
		if who.id() == l.options.Self {
			votes <- l.handleVote(l.options.Self, voteRequest{l.options.Budget.Name, number})
			continue
		}
		link := l.options.To(who.id())
		if link == nil {
			votes <- voteReply{}
			continue
		}
		l.tasks.Go(func() {
			var v voteReply
			if link.Do(ctx, topicVote, voteRequest{l.options.Budget.Name, number}, &v) != nil {
				v = voteReply{}
			}
			votes <- v
		})
	}
	yes := 0
	for range candidates {
		v := <-votes
		if v.Yes {
			yes++
		}
		l.mu.Lock()
		leader.highestTerm = max(leader.highestTerm, v.Term)
		l.mu.Unlock()
		if yes > len(candidates)/2 {
			break
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if yes <= len(candidates)/2 || renew && !leader.isLeader(l.options.Now()) {
		return false
	}
	if until := now + budget.Shorter(term); until > l.options.Now() {
		if !renew {
			leader.begin(l.options.Now(), number)
			l.counts.Elected++
			l.options.Log.Info("this gateway is the quota leader", "quota", l.options.Budget.Name, "term", number)
		}
		leader.until = until
	}
	return true
}

// handleVote is this gateway's answer to one who would be quota leader.
func (l *Limiter) handleVote(who peering.GatewayID, m voteRequest) voteReply {
	l.mu.Lock()
	defer l.mu.Unlock()
	leader := l.leader
	if leader == nil || !slices.Contains(leader.candidates, who.String()) {
		return voteReply{}
	}
	now := l.options.Now()
	v, ok := budget.MayVote(leader.vote, leader.startedAt, now, l.options.Budget.Term, m.Term, who.String())
	leader.vote = v
	leader.highestTerm = max(leader.highestTerm, m.Term)
	return voteReply{Yes: ok, Term: max(v.Term, leader.highestTerm)}
}
