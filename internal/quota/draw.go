package quota

import (
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for a token.
type waiter struct {
	token     chan Token // holds one
	returning bool       // its client returns at the time that it was advised
}

// booking is a rejected request whose client was advised when to return.
type booking struct {
	id string
	at time.Duration
}

// Draw draws one token for a request, and waits for it no longer than the quota's terms allow. Where it returns none, retry is
// the time after which the client may return: one that then comes by the same id goes before others. id is the request's own;
// previous, if there is one, is the id of the request that was rejected.
func (l *Limiter) Draw(ctx context.Context, id, previous string) (t Token, retry time.Duration) {
	now := l.options.Now()
	l.mu.Lock()
	l.rates.requestsSince++
	returning := l.takeBooking(id, previous, now)
	if t := l.take(now); t != 0 {
		l.countDraw(returning)
		wanted := l.wanted(now)
		l.mu.Unlock()
		if wanted > 0 {
			l.requestNow()
		}
		return t, 0
	}
	wait := l.options.Budget.MaxWait
	if wait <= 0 && !returning {
		retry = l.reject(id, now)
		l.mu.Unlock()
		l.requestNow()
		return 0, retry
	}
	w := &waiter{token: make(chan Token, 1), returning: returning}
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	l.requestNow()
	return l.awaitToken(ctx, w, id, max(wait, shortInterval))
}

// awaitToken waits for a waiter's token for at most a time, and rejects the request if none came.
func (l *Limiter) awaitToken(ctx context.Context, w *waiter, id string, wait time.Duration) (Token, time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	select {
	case t := <-w.token:
		return t, 0
	case <-timeout.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case t := <-w.token: // it came between the timeout and the lock, and has been taken from the lease
		return t, 0
	default:
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waiter) bool { return o == w })
	return 0, l.reject(id, l.options.Now())
}

// countDraw counts a request that drew a token. The caller holds mu.
func (l *Limiter) countDraw(returning bool) {
	l.counts.Drawn++
	if returning {
		l.counts.Returning++
	}
}

// takeBooking removes the booking of a request, if there is one, and says whether its client returns at its time. The caller
// holds mu.
func (l *Limiter) takeBooking(id, previous string, now time.Duration) bool {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return now > b.at+returnGrace })
	for i, b := range l.bookings {
		if b.id == id || b.id == previous {
			l.bookings = slices.Delete(l.bookings, i, i+1)
			return now >= b.at-shortInterval
		}
	}
	return false
}

// reject says after which time a request may return. As many are booked as tokens are granted in that time, by the rate of
// late; beyond maxRetryAfter the time is a guess and nothing is booked. The caller holds mu.
func (l *Limiter) reject(id string, now time.Duration) time.Duration {
	l.counts.Rejected++
	rate := l.rates.tokens
	if rate <= 0 {
		rate = 1 / max(l.hint, shortInterval).Seconds()
	}
	after := time.Duration(float64(len(l.bookings)+1) / rate * float64(time.Second))
	if after > maxRetryAfter {
		return maxRetryAfter
	}
	l.bookings = append(l.bookings, booking{id: id, at: now + after})
	return max(after, leaderInterval)
}

// serveWaiting gives tokens to requests that wait, to those of returning clients first. The caller holds mu.
func (l *Limiter) serveWaiting(now time.Duration) {
	slices.SortStableFunc(l.waiting, func(a, b *waiter) int {
		switch {
		case a.returning == b.returning:
			return 0
		case a.returning:
			return -1
		}
		return 1
	})
	for len(l.waiting) > 0 {
		t := l.take(now)
		if t == 0 {
			return
		}
		w := l.waiting[0]
		l.waiting = l.waiting[1:]
		l.countDraw(w.returning)
		w.token <- t
	}
}
