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
	poll *openPoll
	list List
	err  error
}

// openPoll is a poll that has not ended.
type openPoll struct {
	cancel     context.CancelFunc
	startedAt  time.Time
	progressAt atomic.Int64 // ns from Watch.began until bytes of its answer were read last; 0: none were
}

// pollRound are the polls that are open beside one another, until one of them is answered.
type pollRound struct {
	watch    *Watch
	agent    *agent
	longPoll time.Duration
	results  chan pollResult
	polls    []*openPoll
}

// startPoll makes one more poll. Where too many are open already one of them ends.
func (r *pollRound) startPoll(ctx context.Context) {
	if len(r.polls) == maxPolls {
		r.endLeastPromising()
	}
	ctx, cancel := context.WithCancel(ctx)
	c := &openPoll{cancel: cancel, startedAt: time.Now()}
	r.polls = append(r.polls, c)
	go func(rev int64) {
		l, err := r.watch.poll(ctx, r.agent, rev, r.longPoll, func() { c.progressAt.Store(int64(max(1, time.Since(r.watch.epoch)))) })
		if ctx.Err() == nil || err == nil {
			select {
			case r.results <- pollResult{c, l, err}:
			default: // another one's answer counts
			}
		}
	}(r.agent.revision)
}

// endLeastPromising ends the poll of least promise: the oldest of those whose answer has not begun to come, or else the one that was
// silent for longest. A list that comes in pieces may take longer than others are waited for.
func (r *pollRound) endLeastPromising() {
	least := slices.MinFunc(r.polls, func(a, b *openPoll) int {
		return cmp.Or(cmp.Compare(a.progressAt.Load(), b.progressAt.Load()), a.startedAt.Compare(b.startedAt))
	})
	least.cancel()
	r.polls = slices.DeleteFunc(r.polls, func(c *openPoll) bool { return c == least })
}

// mayStillAnswer tells whether a poll is open that may still be answered where another has failed: a later one, or one whose
// answer is coming.
func (r *pollRound) mayStillAnswer(failed *openPoll) bool {
	return slices.ContainsFunc(r.polls, func(c *openPoll) bool {
		return c != failed && (c.startedAt.After(failed.startedAt) || c.progressAt.Load() > 0)
	})
}

// await returns the first answer, or the failure that leaves no hope of one. Each time that there is none within the hold
// and the grace another poll is made.
func (r *pollRound) await(ctx context.Context, patience time.Duration, doubted func()) pollResult {
	suspicion := time.NewTicker(patience)
	defer suspicion.Stop()
	for {
		select {
		case e := <-r.results:
			if e.err == nil || !r.mayStillAnswer(e.poll) {
				return e
			}
			r.polls = slices.DeleteFunc(r.polls, func(c *openPoll) bool { return c == e.poll })
		case <-suspicion.C:
			doubted()
			r.startPoll(ctx)
		case <-ctx.Done():
			return pollResult{err: ctx.Err()}
		}
	}
}
