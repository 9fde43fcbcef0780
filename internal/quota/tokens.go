package quota

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/budget"
)

// tokenLease are tokens that were granted together.
type tokenLease struct {
	tokens int
	until  time.Duration
}

// Token is one draw: the monotonic time until which it may be used for another request, where nothing of its own was begun. 0
// stands for none.
type Token time.Duration

// tokenWithoutLease is the Token of a draw that is of no use to another request: the own floor refills by itself.
const tokenWithoutLease Token = 1

// takeToken takes a token, if there is one: of a lease or, while no leader is reached, as the quota's fallback has it. The caller
// holds mu.
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

// takeLeased takes a token of the lease that ends first, and drops leases that have ended. The caller holds mu.
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

// isPartitioned says that no leader has granted for so long that the own floor is no longer waived. The caller holds mu.
func (l *Limiter) isPartitioned(now time.Duration) bool { return now >= l.waivedUntil }

// ownFloor is this gateway's part of its partner's floor, in requests a second. The caller holds mu.
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

// takeFloorToken takes a token of the own floor, which has refilled to one request at most since the floor was last waived. The
// caller holds mu.
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

// Undo returns the draw of a request of which nothing was begun: another request may use its token until its lease ends. Who
// drew it calls this once at most.
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

// returnUnused takes up to n tokens out of the leases, of those that end last first, and says how many: they go back to the
// leader. The caller holds mu.
func (l *Limiter) returnUnused(n int, now time.Duration) int {
	returned := 0
	for returned < n && len(l.leases) > 0 {
		last := &l.leases[len(l.leases)-1]
		if now >= last.until {
			break
		}
		some := min(n-returned, last.tokens)
		last.tokens -= some
		l.available -= some
		returned += some
		if last.tokens == 0 {
			l.leases = l.leases[:len(l.leases)-1]
		}
	}
	return returned
}
