package quota

import (
	"context"
	"slices"
	"time"
)

// waiter is a request that is queued for a token.
type waiter struct {
	token   chan Token // capacity 1
	isRetry bool       // whether its client retries at the advised time
}

// scheduledRetry is a rejected request whose client was advised when to retry.
type scheduledRetry struct {
	requestID string
	at        time.Duration
}

// Draw draws one token for a request and waits for it at most as long as the quota's terms allow. If there is none, t is 0 and
// retry is the delay after which the client should retry; a retry at that time has priority. A retry is recognized by its own
// ID or by previousID, the ID of the request that was rejected; previousID may be empty.
func (l *Limiter) Draw(ctx context.Context, requestID, previousID string) (t Token, retry time.Duration) {
	now := l.options.Now()
	l.mu.Lock()
	l.rates.requestsSince++
	isRetry := l.takeScheduledRetry(requestID, previousID, now)
	if t := l.takeToken(now); t != 0 {
		l.countDraw(isRetry)
		needed := l.tokensNeeded(now)
		l.mu.Unlock()
		if needed > 0 {
			l.wakeRequester()
		}
		return t, 0
	}
	wait := l.options.Budget.MaxWait
	if wait <= 0 && !isRetry {
		retry = l.reject(requestID, now)
		l.mu.Unlock()
		l.wakeRequester()
		return 0, retry
	}
	w := &waiter{token: make(chan Token, 1), isRetry: isRetry}
	l.waiters = append(l.waiters, w)
	l.mu.Unlock()
	l.wakeRequester()
	return l.awaitToken(ctx, w, requestID, max(wait, leaseRequestInterval))
}

// awaitToken waits at most the given time for a waiter's token and rejects the request if it gets none.
func (l *Limiter) awaitToken(ctx context.Context, w *waiter, requestID string, wait time.Duration) (Token, time.Duration) {
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
	case t := <-w.token: // granted between the timeout and the lock; already taken from its lease
		return t, 0
	default:
	}
	l.waiters = slices.DeleteFunc(l.waiters, func(o *waiter) bool { return o == w })
	return 0, l.reject(requestID, l.options.Now())
}

// countDraw counts a request that drew a token. The caller must hold mu.
func (l *Limiter) countDraw(isRetry bool) {
	l.counts.Drawn++
	if isRetry {
		l.counts.OnTimeRetries++
	}
}

// takeScheduledRetry removes the scheduled retry of a request, if there is one, and reports whether its time has come. It also
// drops those past their grace time. The caller must hold mu.
func (l *Limiter) takeScheduledRetry(requestID, previousID string, now time.Duration) bool {
	l.scheduledRetries = slices.DeleteFunc(l.scheduledRetries, func(b scheduledRetry) bool { return now > b.at+retryGrace })
	for i, b := range l.scheduledRetries {
		if b.requestID == requestID || b.requestID == previousID {
			l.scheduledRetries = slices.Delete(l.scheduledRetries, i, i+1)
			return now >= b.at-leaseRequestInterval
		}
	}
	return false
}

// reject returns the delay after which a rejected request should be retried. Retries are scheduled at the recently measured
// rate of granted tokens; beyond maxRetryAfter the time is only a guess, so maxRetryAfter is returned and no retry is
// scheduled. The caller must hold mu.
func (l *Limiter) reject(requestID string, now time.Duration) time.Duration {
	l.counts.Rejected++
	rate := l.rates.tokens
	if rate <= 0 {
		rate = 1 / max(l.nextTokenIn, leaseRequestInterval).Seconds()
	}
	retryAfter := time.Duration(float64(len(l.scheduledRetries)+1) / rate * float64(time.Second))
	if retryAfter > maxRetryAfter {
		return maxRetryAfter
	}
	l.scheduledRetries = append(l.scheduledRetries, scheduledRetry{requestID: requestID, at: now + retryAfter})
	return max(retryAfter, leaderInterval)
}

// serveWaiters hands available tokens to queued requests, retries first. The caller must hold mu.
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
