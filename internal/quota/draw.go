package quota

import (
	"context"
	"slices"
	"time"
)

// waiter is a request that waits for a token.
type waiter struct {
	token   chan Token // holds one
	isRetry bool       // its client returns at the time that it was advised
}

// booking is a rejected request whose client was advised when to return.
type scheduledRetry struct {
	requestID string
	at        time.Duration
}

// Draw draws one token for a request, and waits for it no longer than the quota's terms allow. Where it returns none, retry is
// the time after which the client may return: one that then comes by the same id goes before others. id is the request's own;
// previous, if there is one, is the id of the request that was rejected.
func (l *Limiter) Draw(ctx context.Context, id, previous string) (t Token, retry time.Duration) {
	now := l.options.Now()
	l.mu.Lock()
	l.rates.requestsSince++
	returning := l.takeScheduledRetry(id, previous, now)
	if t := l.takeToken(now); t != 0 {
		l.countDraw(returning)
		wanted := l.tokensNeeded(now)
		l.mu.Unlock()
		if wanted > 0 {
			l.wakeRequester()
		}
		return t, 0
	}
	wait := l.options.Budget.Wait
	if wait <= 0 && !returning {
		retry = l.reject(id, now)
		l.mu.Unlock()
		l.wakeRequester()
		return 0, retry
	}
	w := &waiter{token: make(chan Token, 1), isRetry: returning}
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	l.wakeRequester()
	return l.awaitToken(ctx, w, id, max(wait, leaseRequestInterval))
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
	l.waiters = slices.DeleteFunc(l.waiters, func(o *waiter) bool { return o == w })
	return 0, l.reject(id, l.options.Now())
}

// countDraw counts a request that drew a token. The caller holds mu.
func (l *Limiter) countDraw(returning bool) {
	l.counts.Drawn++
	if returning {
		l.counts.OnTimeRetries++
	}
}

// takeScheduledRetry removes the booking of a request, if there is one, and says whether its client returns at its time. The caller
// holds mu.
func (l *Limiter) takeScheduledRetry(id, previous string, now time.Duration) bool {
	l.scheduledRetries = slices.DeleteFunc(l.scheduledRetries, func(b scheduledRetry) bool { return now > b.at+retryGrace })
	for i, b := range l.scheduledRetries {
		if b.requestID == id || b.requestID == previous {
			l.scheduledRetries = slices.Delete(l.scheduledRetries, i, i+1)
			return now >= b.at-leaseRequestInterval
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
		rate = 1 / max(l.nextTokenIn, leaseRequestInterval).Seconds()
	}
	after := time.Duration(float64(len(l.scheduledRetries)+1) / rate * float64(time.Second))
	if after > maxRetryAfter {
		return maxRetryAfter
	}
	l.scheduledRetries = append(l.scheduledRetries, scheduledRetry{requestID: id, at: now + after})
	return max(after, leaderInterval)
}

// serveWaiters gives tokens to requests that wait, to those of returning clients first. The caller holds mu.
func (l *Limiter) serveWaiters(now time.Duration) {
	slices.SortStableFunc(l.waiters, func(a, b *waiter) int {
		switch {
		case a.isRetry == b.isRetry:
			return 0
		case a.isRetry:
			return -1
		}
		return 1
	})
	for len(l.waiters) > 0 {
		t := l.takeToken(now)
		if t == 0 {
			return
		}
		w := l.waiters[0]
		l.waiters = l.waiters[1:]
		l.countDraw(w.isRetry)
		w.token <- t
	}
}
