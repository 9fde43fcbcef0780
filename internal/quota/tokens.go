package quota

import (
	"cmp"
	"slices"
	"time"

	"damsontrestle/internal/budget"
)

// tokenLease are tokens that came together.
type tokenLease struct {
	tokens int
	until  time.Duration
}

// Token is a draw: until when it may be used for another request, where nothing of its own was begun. 0: there is none.
type Token time.Duration

// tokenWithoutLease is the Token of a draw that is of no use to another request: of the own floor, which flows on by itself.
const tokenWithoutLease Token = 1

// take takes a token, if there is one. The caller holds mu.
func (l *Limiter) take(now time.Duration) Token {
	for len(l.leases) > 0 {
		b := &l.leases[0]
		if now >= b.until {
			l.counts.Wasted += int64(b.tokens)
			l.available -= b.tokens
			l.leases = l.leases[1:]
			continue
		}
		t := Token(b.until)
		b.tokens--
		l.available--
		if b.tokens == 0 {
			l.leases = l.leases[1:]
		}
		return t
	}
	if !l.isPartitioned(now) {
		l.ownFilledAt, l.ownTokens = now, 0
		return 0
	}
	switch l.options.Budget.Fallback {
	case budget.Open:
		l.counts.Unbounded++
		return tokenWithoutLease
	case budget.Floor:
		l.fillOwnFloor(now)
		if l.ownTokens >= 1 {
			l.ownTokens--
			l.counts.OwnFloor++
			return tokenWithoutLease
		}
	}
	return 0
}

// isPartitioned says that no quota leader has answered for so long that the floor is not waived any more. The caller holds mu.
func (l *Limiter) isPartitioned(now time.Duration) bool { return now >= l.waivedUntil }

// ownFloor is the gateway's part of its partner's floor, in requests a second. The caller holds mu.
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

// fillOwnFloor lets the own floor fill up to one request since the gateway was cut off. The caller holds mu.
func (l *Limiter) fillOwnFloor(now time.Duration) {
	from := max(l.ownFilledAt, l.waivedUntil)
	if now > from {
		l.ownTokens = min(1, l.ownTokens+(now-from).Seconds()*l.ownFloor())
	}
	l.ownFilledAt = now
}

// Undo takes a draw back of a request of which nothing was begun: its token is another request's, for as long as it would have been
// good. It is for whoever drew it.
func (l *Limiter) Undo(t Token) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.options.Now()
	if t == 0 {
		return
	}
	l.counts.Undone++
	if now >= time.Duration(t) {
		return
	}
	l.leases = append(l.leases, tokenLease{1, time.Duration(t)})
	slices.SortStableFunc(l.leases, func(a, b tokenLease) int { return cmp.Compare(a.until, b.until) })
	l.available++
	l.serveWaiting(now)
}

// returnUnused takes tokens out of the limiter that nobody is likely to need, those last that came last. The caller holds mu.
func (l *Limiter) returnUnused(n int, now time.Duration) (back int) {
	for n > 0 && len(l.leases) > 0 {
		b := &l.leases[len(l.leases)-1]
		if now >= b.until {
			break
		}
		k := min(n, b.tokens)
		b.tokens -= k
		l.available -= k
		back, n = back+k, n-k
		if b.tokens == 0 {
			l.leases = l.leases[:len(l.leases)-1]
		}
	}
	return back
}
