package discovery

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"
)

// pollResult is the outcome of a poll.
type pollResult struct {
	poll *openPoll
	list List
	err  error
}

// openPoll is a poll that has not ended.
type openPoll struct {
	cancel     context.CancelFunc
	startedAt  time.Time
	progressAt atomic.Int64 // time of the last read of its answer, in ns since Watch.epoch; 0: nothing was read
}

// pollRound is a set of concurrent polls of one agent; it ends when one of them is answered.
type pollRound struct {
	watch    *Watch
	agent    *agent
	longPoll time.Duration
	results  chan pollResult
	polls    []*openPoll
}

func newPollRound(w *Watch, a *agent, longPoll time.Duration) *pollRound {
	return &pollRound{watch: w, agent: a, longPoll: longPoll, results: make(chan pollResult, maxPolls)}
}

// pollUntilAnswered polls an agent until it answers or fails. When no answer arrives within the silence timeout, it calls
// onSilence and starts another poll, but keeps the earlier ones open: giving one up would lose its place in the queue of a
// slow service, and waiting in turn again would use most of the time within which a change has to arrive. The first answer
// is returned and the other polls are cancelled, so that changes never arrive out of order.
func (w *Watch) pollUntilAnswered(ctx context.Context, a *agent, times pollTimeouts, onSilence func()) pollResult {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	r := newPollRound(w, a, times.longPoll)
	r.startPoll(ctx)
	return r.await(ctx, times.silenceTimeout(), onSilence)
}

// startPoll starts another poll. If maxPolls are open already, it cancels one of them first.
func (r *pollRound) startPoll(ctx context.Context) {
	if len(r.polls) == maxPolls {
		r.cancelLeastPromising()
	}
	ctx, cancel := context.WithCancel(ctx)
	p := &openPoll{cancel: cancel, startedAt: time.Now()}
	r.polls = append(r.polls, p)
	go r.run(ctx, p, r.agent.revision)
}

// run executes a poll and sends its result, unless the poll was cancelled.
func (r *pollRound) run(ctx context.Context, p *openPoll, revision int64) {
	list, err := r.watch.poll(ctx, r.agent, revision, r.longPoll, func() { r.noteProgress(p) })
	if err != nil && ctx.Err() != nil {
		return
	}
	select {
	case r.results <- pollResult{poll: p, list: list, err: err}:
	default: // another poll's answer is used
	}
}

// noteProgress records that part of a poll's answer was read.
func (r *pollRound) noteProgress(p *openPoll) {
	elapsed := time.Since(r.watch.epoch)
	p.progressAt.Store(int64(max(1, elapsed)))
}

// cancelLeastPromising cancels the oldest poll whose answer has not begun to arrive or, if all have, the one whose last
// read is the longest ago. A list that arrives in chunks may take longer than the silence timeout.
func (r *pollRound) cancelLeastPromising() {
	least := slices.MinFunc(r.polls, func(a, b *openPoll) int {
		return cmp.Or(
			cmp.Compare(a.progressAt.Load(), b.progressAt.Load()),
			a.startedAt.Compare(b.startedAt),
		)
	})
	least.cancel()
	r.remove(least)
}

// remove removes a poll that has ended.
func (r *pollRound) remove(ended *openPoll) {
	r.polls = slices.DeleteFunc(r.polls, func(p *openPoll) bool { return p == ended })
}

// mayStillAnswer reports whether an open poll may succeed although another one failed: one that was started later, or one
// whose answer has begun to arrive.
func (r *pollRound) mayStillAnswer(failed *openPoll) bool {
	return slices.ContainsFunc(r.polls, func(p *openPoll) bool {
		return p != failed && (p.startedAt.After(failed.startedAt) || p.progressAt.Load() > 0)
	})
}

// await returns the first answer, or a failure once no open poll may still answer. Every silenceTimeout without a result it
// calls onSilence and starts another poll.
func (r *pollRound) await(ctx context.Context, silenceTimeout time.Duration, onSilence func()) pollResult {
	silence := time.NewTicker(silenceTimeout)
	defer silence.Stop()
	for {
		select {
		case result := <-r.results:
			if result.err == nil || !r.mayStillAnswer(result.poll) {
				return result
			}
			r.remove(result.poll)
		case <-silence.C:
			onSilence()
			r.startPoll(ctx)
		case <-ctx.Done():
			return pollResult{err: ctx.Err()}
		}
	}
}
