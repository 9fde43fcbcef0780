package quota

import (
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for a token.
type waiter struct {
	token     chan Token
	returning bool
}

// booking is a request that was refused and told when to come back.
type booking struct {
	id string
	at time.Duration
}

// Draw draws one request from the budget, and waits for that no longer than the file says. Where it may not, retry says when
// it may: a request that comes back then by the same id goes before others. Its id is its client's key, or what it was refused by.
func (l *Limiter) Draw(ctx context.Context, id, again string) (t Token, retry time.Duration) {
	now := l.options.Now()
	l.mu.Lock()
	l.requestsSince++
	due := l.noteReturn(id, again, now)
	if t := l.take(now); t != 0 {
		l.counts.Drawn++
		if due {
			l.counts.Returning++
		}
		want := l.wanted(now)
		l.mu.Unlock()
		if want > 0 {
			l.requestNow()
		}
		return t, 0
	}
	wait := l.options.Budget.Wait
	if wait <= 0 && !due {
		retry = l.reject(id, now)
		l.mu.Unlock()
		l.requestNow()
		return 0, retry
	}
	w := &waiter{token: make(chan Token, 1), returning: due}
	l.waiting = append(l.waiting, w)
	l.mu.Unlock()
	l.requestNow()
	limit := time.NewTimer(max(wait, shortInterval))
	defer limit.Stop()
	select {
	case t = <-w.token:
		return t, 0
	case <-limit.C:
	case <-ctx.Done():
	case <-l.ctx.Done():
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case t = <-w.token: // it came just now
		return t, 0
	default:
	}
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waiter) bool { return o == w })
	return 0, l.reject(id, l.options.Now())
}

// noteReturn notes that a request comes that may have been told to. The caller holds mu.
func (l *Limiter) noteReturn(id, again string, now time.Duration) bool {
	l.bookings = slices.DeleteFunc(l.bookings, func(b booking) bool { return now > b.at+returnGrace })
	for i, b := range l.bookings {
		if b.id == id || b.id == again {
			l.bookings = slices.Delete(l.bookings, i, i+1)
			return now >= b.at-shortInterval
		}
	}
	return false
}

// reject says when a request may come back. As many are booked as tokens came lately for; beyond that the time is only a guess.
// The caller holds mu.
func (l *Limiter) reject(id string, now time.Duration) time.Duration {
	l.counts.Rejected++
	share := l.grantRate
	if share <= 0 {
		share = 1 / max(l.hint, shortInterval).Seconds()
	}
	at := time.Duration(float64(len(l.bookings)+1) / share * float64(time.Second))
	if at > maxRetryAfter {
		return maxRetryAfter
	}
	l.bookings = append(l.bookings, booking{id: id, at: now + at})
	return max(at, leaderInterval)
}

// serveWaiting gives tokens to requests that wait. The caller holds mu.
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
		l.counts.Drawn++
		if w.returning {
			l.counts.Returning++
		}
		w.token <- t
	}
}
