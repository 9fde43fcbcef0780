package discovery

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// pollResult is how a poll ended.
type pollResult struct {
	call *openPoll
	list List
	err  error
}

// openPoll is a poll that has not ended.
type openPoll struct {
	cancel     context.CancelFunc
	begun      time.Time
	progressAt atomic.Int64 // ns from Watch.began until bytes of its answer were read last; 0: none were
}

// round are the polls that are open beside one another, until one of them is answered.
type round struct {
	watch   *Watch
	at      *agent
	hold    time.Duration
	answers chan pollResult
	calls   []*openPoll
}

// call makes one more poll. Where too many are open already one of them ends.
func (r *round) call(ctx context.Context) {
	if len(r.calls) == maxPolls {
		r.endOne()
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &openPoll{cancel: cancel, begun: time.Now()}
	r.calls = append(r.calls, c)
	go func(rev int64) {
		l, err := r.watch.poll(ctx, r.at, rev, r.hold, func() { c.progressAt.Store(int64(max(1, time.Since(r.watch.began)))) })
		if ctx.Err() == nil || err == nil {
			select {
			case r.answers <- pollResult{c, l, err}:
			default: // another one's answer counts
			}
		}
	}(r.at.rev)
}

// endOne ends the poll of least promise: the oldest of those whose answer has not begun to come, or else the one that was
// silent for longest. A list that comes in pieces may take longer than others are waited for.
func (r *round) endOne() {
	least := slices.MinFunc(r.calls, func(a, b *openPoll) int {
		return cmp.Or(cmp.Compare(a.progressAt.Load(), b.progressAt.Load()), a.begun.Compare(b.begun))
	})
	least.cancel()
	r.calls = slices.DeleteFunc(r.calls, func(c *openPoll) bool { return c == least })
}

// hopes tells whether a poll is open that may still be answered where another has failed: a later one, or one whose
// answer is coming.
func (r *round) hopes(failed *openPoll) bool {
	return slices.ContainsFunc(r.calls, func(c *openPoll) bool {
		return c != failed && (c.begun.After(failed.begun) || c.progressAt.Load() > 0)
	})
}

// wait returns the first answer, or the failure that leaves no hope of one. Each time that there is none within the hold
// and the grace another poll is made.
func (r *round) wait(ctx context.Context, patience time.Duration, doubted func()) pollResult {
	suspicion := time.NewTicker(patience)
	defer suspicion.Stop()
	for {
		select {
		case e := <-r.answers:
			if e.err == nil || !r.hopes(e.call) {
				return e
			}
			r.calls = slices.DeleteFunc(r.calls, func(c *openPoll) bool { return c == e.call })
		case <-suspicion.C:
			doubted()
			r.call(ctx)
		case <-ctx.Done():
			return pollResult{err: ctx.Err()}
		}
	}
}
