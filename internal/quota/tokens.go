package quota

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/budget"
)

// tokenLease is a number of tokens that were granted together and expire together.
type tokenLease struct {
	tokens int
	until  time.Duration
}

// Token identifies one draw by the monotonic time until which it may be reused for another request if its own was not started
// (Limiter.Undo). 0 means that no token was drawn.
type Token time.Duration

// tokenWithoutLease is the Token of a draw without a lease, which Undo does not return: the own floor refills over time, and
// draws under the open fallback are unbounded.
const tokenWithoutLease Token = 1

// takeToken takes a token from a lease or, while no leader is reachable, by the quota's fallback. It returns 0 if there is
// none. The caller must hold mu.
func (l *Limiter) takeToken(now time.Duration) Token {
	if t := l.takeLeased(now); t != 0 {
		return t
	}
	if !l.isPartitioned(now) {
		l.floorFilledAt = now
		l.floorTokens = 0
		return 0
	}
	switch l.options.Budget.Fallback {
	case budget.Open:
		l.counts.Unbounded++
		return tokenWithoutLease
	case budget.Floor:
		return l.takeFloorToken(now)
	}
	return 0
}

// takeLeased takes a token from the lease that expires first and drops expired leases. The caller must hold mu.
func (l *Limiter) takeLeased(now time.Duration) Token {
	for len(l.leases) > 0 {
		lease := &l.leases[0]
		if now >= lease.until {
			l.counts.Wasted += int64(lease.tokens)
			l.available -= lease.tokens
			l.leases = l.leases[1:]
			continue
		}
		t := Token(lease.until)
		lease.tokens--
		l.available--
		if lease.tokens == 0 {
			l.leases = l.leases[1:]
		}
		return t
	}
	return 0
}

// isPartitioned reports whether no leader has replied to a lease request for so long that the own floor is no longer waived.
// The caller must hold mu.
func (l *Limiter) isPartitioned(now time.Duration) bool { return now >= l.waivedUntil }

// ownFloor returns this gateway's share of its partner's floor in requests per second, or 0 unless the fallback is the floor.
// The caller must hold mu.
func (l *Limiter) ownFloor() float64 {
	if l.options.Budget.Fallback != budget.Floor {
		return 0
	}
	for _, partner := range l.options.Budget.Partners {
		if partner.Name == l.options.Self.Partner && partner.Gateways > 0 {
			return partner.Floor / float64(partner.Gateways)
		}
	}
	return 0
}

// takeFloorToken takes a token from the own floor, which refills up to one token since the floor was last waived. The caller
// must hold mu.
func (l *Limiter) takeFloorToken(now time.Duration) Token {
	from := max(l.floorFilledAt, l.waivedUntil)
	if now > from {
		l.floorTokens = min(1, l.floorTokens+(now-from).Seconds()*l.ownFloor())
	}
	l.floorFilledAt = now
	if l.floorTokens < 1 {
		return 0
	}
	l.floorTokens--
	l.counts.OwnFloor++
	return tokenWithoutLease
}

// Undo returns the token of a request that was not started; another request may use it until its lease expires. The caller must
// undo a draw at most once.
func (l *Limiter) Undo(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if t == 0 {
		return
	}
	l.counts.Undone++
	now := l.options.Now()
	until := time.Duration(t)
	if now >= until {
		return
	}
	l.leases = append(l.leases, tokenLease{1, until})
	slices.SortStableFunc(l.leases, func(a, b tokenLease) int { return cmp.Compare(a.until, b.until) })
	l.available++
	l.serveWaiters(now)
}

// returnUnused removes up to n tokens from the leases to return them to the leader, latest expiry first, and reports how many.
// The caller must hold mu.
func (l *Limiter) returnUnused(n int, now time.Duration) int {
	returned := 0
	for returned < n && len(l.leases) > 0 {
		last := &l.leases[len(l.leases)-1]
		if now >= last.until {
			break
		}
		take := min(n-returned, last.tokens)
		last.tokens -= take
		l.available -= take
		returned += take
		if last.tokens == 0 {
			l.leases = l.leases[:len(l.leases)-1]
		}
	}
	return returned
}
